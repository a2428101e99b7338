#ifndef COLTSFOOTVANE_DISPATCH_OUTLIERS_H_
#define COLTSFOOTVANE_DISPATCH_OUTLIERS_H_

#include <string>

#include "base/clock.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {

/// Records the outcome of one call. Returns whether it ejected the endpoint.
bool RecordOutcome(OutlierState& outlier, bool failed, TimePoint now);

/// For items of the endpoint without a usable holder, shortens the ejections of
/// all holders: a holder that often fails is better than none. A holder whose
/// ejections have been shortened several times without a success in between
/// stays ejected for the full time.
void ShortenEjectionsOfLastHolders(PoolState& pool,
                                   const std::string& endpoint_id,
                                   TimePoint now);

/// Returns whether the endpoint has failed a probe and is not probed again
/// soon, so that requests should not wait for it.
bool HasFailedProbe(const OutlierState& outlier, TimePoint now);

inline bool IsEjected(const OutlierState& outlier, TimePoint now) {
  return now < outlier.ejected_until;
}

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_OUTLIERS_H_
