#include "stall/stall.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::stall {
namespace {

/// The callers' own rule, as the deployments state it.
constexpr Milliseconds kMinPatience{2000};
constexpr int kPatienceInObjectives = 4;
constexpr int kPatienceInGaps = 8;

/// A gap is given up after this many gap targets: preemption by more urgent
/// requests makes gaps of 2 to 3. It is half of the patience.
constexpr int kGivenUpInGaps = 4;
constexpr Milliseconds kMinGivenUp{600};
/// The longest gap of a run is explained by its pace; one twice as long is not.
constexpr double kLongestGapFactor = 2;
/// The pace explains gaps up to the mean and this many deviations, and a
/// multiple of them is given up.
constexpr double kDeviations = 4;
constexpr double kPaceFactor = 4;
constexpr int kGapsForPace = 16;
constexpr double kNewGapWeight = 1.0 / 16;
/// A gap that is given up later leaves no time for another try.
constexpr double kLatestGivenUp = 0.7;  ///< As a share of the patience.

/// A move must be expected to take at most this share of the wait here, and of
/// the time left. It starts the prompt over, and reports are seconds old.
constexpr double kShareOfWaitHere = 0.25;
constexpr double kShareOfTimeLeft = 0.5;
/// Connection, start and lost packets of another try.
constexpr double kTryMs = 100;

/// An engine that runs sends something at least as often, apart from queues.
constexpr Milliseconds kProbeSilence{600};
/// Requests wait without harm up to this share of the patience.
constexpr double kLatestProbe = 0.5;
/// One probe shows that an endpoint can be reached for this long.
constexpr Milliseconds kProbeInterval{2000};

constexpr Milliseconds kMinReturn{200};
constexpr Milliseconds kMaxReturn{4000};
/// The wait that a caller finds when it returns, as a share of its patience.
constexpr double kWaitAtReturn = 0.5;

double MsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

double Count(Milliseconds time) {
  return static_cast<double>(time.count());
}

Milliseconds RoundUp(double ms) {
  return Milliseconds(static_cast<std::int64_t>(std::ceil(ms)));
}

}  // namespace

Milliseconds CallerPatience(const Objectives& objectives) {
  return std::max({kMinPatience, kPatienceInObjectives * objectives.first_event,
                   kPatienceInGaps * objectives.gap});
}

void RecordGap(Pace* pace, double gap_ms) {
  pace->gaps = std::min(pace->gaps + 1, kGapsForPace);
  // The first gaps count in full, so that the pace does not begin at 0.
  const double weight = std::max(kNewGapWeight, 1.0 / pace->gaps);
  const double error = gap_ms - pace->mean_ms;
  pace->mean_ms += weight * error;
  if (pace->gaps > 1)
    pace->deviation_ms += weight * (std::abs(error) - pace->deviation_ms);
}

Milliseconds LongestGap(const Run& run, const Pace& pace) {
  const Milliseconds patience = CallerPatience(run.objectives);
  double bound_ms =
      Count(std::max(kMinGivenUp, kGivenUpInGaps * run.objectives.gap));
  if (run.objectives.gap.count() == 0)
    bound_ms = Count(patience / 2);
  bound_ms = std::max(bound_ms, kLongestGapFactor * run.longest_gap_ms);
  if (pace.gaps >= kGapsForPace)
    bound_ms = std::max(
        bound_ms,
        kPaceFactor * (pace.mean_ms + kDeviations * pace.deviation_ms));
  if (bound_ms > kLatestGivenUp * Count(patience))
    return patience;
  return RoundUp(bound_ms);
}

TimePoint ConsiderAt(const Run& run, const Pace& pace) {
  if (run.has_event)
    return std::max(run.waiting_since + LongestGap(run, pace),
                    run.silent_since + kMinGivenUp);
  return std::max(run.waiting_since + CallerPatience(run.objectives) / 2,
                  run.silent_since + kMinGivenUp);
}

TimePoint PatienceEnd(const Run& run) {
  return run.waiting_since + CallerPatience(run.objectives);
}

bool OthersProgress(const Run& run, const Activity& activity, TimePoint now) {
  // Another run may have had its last bytes just after this one.
  return now - activity.last_bytes < (now - run.silent_since) / 2;
}

bool IsMoveWorthwhile(const Run& run,
                      const Activity& activity,
                      const Waits& waits,
                      TimePoint now) {
  if (now < ConsiderAt(run, activity.pace))
    return false;
  double here_ms = waits.here;
  if (!OthersProgress(run, activity, now))
    here_ms = std::max(here_ms, MsBetween(run.silent_since, now));
  const double try_ms = waits.elsewhere + kTryMs;
  return try_ms <= here_ms * kShareOfWaitHere &&
         try_ms <= MsBetween(now, PatienceEnd(run)) * kShareOfTimeLeft;
}

TimePoint ProbeAt(const Run& run) {
  if (run.has_event)
    return run.silent_since + kProbeSilence;
  const double latest_ms =
      std::max(Count(kProbeSilence),
               kLatestProbe * Count(CallerPatience(run.objectives)));
  const double silence_ms = Count(kProbeSilence) + run.expected_ms;
  return run.silent_since + RoundUp(std::min(silence_ms, latest_ms));
}

bool IsProbeDue(const Run& run, const Activity& activity, TimePoint now) {
  if (activity.probing || now < ProbeAt(run) ||
      now - activity.last_bytes < kProbeSilence)
    return false;
  const bool probed_before = activity.probed_at != TimePoint();
  return !probed_before || (activity.probed_at <= run.silent_since &&
                            now - activity.probed_at >= kProbeInterval);
}

bool IsBeyondPatience(const Objectives& objectives,
                      double wait_ms,
                      TimePoint received,
                      TimePoint now) {
  return MsBetween(received, now) + wait_ms > Count(CallerPatience(objectives));
}

Milliseconds ReturnAfterWait(const Objectives& objectives, double wait_ms) {
  const double usable_ms = kWaitAtReturn * Count(CallerPatience(objectives));
  return std::clamp(RoundUp(std::max(0.0, wait_ms - usable_ms)), kMinReturn,
                    kMaxReturn);
}

}  // namespace coltsfootvane::stall
