#ifndef COLTSFOOTVANE_DISPATCH_SERVICE_RATE_H_
#define COLTSFOOTVANE_DISPATCH_SERVICE_RATE_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {

/// Records one grant of `item` to the class.
void RecordGrant(ClassState& state, const std::string& item, TimePoint now);

/// Records how long a slot of `item` was held.
void RecordHoldTime(ClassState& state,
                    const std::string& item,
                    TimePoint start,
                    TimePoint now);

/// Records the time from a grant of `item` to its first token. Times that are
/// not positive are ignored.
void RecordFirstToken(ClassState& state,
                      const std::string& item,
                      Microseconds time_to_first_token);

/// Returns the requests of the class for the item that are served per second,
/// or nothing before the first hold time has been recorded.
std::optional<double> ServiceRate(const PoolState& pool,
                                  Priority priority,
                                  std::string_view item,
                                  TimePoint now);

/// Returns the expected wait behind `ahead` requests at `rate`, in seconds; 0
/// if the rate is unknown, and at most the longest retry time.
double ExpectedWaitSeconds(std::optional<double> rate, std::size_t ahead);

/// Returns the time that a slot is expected to be held, in seconds: the moving
/// average, or more while the holders start no calls. 0 if unknown.
double HoldSeconds(const PoolState& pool,
                   Priority priority,
                   std::string_view item,
                   TimePoint now);

/// Returns the moving average of the time from a grant to the first token, in
/// seconds; 0 if unknown.
double FirstTokenSeconds(const ClassState& state, std::string_view item);

/// Returns the number of waiting requests of the class for the item.
std::size_t CountWaiting(const ClassState& state, std::string_view item);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_SERVICE_RATE_H_
