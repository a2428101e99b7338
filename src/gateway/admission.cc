#include "gateway/admission.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::gateway {
namespace {

/// Longest expected wait that is admitted, as a multiple of the latency
/// objective. It is above 1 because a late answer is worth more to a caller
/// than none and because the estimate tends to be too long.
constexpr double kMaxWaitInObjectives = 10;
/// The same for a team over its share: enough to keep an engine busy where the
/// other teams have no requests.
constexpr double kMaxOverShareObjectives = 2;
/// Requests of such a team yield from this part of the objective on, so that
/// those of others still meet theirs in a burst of some times the capacity.
constexpr double kOverShareObjective = 0.2;
/// Latest start, as a share of the time left. Requests that start later rarely
/// complete.
constexpr double kLatestStartShare = 0.5;
/// A request with such an objective can wait for several runs of others.
constexpr Milliseconds kFarObjective{3000};
/// Ranks told apart at an engine, of near and of far objectives.
constexpr int kNearRanks = 3;
constexpr int kFarRanks = 2;
constexpr Milliseconds kMinRetryAfter{200};
/// Of callers that were refused during a pause.
constexpr Milliseconds kMaxReturnSpread{2000};
constexpr Milliseconds kMaxRetryAfter{4000};
/// Load time assumed for a model that the configuration does not declare.
constexpr double kDefaultLoadS = 4;

Milliseconds ClampRetryAfter(double ms) {
  const Milliseconds wait(static_cast<std::int64_t>(std::ceil(ms)));
  return std::clamp(wait, kMinRetryAfter, kMaxRetryAfter);
}

/// 2^64 divided by the golden ratio: multiples of it, modulo 2^64, divide the
/// range evenly, however many there are.
constexpr std::uint64_t kGoldenStep = 0x9e3779b97f4a7c15;

}  // namespace

Milliseconds NextReturn(const ReturnTime& time, ReturnSequence* sequence) {
  constexpr double kRange = 0x1p64;
  sequence->position += kGoldenStep;
  const double share = static_cast<double>(sequence->position) / kRange;
  const auto spread = static_cast<double>(time.spread.count());
  return time.earliest + Milliseconds(std::llround(spread * share));
}

ReturnTime ReturnAfter(Milliseconds wait) {
  return {wait, wait / 2};
}

ReturnTime ReturnAfterPause(TimePoint since,
                            TimePoint until,
                            TimePoint now,
                            Milliseconds time_left) {
  ReturnTime time;
  time.earliest = TimeLeft(until, now) + Milliseconds(1);  // Rounded up.
  const Milliseconds useful = (time_left - time.earliest) / 2;
  const Milliseconds length = TimeLeft(until, since);
  time.spread =
      std::clamp(useful, Milliseconds(0), std::min(length, kMaxReturnSpread));
  return time;
}

Admission Admit(const Route& route,
                const ExpectedWaits& waits,
                Milliseconds time_left,
                std::optional<Milliseconds> caller_time_left,
                bool over_share) {
  const double objective = static_cast<double>(route.target_latency.count());
  const double max_objectives =
      over_share ? kMaxOverShareObjectives : kMaxWaitInObjectives;
  const double limit =
      std::min(objective * max_objectives,
               static_cast<double>(time_left.count()) * kLatestStartShare);
  const bool has_waited =
      caller_time_left &&
      route.timeout - *caller_time_left > route.target_latency;
  Admission admission;
  const bool is_far = HasFarObjective(route);
  const double on_time_ms = is_far ? waits.yielding_ms : waits.ms;
  const double yields_from =
      over_share ? objective * kOverShareObjective : objective;
  admission.deferred = has_waited || on_time_ms > yields_from;
  admission.yields = is_far || admission.deferred;
  const double wait_ms = admission.yields ? waits.yielding_ms : waits.ms;
  const std::optional<double> begin_ms =
      admission.yields ? waits.yielding_begin_ms : waits.begin_ms;
  if (begin_ms && *begin_ms > objective) {
    admission.admitted = false;
    admission.retry_after = ClampRetryAfter(*begin_ms - objective / 2);
    return admission;
  }
  if (wait_ms <= limit)
    return admission;
  admission.admitted = false;
  admission.retry_after = ClampRetryAfter(wait_ms - objective / 2);
  return admission;
}

bool ExceedsShare(const Route& route, double wait_ms) {
  return wait_ms > static_cast<double>(route.target_latency.count());
}

bool HasFarObjective(const Route& route) {
  return route.target_latency >= kFarObjective;
}

int UrgencyOf(const Route& route, int stated_rank, bool deferred) {
  if (HasFarObjective(route)) {
    const int rank = std::clamp(stated_rank, 0, kFarRanks - 1);
    return 2 * kNearRanks + 2 * rank + (deferred ? 1 : 0);
  }
  const int rank = std::clamp(stated_rank, 0, kNearRanks - 1);
  return deferred ? kNearRanks + rank : rank;
}

Milliseconds RetryAfterLoad(const EngineModel* model) {
  const double load_s = model == nullptr ? kDefaultLoadS : model->store_load_s;
  return ClampRetryAfter(load_s * 1000);
}

}  // namespace coltsfootvane::gateway
