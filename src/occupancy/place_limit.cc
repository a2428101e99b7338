#include "occupancy/place_limit.h"

#include <algorithm>

namespace coltsfootvane::occupancy {
namespace {

/// Growth of a learned limit. The sum at a refusal may lack requests whose
/// updates are still on their way, so that the limit tends to be too low.
constexpr double kLimitGrowthPerS = 1;
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
