#ifndef COLTSFOOTVANE_DISPATCH_LIMITS_H_
#define COLTSFOOTVANE_DISPATCH_LIMITS_H_

#include "base/clock.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {

/// Records one time per token as a fraction of its target.
void RecordTokenTime(LimitState& limit,
                     Microseconds time_per_token,
                     Milliseconds target);

/// Adjusts the limit between 1 and 4 x `slots`, at most once a second: additive
/// increase, multiplicative decrease.
void AdjustLimit(LimitState& limit, int slots, TimePoint now);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_LIMITS_H_
