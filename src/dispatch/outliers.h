#ifndef COLTSFOOTVANE_DISPATCH_OUTLIERS_H_
#define COLTSFOOTVANE_DISPATCH_OUTLIERS_H_

#include "base/clock.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {

/// Takes in the outcome of one call. Returns whether it ejected the endpoint.
bool ObserveOutcome(OutlierState& outlier, bool failed, TimePoint now);

inline bool IsEjected(const OutlierState& outlier, TimePoint now) {
  return now < outlier.ejected_until;
}

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_OUTLIERS_H_
