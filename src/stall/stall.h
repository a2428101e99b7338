#ifndef COLTSFOOTVANE_STALL_STALL_H_
#define COLTSFOOTVANE_STALL_STALL_H_

#include "base/clock.h"

/// Decides when a stream that uses capacity without benefit to its caller is
/// given up. This module has no network.
namespace coltsfootvane::stall {

/// What the route of a stream promises; 0 if it does not declare a gap.
struct Objectives {
  Milliseconds first_event{0};
  Milliseconds gap{0};
};

/// Returns how long a caller waits for the first event, from the arrival of
/// the request, and for each further one, from the one before.
Milliseconds CallerPatience(const Objectives& objectives);

/// Smoothed gaps between events, and their mean deviation.
struct Pace {
  double mean_ms = 0;
  double deviation_ms = 0;
  int gaps = 0;  ///< Counted up to the number that makes the pace known.
};

void RecordGap(Pace* pace, double gap_ms);

/// What this daemon has received from an endpoint, over all its runs there.
struct Activity {
  TimePoint last_bytes;
  Pace pace;
  TimePoint probed_at;   ///< Start of the last probe.
  bool probing = false;  ///< A probe is in progress.
};

/// A send to an endpoint that has no complete answer.
struct Run {
  Objectives objectives;
  TimePoint waiting_since;  ///< Arrival of the request, or the last event.
  TimePoint silent_since;   ///< Last byte received, or the send.
  bool has_event = false;   ///< Of any send of the request.
  double longest_gap_ms = 0;
  double expected_ms = 0;  ///< Wait for the first event, expected at the send.
};

/// Returns the gap that is given up if waiting is not better: well above what
/// the pace of the run and of the others at the endpoint explains, but with
/// time left for another try. Returns the whole patience if a gap that the pace
/// explains leaves no such time.
Milliseconds LongestGap(const Run& run, const Pace& pace);

/// Returns when a move to another endpoint is considered first. At that point
/// or later there may be nothing to gain; see IsMoveWorthwhile().
TimePoint ConsiderAt(const Run& run, const Pace& pace);

/// Returns when the caller gives up.
TimePoint PatienceEnd(const Run& run);

/// The expected waits for an event, in ms.
struct Waits {
  double here = 0;       ///< Of a new request at the endpoint of the run.
  double elsewhere = 0;  ///< At the best other endpoint.
};

/// Returns whether another run of this daemon at the endpoint has had bytes
/// during the silence of this one: the endpoint is busy, not silent.
bool OthersProgress(const Run& run, const Activity& activity, TimePoint now);

/// Returns whether starting over at another endpoint is expected to give an
/// event much sooner, and before the caller gives up. At a busy endpoint only
/// its load speaks against waiting; at a silent one also the silence.
bool IsMoveWorthwhile(const Run& run,
                      const Activity& activity,
                      const Waits& waits,
                      TimePoint now);

/// Returns when the endpoint is to be probed, if no run of this daemon there
/// has had bytes by then.
TimePoint ProbeAt(const Run& run);

/// Returns whether a probe is due: no run has had bytes for long enough, and
/// none was probed during the silence of this one.
bool IsProbeDue(const Run& run, const Activity& activity, TimePoint now);

/// Returns whether the caller gives up before the first event is expected.
bool IsBeyondPatience(const Objectives& objectives,
                      double wait_ms,
                      TimePoint received,
                      TimePoint now);

/// Returns after which time a caller that was refused for that reason finds a
/// wait that fits into its patience, if nothing is added meanwhile.
Milliseconds ReturnAfterWait(const Objectives& objectives, double wait_ms);

}  // namespace coltsfootvane::stall

#endif  // COLTSFOOTVANE_STALL_STALL_H_
