#include "dispatch/drain.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::dispatch {
namespace {

/// Long enough to span several calls, short enough to follow an overload.
constexpr double kDrainTimeSeconds = 5;
/// The rate is corrected as if it had been observed for at least this long.
constexpr double kLeastObservedSeconds = 1;
constexpr double kHoldWeight = 0.25;
/// A stall is expected to last this many times as long as it has lasted. With
/// 1, a waiting request would be refused only at half of its time.
constexpr double kStallFactor = 2;
constexpr double kFirstTokenWeight = 0.1;
constexpr int kMinRetryAfterMs = 100;
constexpr int kMaxRetryAfterMs = 60000;

double SecondsBetween(TimePoint from, TimePoint to) {
  return std::chrono::duration<double>(to - from).count();
}

/// Smooths observations; the first one counts in full.
void Observe(double& smoothed, double observed, double weight) {
  smoothed =
      smoothed <= 0 ? observed : smoothed + weight * (observed - smoothed);
}

double DecayedSum(const DrainRate& drain, TimePoint now) {
  const double elapsed = SecondsBetween(drain.updated, now);
  return drain.per_s * std::exp(-elapsed / kDrainTimeSeconds);
}

/// The sum starts from 0; without the correction a new dispatcher would see
/// too low a rate for several seconds, and refuse callers for it.
double DecayedRate(const DrainRate& drain, TimePoint now) {
  const double observed =
      std::max(kLeastObservedSeconds, SecondsBetween(drain.first, now));
  return DecayedSum(drain, now) / (1 - std::exp(-observed / kDrainTimeSeconds));
}

bool IsInTheWay(const Slot& slot, Priority priority) {
  // An overnight stream is cancelled for a more urgent request.
  return slot.priority != Priority::kOvernight ||
         priority == Priority::kOvernight;
}

/// Returns for how long the holders of `item` have started nothing; 0 if they
/// hold no slot.
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
      if (IsInTheWay(slot, priority))
        latest = std::max(latest, slot.start);
    }
  }
  return latest == TimePoint::min() ? 0 : SecondsBetween(latest, now);
}

/// The rate at which the holders could serve this class, from the hold time.
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

void ObserveGrant(ClassState& state, const std::string& item, TimePoint now) {
  DrainRate& drain = state.drain[item];
  // Grants are counted from the first one, which begins the time.
  if (drain.updated == TimePoint())
    drain.first = now;
  else
    drain.per_s = DecayedSum(drain, now) + 1 / kDrainTimeSeconds;
  drain.updated = now;
}

void ObserveHold(ClassState& state,
                 const std::string& item,
                 TimePoint start,
                 TimePoint now) {
  Observe(state.drain[item].hold_s, SecondsBetween(start, now), kHoldWeight);
}

void ObserveFirstToken(ClassState& state,
                       const std::string& item,
                       Microseconds time_to_first_token) {
  if (time_to_first_token.count() <= 0)
    return;
  const std::chrono::duration<double> seconds = time_to_first_token;
  Observe(state.drain[item].first_token_s, seconds.count(), kFirstTokenWeight);
}

std::size_t CountWaiting(const ClassState& state, std::string_view item) {
  return static_cast<std::size_t>(std::count_if(
      state.waiting.begin(), state.waiting.end(),
      [item](const Waiting& one) { return one.request.item == item; }));
}

double HoldSeconds(const PoolState& pool,
                   Priority priority,
                   std::string_view item,
                   TimePoint now) {
  const ClassState& state = pool.classes[static_cast<std::size_t>(priority)];
  const auto found = state.drain.find(item);
  const double usual = found == state.drain.end() ? 0 : found->second.hold_s;
  const double stall = StallSeconds(pool, priority, item, now);
  return stall <= usual ? usual : usual + kStallFactor * (stall - usual);
}

double FirstTokenSeconds(const ClassState& state, std::string_view item) {
  const auto found = state.drain.find(item);
  return found == state.drain.end() ? 0 : found->second.first_token_s;
}

std::optional<double> ServiceRate(const PoolState& pool,
                                  Priority priority,
                                  std::string_view item,
                                  TimePoint now) {
  const ClassState& state = pool.classes[static_cast<std::size_t>(priority)];
  const auto found = state.drain.find(item);
  if (found == state.drain.end() || found->second.hold_s <= 0)
    return std::nullopt;
  const DrainRate& drain = found->second;
  const double hold = HoldSeconds(pool, priority, item, now);
  const double capacity = CapacityRate(pool, item, hold, now);
  // A class that was idle has no recent grants. The most urgent class can then
  // expect the whole capacity, others their minimum share.
  const double share =
      priority == Priority::kInteractive ? 1 : state.settings.minimum_share;
  return std::max(DecayedRate(drain, now), capacity * share);
}

double ExpectedWaitSeconds(std::optional<double> rate, std::size_t ahead) {
  constexpr double kLongestWait = kMaxRetryAfterMs / 1000.0;
  if (!rate)
    return 0;
  const auto position = static_cast<double>(ahead + 1);
  return *rate * kLongestWait <= position ? kLongestWait : position / *rate;
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
