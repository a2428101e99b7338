#ifndef COLTSFOOTVANE_DISPATCH_DRAIN_H_
#define COLTSFOOTVANE_DISPATCH_DRAIN_H_

#include <cstddef>
#include <string_view>

#include "base/clock.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {

/// Counts one grant of `item` to the class.
void ObserveGrant(ClassState& state, const std::string& item, TimePoint now);

/// Takes in how long a slot of `item` was held.
void ObserveHold(ClassState& state,
                 const std::string& item,
                 TimePoint start,
                 TimePoint now);

/// Returns the expected wait behind `ahead` requests of the class for the
/// item, in seconds. Returns 0 if nothing has been observed yet.
double ExpectedWaitSeconds(const PoolState& pool,
                           const SlotRequest& request,
                           std::size_t ahead,
                           TimePoint now);

/// Returns the number of waiting requests of the class for the item.
std::size_t CountWaiting(const ClassState& state, std::string_view item);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_DRAIN_H_
