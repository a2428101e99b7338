#include "orders/store_loads.h"

#include <algorithm>

namespace coltsfootvane::orders {

void Refill(StoreLoads* loads, double per_s, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - loads->refilled_at;
  loads->refilled_at = now;
  loads->available =
      std::min(kMaxBurstLoads, loads->available + elapsed.count() * per_s);
}

bool MayPlanLoad(const StoreLoads& loads, int planned) {
  return loads.available - planned >= 1;
}

bool TryTakeLoad(StoreLoads* loads) {
  if (loads->available < 1)
    return false;
  loads->available -= 1;
  return true;
}

}  // namespace coltsfootvane::orders
