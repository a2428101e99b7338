#include "occupancy/place_limit.h"

#include <algorithm>

namespace coltsfootvane::occupancy {
namespace {

/// Growth of a learned limit. A faster one gave a refusal for each daemon and
/// second in an overload.
constexpr double kLimitGrowthPerS = 0.2;
/// A refusal older than this says nothing.
constexpr Milliseconds kLimitMemory{30'000};

}  // namespace

void RecordRefusalAt(int running, TimePoint now, PlaceLimit* limit) {
  const int known = CurrentLimit(*limit, now);
  limit->running = std::max(1, known > 0 ? std::min(known, running) : running);
  limit->refused_at = now;
}

int CurrentLimit(const PlaceLimit& limit, TimePoint now) {
  const std::chrono::duration<double> age = now - limit.refused_at;
  if (limit.running == 0 || age > kLimitMemory)
    return 0;
  return limit.running + static_cast<int>(age.count() * kLimitGrowthPerS);
}

}  // namespace coltsfootvane::occupancy
