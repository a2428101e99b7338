#ifndef COLTSFOOTVANE_PLACEMENT_DEMAND_TRACKER_H_
#define COLTSFOOTVANE_PLACEMENT_DEMAND_TRACKER_H_

#include <array>
#include <gsl/span>
#include <map>
#include <string>

#include "base/clock.h"
#include "config/configuration.h"
#include "placement/demand.h"

namespace coltsfootvane {

/// Exponentially smoothed demand per item. It rises fast and decays slowly, so
/// that copies are added soon after a burst starts and are not moved in a pause
/// between two bursts.
struct DemandTracker {
  std::map<std::string, std::array<double, kPriorityCount>> smoothed;
  TimePoint updated_at;
};

/// Updates the smoothed values with the current `demand`; absent items count as
/// 0. Items whose demand has decayed to a negligible value are dropped.
void UpdateDemand(DemandTracker* tracker,
                  gsl::span<const ItemDemand> demand,
                  TimePoint now);

/// Returns the smoothed requests per item; each priority class is weighted by
/// its value relative to that of the most valuable class.
std::map<std::string, double> WeightedDemand(
    const DemandTracker& tracker,
    const std::array<PriorityClass, kPriorityCount>& classes);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_DEMAND_TRACKER_H_
