#include "team/fair_share.h"

#include <algorithm>
#include <limits>
#include <vector>

namespace coltsfootvane::team {
namespace {

/// Assumed capacity where it is short, as a share of what all teams use. Where
/// it is enough, no request waits and nobody yields.
constexpr double kShortCapacity = 0.75;
/// Least use for each unit of weight, in relation to all active teams together,
/// of a team over its share.
constexpr double kMinExcess = 1.25;

double LevelOf(const TeamLoad& load) {
  return load.use_per_s / load.weight;
}

bool IsActive(const TeamLoad& load) {
  return load.use_per_s > 0 && load.weight > 0;
}

}  // namespace

double FairLevel(gsl::span<const TeamLoad> loads, double capacity) {
  std::vector<TeamLoad> active;
  std::copy_if(loads.begin(), loads.end(), std::back_inserter(active),
               IsActive);
  std::sort(active.begin(), active.end(),
            [](const TeamLoad& a, const TeamLoad& b) {
              return LevelOf(a) < LevelOf(b);
            });
  double weight = 0;
  for (const TeamLoad& load : active)
    weight += load.weight;
  for (const TeamLoad& load : active) {
    if (LevelOf(load) * weight > capacity)
      return std::max(0.0, capacity) / weight;
    capacity -= load.use_per_s;
    weight -= load.weight;
  }
  return std::numeric_limits<double>::infinity();
}

std::set<std::uint32_t> FindOverShare(gsl::span<const TeamLoad> loads) {
  double use = 0;
  double weight = 0;
  for (const TeamLoad& load : loads) {
    use += IsActive(load) ? load.use_per_s : 0;
    weight += IsActive(load) ? load.weight : 0;
  }
  std::set<std::uint32_t> over;
  if (weight <= 0)
    return over;
  const double limit = std::max(FairLevel(loads, use * kShortCapacity),
                                kMinExcess * use / weight);
  for (const TeamLoad& load : loads) {
    if (IsActive(load) && LevelOf(load) > limit)
      over.insert(load.team);
  }
  return over;
}

}  // namespace coltsfootvane::team
