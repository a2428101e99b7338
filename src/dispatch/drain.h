#ifndef COLTSFOOTVANE_DISPATCH_DRAIN_H_
#define COLTSFOOTVANE_DISPATCH_DRAIN_H_

#include <cstddef>
#include <optional>
#include <string>
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

/// Takes in the time from a grant of `item` to its first token.
void ObserveFirstToken(ClassState& state,
                       const std::string& item,
                       Microseconds time_to_first_token);

/// Returns how many requests of the class are served per second for the item,
/// or nothing if nothing has been observed yet.
std::optional<double> ServiceRate(const PoolState& pool,
                                  Priority priority,
                                  std::string_view item,
                                  TimePoint now);

/// Returns the expected wait behind `ahead` requests at `rate`, in seconds.
double ExpectedWaitSeconds(std::optional<double> rate, std::size_t ahead);

/// Returns the time that a slot is expected to be held, in seconds: the usual
/// one, or longer while the holders start nothing. 0 if unknown.
double HoldSeconds(const PoolState& pool,
                   Priority priority,
                   std::string_view item,
                   TimePoint now);

/// Returns the usual time from a grant to the first token, in seconds; 0 if
/// unknown.
double FirstTokenSeconds(const ClassState& state, std::string_view item);

/// Returns the number of waiting requests of the class for the item.
std::size_t CountWaiting(const ClassState& state, std::string_view item);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_DRAIN_H_
