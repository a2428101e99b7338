#include "dispatch/limits.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::dispatch {
namespace {

constexpr Milliseconds kAdjustmentPeriod{1000};
constexpr std::size_t kMaxSamples = 512;
constexpr double kPercentile = 0.95;
constexpr double kIncreaseBelowRatio = 0.8;
constexpr double kDecreaseFactor = 0.85;
constexpr int kMaxLimitFactor = 4;

double TakePercentile(std::vector<double>& samples) {
  const auto rank = static_cast<std::ptrdiff_t>(
      kPercentile * static_cast<double>(samples.size() - 1));
  std::nth_element(samples.begin(), samples.begin() + rank, samples.end());
  return samples[static_cast<std::size_t>(rank)];
}

}  // namespace

void RecordTokenTime(LimitState& limit,
                     Microseconds time_per_token,
                     Milliseconds target) {
  if (time_per_token.count() <= 0 || target.count() <= 0)
    return;
  if (limit.samples.size() >= kMaxSamples)
    return;
  const double target_us = static_cast<double>(Microseconds(target).count());
  limit.samples.push_back(static_cast<double>(time_per_token.count()) /
                          target_us);
}

void AdjustLimit(LimitState& limit, int slots, TimePoint now) {
  if (now < limit.next_adjustment)
    return;
  limit.next_adjustment = now + kAdjustmentPeriod;
  const int peak = limit.peak_in_use;
  limit.peak_in_use = 0;
  if (limit.samples.empty())
    return;
  const double ratio = TakePercentile(limit.samples);
  limit.samples.clear();
  const double highest = kMaxLimitFactor * std::max(1, slots);
  if (ratio > 1)
    limit.limit = std::max(1.0, limit.limit * kDecreaseFactor);
  // Only a limit that was reached can be too low.
  else if (ratio < kIncreaseBelowRatio && peak >= static_cast<int>(limit.limit))
    limit.limit = std::min(highest, limit.limit + 1);
}

void AdjustLimits(PoolState& pool, TimePoint now) {
  for (auto& [id, endpoint] : pool.endpoints)
    AdjustLimit(endpoint.limit, endpoint.slots, now);
}

void StartTakeover(PoolState& pool,
                   std::set<std::string> entries,
                   TimePoint now) {
  pool.awaited_reports = std::move(entries);
  pool.takeover_until = now + kMaxTakeoverTime;
  pool.disrupted_until = pool.takeover_until + kRecoveryTime;
}

int CurrentLimit(const PoolState& pool,
                 const EndpointState& endpoint,
                 TimePoint now) {
  if (endpoint.outlier.probing)
    return 1;
  const int limit = std::max(1, static_cast<int>(endpoint.limit.limit));
  const bool in_takeover =
      now < pool.takeover_until && !pool.awaited_reports.empty();
  return in_takeover ? (limit + 1) / 2 : limit;
}

int LoadPercent(const PoolState& pool, TimePoint now) {
  std::size_t calls = 0;
  int limits = 0;
  for (const auto& [id, endpoint] : pool.endpoints) {
    calls += endpoint.granted.size();
    limits += CurrentLimit(pool, endpoint, now);
  }
  for (const ClassState& state : pool.classes)
    calls += state.waiting.size();
  return limits == 0 ? 100 : static_cast<int>(calls * 100) / limits;
}

}  // namespace coltsfootvane::dispatch
