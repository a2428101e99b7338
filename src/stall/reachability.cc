#include "stall/reachability.h"

namespace coltsfootvane::stall {
namespace {

/// With 3% of packets lost, two connections fail by that in 0.4% of cases.
constexpr int kFailuresNeeded = 2;
constexpr int kMaxAttempts = 4;
/// An attempt that ended later than this after its time: the daemon itself was
/// not running.
constexpr Milliseconds kMaxLateness{100};

bool IsOfOwnSide(const FailedAttempt& attempt) {
  const bool loop_was_late = attempt.loop_late_at >= attempt.began;
  return attempt.ended > attempt.due + kMaxLateness || loop_was_late ||
         !attempt.reaches_others;
}

}  // namespace

Reachability Judge(const FailedAttempt& attempt,
                   ReachabilityEvidence* evidence) {
  ++evidence->attempts;
  if (!IsOfOwnSide(attempt))
    ++evidence->failures;
  if (evidence->failures >= kFailuresNeeded)
    return Reachability::kGone;
  return evidence->attempts >= kMaxAttempts ? Reachability::kUnknown
                                            : Reachability::kUndecided;
}

}  // namespace coltsfootvane::stall
