#ifndef COLTSFOOTVANE_STALL_REACHABILITY_H_
#define COLTSFOOTVANE_STALL_REACHABILITY_H_

#include "base/clock.h"

namespace coltsfootvane::stall {

// Whether the host of a silent endpoint is gone. A daemon whose own loop or
// link is held up finds all hosts silent, so that it looks at its own side as
// well.

/// A failed connection to a silent endpoint, and what speaks about the own
/// side.
struct FailedAttempt {
  TimePoint began;
  TimePoint ended;
  TimePoint due;  ///< When it should have ended at the latest.
  /// A connection to another endpoint was made meanwhile, or there is none to
  /// compare with.
  bool reaches_others = true;
  /// When the event loop was last found to be late.
  TimePoint loop_late_at;
};

enum class Reachability {
  kUndecided,  ///< Try once more.
  kGone,
  kUnknown,  ///< The own side is held up, as far as can be told.
};

struct ReachabilityEvidence {
  int attempts = 0;
  int failures = 0;  ///< That are not due to the own side.
};

/// Records a failed attempt and returns what is known by now.
Reachability Judge(const FailedAttempt& attempt,
                   ReachabilityEvidence* evidence);

}  // namespace coltsfootvane::stall

#endif  // COLTSFOOTVANE_STALL_REACHABILITY_H_
