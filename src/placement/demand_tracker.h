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

/// Demand per item, smoothed with a fast rise and a slow decay, so that a burst
/// is followed at once and a pause between bursts moves no model.
struct DemandTracker {
  std::map<std::string, std::array<double, kPriorityCount>> smoothed;
  TimePoint updated_at;
};

/// Adds what was seen since the last update; absent items count as 0. Items
/// that have decayed to nothing are dropped.
void UpdateDemand(DemandTracker* tracker,
                  gsl::span<const ItemDemand> demand,
                  TimePoint now);

/// Returns requests in progress per item; a class counts by its value relative
/// to the most valuable class.
std::map<std::string, double> WeightedDemand(
    const DemandTracker& tracker,
    const std::array<PriorityClass, kPriorityCount>& classes);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_DEMAND_TRACKER_H_
