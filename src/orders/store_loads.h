#ifndef COLTSFOOTVANE_ORDERS_STORE_LOADS_H_
#define COLTSFOOTVANE_ORDERS_STORE_LOADS_H_

#include "base/clock.h"

namespace coltsfootvane::orders {

/// Token bucket that limits the rate of loads from the weight store. A load is
/// charged when it begins, not when it is planned: planned loads wait for an
/// unload, so that loads planned at different times could begin together.
struct StoreLoads {
  double available = 0;  ///< Loads that may begin now.
  TimePoint refilled_at;
};

/// Capacity of the bucket: loads that may begin in one burst.
inline constexpr double kMaxBurstLoads = 3;

void Refill(StoreLoads* loads, double per_s, TimePoint now);

/// Returns whether another load may be planned in addition to the `planned`
/// loads that have not begun.
bool MayPlanLoad(const StoreLoads& loads, int planned);

/// Charges a load that begins now. Returns false if the rate allows none.
bool TryTakeLoad(StoreLoads* loads);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_STORE_LOADS_H_
