#ifndef COLTSFOOTVANE_PLACEMENT_PLAN_WISHES_H_
#define COLTSFOOTVANE_PLACEMENT_PLAN_WISHES_H_

#include <functional>
#include <gsl/span>
#include <map>
#include <set>
#include <string>

#include "base/clock.h"
#include "config/configuration.h"

namespace coltsfootvane {

/// Since when models have lacked a copy without a longer pause.
struct PlanWishes {
  struct Wish {
    TimePoint since;
    TimePoint seen;
  };
  std::map<std::string, Wish, std::less<>> wishes;
};

/// Returns the time of one load while the weight store is busy.
Milliseconds LoadTime(const WeightStore& store);

/// Takes over the wishes of a plan; those absent for 5 s are forgotten.
void UpdateWishes(PlanWishes* wishes,
                  gsl::span<const std::string> wished,
                  TimePoint now);

/// Returns the models whose wish has lasted for ten load times.
std::set<std::string, std::less<>> LastingWishes(const PlanWishes& wishes,
                                                 const WeightStore& store,
                                                 TimePoint now);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_WISHES_H_
