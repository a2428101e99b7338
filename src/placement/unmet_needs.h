#ifndef COLTSFOOTVANE_PLACEMENT_UNMET_NEEDS_H_
#define COLTSFOOTVANE_PLACEMENT_UNMET_NEEDS_H_

#include <functional>
#include <gsl/span>
#include <map>
#include <set>
#include <string>

#include "base/clock.h"
#include "config/configuration.h"

namespace coltsfootvane {

/// Tracks for how long models have lacked a copy that finds no free memory.
struct UnmetNeeds {
  struct Need {
    TimePoint first_seen;
    TimePoint last_seen;
  };
  std::map<std::string, Need, std::less<>> by_model;
};

/// Returns the estimated time of one load while the weight store is fully used.
Milliseconds LoadTime(const WeightStore& store);

/// Records the unmet needs of a plan. Those last seen 5 s ago or more are
/// dropped.
void UpdateUnmetNeeds(UnmetNeeds* needs,
                      gsl::span<const std::string> unmet,
                      TimePoint now);

/// Returns the models whose need has been unmet for ten load times.
std::set<std::string, std::less<>> PersistentUnmetNeeds(
    const UnmetNeeds& needs,
    const WeightStore& store,
    TimePoint now);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_UNMET_NEEDS_H_
