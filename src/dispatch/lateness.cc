#include "dispatch/lateness.h"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "dispatch/outliers.h"
#include "dispatch/service_rate.h"

namespace coltsfootvane::dispatch {
namespace {

/// Factor on the estimated wait at admission. Without it, a request that is
/// admitted with no slack is refused later, when the estimate rises a little.
constexpr double kAdmissionMargin = 1.5;
constexpr double kNoMargin = 1;
constexpr double kMsPerSecond = 1000;
/// Late starts must last this long to count as an overload. Bursts, and waits
/// where callers only slightly outnumber the slots, end within this time. In a
/// sustained overload, the backlog of this period is served late.
constexpr Milliseconds kOverloadOnsetTime{2000};
/// An overload ends when no further sign of it has been seen for this long.
/// With a shorter time, a sustained overload would end and begin repeatedly,
/// with late starts each time.
constexpr Milliseconds kOverloadDuration{5000};

enum class Lateness { kOnTime, kMissesStart, kMissesDeadline };

/// The parts of the estimate that all requests of one item and class share.
struct Estimate {
  std::optional<double> rate;
  double hold_s = 0;
  /// Streams that interactive requests can preempt and so do not wait for.
  std::size_t preemptable = 0;
  bool all_failed = false;
};

Estimate MakeEstimate(const PoolState& pool,
                      const SlotRequest& request,
                      TimePoint now) {
  Estimate estimate;
  // During a takeover, grants and limits do not reflect the service rate.
  if (now >= pool.disrupted_until)
    estimate.rate = ServiceRate(pool, request.priority, request.item, now);
  estimate.hold_s = HoldSeconds(pool, request.priority, request.item, now);
  estimate.all_failed = AllHoldersFailedProbe(pool, request.item, now);
  if (request.priority == Priority::kInteractive)
    estimate.preemptable =
        static_cast<std::size_t>(CountPreemptable(pool, request.item, now));
  return estimate;
}

/// Classifies a request that waits behind `ahead` others. The margin applies
/// only when the wait is compared with the deadline: the first token target is
/// short, and the estimate seldom changes during such a short wait.
Lateness ClassifyLateness(const Estimate& estimate,
                          const SlotRequest& request,
                          TimePoint start_deadline,
                          std::size_t ahead,
                          double margin,
                          TimePoint now) {
  if (estimate.all_failed)
    return Lateness::kMissesDeadline;
  const double wait_s =
      ahead < estimate.preemptable
          ? 0
          : ExpectedWaitSeconds(estimate.rate, ahead - estimate.preemptable);
  const std::chrono::duration<double> to_deadline = request.deadline - now;
  if (margin * wait_s + estimate.hold_s > to_deadline.count())
    return Lateness::kMissesDeadline;
  const std::chrono::duration<double> to_start = start_deadline - now;
  return wait_s > to_start.count() ? Lateness::kMissesStart : Lateness::kOnTime;
}

bool IsRefused(Lateness lateness, const WaitingRequest& queued) {
  return lateness == Lateness::kMissesDeadline ||
         (queued.start_deadline_enforced && lateness == Lateness::kMissesStart);
}

void ExtendOverload(ClassState& state, const std::string& item, TimePoint now) {
  state.statistics_by_item[item].overloaded_until = now + kOverloadDuration;
}

/// Returns whether a request for the item has used up half of the time to its
/// start deadline. While none has, no request is refused at admission because
/// of its estimated start, and the overload is not extended: each such refusal
/// extends the overload, so a wrong estimate could prolong it without end.
bool HasLongWait(const ClassState& state,
                 const std::string& item,
                 TimePoint now) {
  return std::any_of(state.waiting.begin(), state.waiting.end(),
                     [&item, now](const WaitingRequest& queued) {
                       return queued.request.item == item && !queued.resumed &&
                              now - queued.waiting_since >=
                                  queued.start_deadline - now;
                     });
}

/// Updates for which items requests have waited beyond the first token target,
/// and starts or extends an overload where this has persisted.
void UpdateLateStarts(ClassState& state, TimePoint now) {
  std::map<std::string, TimePoint> late;
  for (const WaitingRequest& queued : state.waiting) {
    if (queued.resumed || now <= queued.start_deadline)
      continue;
    const auto found =
        late.emplace(queued.request.item, queued.start_deadline).first;
    found->second = std::min(found->second, queued.start_deadline);
  }
  for (auto& [item, statistics] : state.statistics_by_item) {
    if (late.count(item) == 0)
      statistics.late_since = TimePoint();
    if (IsOverloaded(state, item, now) && HasLongWait(state, item, now))
      ExtendOverload(state, item, now);
  }
  for (const auto& [item, since] : late) {
    ServiceStatistics& statistics = state.statistics_by_item[item];
    if (statistics.late_since == TimePoint())
      statistics.late_since = since;
    if (now - statistics.late_since >= kOverloadOnsetTime)
      ExtendOverload(state, item, now);
  }
}

/// For requests that a disruption delays, replaces the start deadline by the
/// deadline of the request.
void RelaxStartDeadlines(const PoolState& pool,
                         ClassState& state,
                         TimePoint now) {
  for (WaitingRequest& queued : state.waiting) {
    if (IsDisrupted(pool, queued.request.item, now))
      queued.start_deadline = queued.request.deadline;
  }
}

/// Classifies all waiting requests of the class; those for `margin_items` need
/// the margin of admission. Requests that will be refused are not counted as
/// ahead of others.
std::vector<Lateness> ClassifyWaiting(const PoolState& pool,
                                      const ClassState& state,
                                      const std::set<std::string>& margin_items,
                                      TimePoint now) {
  std::map<std::string, Estimate> estimates;
  std::map<std::string, std::size_t> ahead;
  std::vector<Lateness> classified;
  classified.reserve(state.waiting.size());
  for (const WaitingRequest& queued : state.waiting) {
    const SlotRequest& request = queued.request;
    auto estimate = estimates.find(request.item);
    if (estimate == estimates.end())
      estimate =
          estimates.emplace(request.item, MakeEstimate(pool, request, now))
              .first;
    const double margin =
        margin_items.count(request.item) > 0 ? kAdmissionMargin : kNoMargin;
    std::size_t& before = ahead[request.item];
    Lateness lateness =
        queued.resumed
            ? Lateness::kOnTime
            : ClassifyLateness(estimate->second, request, queued.start_deadline,
                               before, margin, now);
    // As at admission, the first request waits whatever the estimate: an
    // estimate that is too high is corrected only by requests that are served.
    if (lateness == Lateness::kMissesStart && before == 0 &&
        now <= queued.start_deadline)
      lateness = Lateness::kOnTime;
    classified.push_back(lateness);
    if (!IsRefused(lateness, queued))
      ++before;
  }
  return classified;
}

}  // namespace

bool HasEligibleHolder(const PoolState& pool, const SlotRequest& request) {
  const auto holders = pool.holders.find(request.item);
  if (holders == pool.holders.end())
    return false;
  for (const std::string& id : holders->second) {
    const auto endpoint = pool.endpoints.find(id);
    if (endpoint == pool.endpoints.end() || endpoint->second.leaving)
      continue;
    if (std::find(request.excluded.begin(), request.excluded.end(), id) ==
        request.excluded.end())
      return true;
  }
  return false;
}

bool HasOnlyIneligibleHolders(const PoolState& pool,
                              const SlotRequest& request) {
  const auto holders = pool.holders.find(request.item);
  return holders != pool.holders.end() && !holders->second.empty() &&
         !HasEligibleHolder(pool, request);
}

bool AllHoldersFailedProbe(const PoolState& pool,
                           const std::string& item,
                           TimePoint now) {
  const auto holders = pool.holders.find(item);
  if (holders == pool.holders.end())
    return false;
  return std::all_of(holders->second.begin(), holders->second.end(),
                     [&pool, now](const std::string& id) {
                       const auto found = pool.endpoints.find(id);
                       if (found == pool.endpoints.end())
                         return true;
                       return HasFailedProbe(found->second.outlier, now);
                     });
}

bool IsDisrupted(const PoolState& pool, std::string_view item, TimePoint now) {
  if (now < pool.disrupted_until)
    return true;
  const auto holders = pool.holders.find(item);
  if (holders == pool.holders.end())
    return false;
  return std::any_of(holders->second.begin(), holders->second.end(),
                     [&pool, now](const std::string& id) {
                       const auto found = pool.endpoints.find(id);
                       return found != pool.endpoints.end() &&
                              now < found->second.disrupted_until;
                     });
}

TimePoint StartDeadline(const PoolState& pool,
                        const SlotRequest& request,
                        TimePoint now) {
  if (request.kind == EndpointKind::kService ||
      IsDisrupted(pool, request.item, now))
    return request.deadline;
  const ClassState& state =
      pool.classes[static_cast<std::size_t>(request.priority)];
  const double left_s = state.settings.first_token_ms / kMsPerSecond -
                        FirstTokenSeconds(state, request.item);
  return now + std::chrono::duration_cast<Clock::duration>(
                   std::chrono::duration<double>(left_s));
}

bool IsOverloaded(const ClassState& state,
                  std::string_view item,
                  TimePoint now) {
  const auto found = state.statistics_by_item.find(item);
  return found != state.statistics_by_item.end() &&
         now < found->second.overloaded_until;
}

bool IsTooLateToQueue(const PoolState& pool,
                      ClassState& state,
                      const SlotRequest& request,
                      TimePoint start_deadline,
                      TimePoint now) {
  const std::size_t ahead = CountWaiting(state, request.item);
  const Lateness lateness =
      ClassifyLateness(MakeEstimate(pool, request, now), request,
                       start_deadline, ahead, kAdmissionMargin, now);
  if (lateness != Lateness::kMissesStart)
    return lateness == Lateness::kMissesDeadline;
  // At least one request may wait: an estimate that is too high is corrected
  // only by requests that are served.
  if (ahead == 0 || !IsOverloaded(state, request.item, now) ||
      !HasLongWait(state, request.item, now))
    return false;
  ExtendOverload(state, request.item, now);
  return true;
}

std::vector<bool> FindRequestsToRefuse(const PoolState& pool,
                                       ClassState& state,
                                       TimePoint now) {
  RelaxStartDeadlines(pool, state, now);
  UpdateLateStarts(state, now);
  std::vector<Lateness> classified = ClassifyWaiting(pool, state, {}, now);
  std::set<std::string> late_items;
  for (std::size_t i = 0; i < classified.size(); ++i) {
    if (IsRefused(classified[i], state.waiting[i]))
      late_items.insert(state.waiting[i].request.item);
  }
  // Where one request is late, those with little slack are refused with it,
  // instead of one by one close to their deadlines.
  if (!late_items.empty())
    classified = ClassifyWaiting(pool, state, late_items, now);
  std::vector<bool> refused;
  refused.reserve(classified.size());
  for (std::size_t i = 0; i < classified.size(); ++i)
    refused.push_back(IsRefused(classified[i], state.waiting[i]));
  return refused;
}

}  // namespace coltsfootvane::dispatch
