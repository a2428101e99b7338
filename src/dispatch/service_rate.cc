#include "dispatch/service_rate.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::dispatch {
namespace {

/// Time constant of the decaying grant rate: long enough to span several calls,
/// short enough to follow an overload.
constexpr double kRateTimeConstantSeconds = 5;
/// Lower bound of the observation time that DecayedRate() corrects for.
constexpr double kMinObservedSeconds = 1;
constexpr double kHoldTimeWeight = 0.25;
/// A stall is expected to last this many times its present length. With 1, a
/// waiting request would be refused only after half of its time to the
/// deadline.
constexpr double kStallFactor = 2;
constexpr double kFirstTokenWeight = 0.1;
constexpr int kMinRetryAfterMs = 100;
constexpr int kMaxRetryAfterMs = 60000;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

/// Updates an exponential moving average; the first sample is taken as it is.
void UpdateMovingAverage(double& average, double sample, double weight) {
  average = average <= 0 ? sample : average + weight * (sample - average);
}

double DecayedSum(const ServiceStatistics& statistics, TimePoint now) {
  const double elapsed = SecondsBetween(statistics.last_grant_at, now);
  return statistics.grants_per_s *
         std::exp(-elapsed / kRateTimeConstantSeconds);
}

/// Returns the rate, corrected for a decayed sum that starts from 0. Without
/// the correction a new dispatcher would underestimate the rate for several
/// seconds and refuse requests because of it.
double DecayedRate(const ServiceStatistics& statistics, TimePoint now) {
  const double observed_s = std::max(
      kMinObservedSeconds, SecondsBetween(statistics.first_grant_at, now));
  return DecayedSum(statistics, now) /
         (1 - std::exp(-observed_s / kRateTimeConstantSeconds));
}

bool BlocksPriority(const Slot& slot, Priority priority) {
  // Overnight streams are preempted by more urgent requests.
  return slot.priority != Priority::kOvernight ||
         priority == Priority::kOvernight;
}

/// Returns the time since the latest start among the calls in progress at the
/// holders of `item` that block requests of `priority`; 0 if there are none.
double StallSeconds(const PoolState& pool,
                    Priority priority,
                    std::string_view item,
                    TimePoint now) {
  const auto holders = pool.holders.find(item);
  if (holders == pool.holders.end())
    return 0;
  TimePoint latest = TimePoint::min();
  for (const std::string& id : holders->second) {
    const auto endpoint = pool.endpoints.find(id);
    if (endpoint == pool.endpoints.end())
      continue;
    for (const Slot& slot : endpoint->second.granted) {
      if (BlocksPriority(slot, priority))
        latest = std::max(latest, slot.start);
    }
  }
  return latest == TimePoint::min() ? 0 : SecondsBetween(latest, now);
}

/// Returns the requests per second that the holders of `item` can serve at
/// their current limits if each slot is held for `hold_s`; 0 if unknown.
double CapacityRate(const PoolState& pool,
                    std::string_view item,
                    double hold_s,
                    TimePoint now) {
  const auto holders = pool.holders.find(item);
  if (holders == pool.holders.end() || hold_s <= 0)
    return 0;
  int limits = 0;
  for (const std::string& id : holders->second) {
    const auto endpoint = pool.endpoints.find(id);
    if (endpoint != pool.endpoints.end())
      limits += CurrentLimit(pool, endpoint->second, now);
  }
  return limits / hold_s;
}

}  // namespace

void RecordGrant(ClassState& state, const std::string& item, TimePoint now) {
  ServiceStatistics& statistics = state.statistics_by_item[item];
  // The first grant starts the observation time and is not counted itself.
  if (statistics.last_grant_at == TimePoint())
    statistics.first_grant_at = now;
  else
    statistics.grants_per_s =
        DecayedSum(statistics, now) + 1 / kRateTimeConstantSeconds;
  statistics.last_grant_at = now;
}

void RecordHoldTime(ClassState& state,
                    const std::string& item,
                    TimePoint start,
                    TimePoint now) {
  UpdateMovingAverage(state.statistics_by_item[item].hold_s,
                      SecondsBetween(start, now), kHoldTimeWeight);
}

void RecordFirstToken(ClassState& state,
                      const std::string& item,
                      Microseconds time_to_first_token) {
  if (time_to_first_token.count() <= 0)
    return;
  const std::chrono::duration<double> seconds = time_to_first_token;
  UpdateMovingAverage(state.statistics_by_item[item].first_token_s,
                      seconds.count(), kFirstTokenWeight);
}

std::size_t CountWaiting(const ClassState& state, std::string_view item) {
  return static_cast<std::size_t>(
      std::count_if(state.waiting.begin(), state.waiting.end(),
                    [item](const WaitingRequest& queued) {
                      return queued.request.item == item;
                    }));
}

double HoldSeconds(const PoolState& pool,
                   Priority priority,
                   std::string_view item,
                   TimePoint now) {
  const ClassState& state = pool.classes[static_cast<std::size_t>(priority)];
  const auto found = state.statistics_by_item.find(item);
  const double average =
      found == state.statistics_by_item.end() ? 0 : found->second.hold_s;
  const double stall_s = StallSeconds(pool, priority, item, now);
  return stall_s <= average ? average
                            : average + kStallFactor * (stall_s - average);
}

double FirstTokenSeconds(const ClassState& state, std::string_view item) {
  const auto found = state.statistics_by_item.find(item);
  return found == state.statistics_by_item.end() ? 0
                                                 : found->second.first_token_s;
}

std::optional<double> ServiceRate(const PoolState& pool,
                                  Priority priority,
                                  std::string_view item,
                                  TimePoint now) {
  const ClassState& state = pool.classes[static_cast<std::size_t>(priority)];
  const auto found = state.statistics_by_item.find(item);
  if (found == state.statistics_by_item.end() || found->second.hold_s <= 0)
    return std::nullopt;
  const ServiceStatistics& statistics = found->second;
  const double hold = HoldSeconds(pool, priority, item, now);
  const double capacity = CapacityRate(pool, item, hold, now);
  // A class that was idle has no recent grants, so its rate is at least the
  // capacity that it is entitled to: all of it for the most urgent class, the
  // minimum share for the others.
  const double share =
      priority == Priority::kInteractive ? 1 : state.settings.minimum_share;
  return std::max(DecayedRate(statistics, now), capacity * share);
}

double ExpectedWaitSeconds(std::optional<double> rate, std::size_t ahead) {
  constexpr double kMaxWaitSeconds = kMaxRetryAfterMs / 1000.0;
  if (!rate)
    return 0;
  const auto position = static_cast<double>(ahead + 1);
  return *rate * kMaxWaitSeconds <= position ? kMaxWaitSeconds
                                             : position / *rate;
}

int RetryAfterMs(const PoolState& pool,
                 const SlotRequest& request,
                 TimePoint now) {
  const ClassState& state =
      pool.classes[static_cast<std::size_t>(request.priority)];
  const auto rate = ServiceRate(pool, request.priority, request.item, now);
  const std::size_t ahead = CountWaiting(state, request.item);
  const double wait_ms = 1000 * ExpectedWaitSeconds(rate, ahead);
  const double bounded =
      std::clamp<double>(wait_ms, kMinRetryAfterMs, kMaxRetryAfterMs);
  return static_cast<int>(bounded);
}

}  // namespace coltsfootvane::dispatch
