#ifndef COLTSFOOTVANE_DISPATCH_LIMITS_H_
#define COLTSFOOTVANE_DISPATCH_LIMITS_H_

#include "base/clock.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {

/// Adds one observed time per token, in proportion to its target.
void ObserveTokenTime(LimitState& limit,
                      Microseconds time_per_token,
                      Milliseconds target);

/// Moves the limit once a second within 1 and 4 x `slots`.
void AdjustLimit(LimitState& limit, int slots, TimePoint now);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_LIMITS_H_
