#include "quota/token_bucket.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::quota {
namespace {

using Seconds = std::chrono::duration<double>;

/// In which the sum of refused units falls to a third. Callers come back within
/// about this time.
constexpr Seconds kRefusedDecay{1};
/// Bursts of fewer requests than that are not divided.
constexpr double kMinRequestsInBurst = 5;
constexpr double kMinRetryMs = 100;
constexpr double kMaxRetryMs = 4000;
/// Of the rate that a retry time is computed with.
constexpr double kMinRateShare = 0.1;

/// Returns the level that a request needs.
double NeededLevel(const TokenBucket& bucket, double units, int rank) {
  const double burst = bucket.share > 0 ? MaxLevel(bucket) : bucket.limit.burst;
  if (rank < kFirstDeferredRank || burst < units * kMinRequestsInBurst)
    return std::min(units, burst);
  return units + burst * kReservedShare;
}

}  // namespace

double MaxLevel(const TokenBucket& bucket) {
  return bucket.limit.burst * bucket.share;
}

void Refill(TokenBucket* bucket, TimePoint now) {
  if (now <= bucket->updated)
    return;
  const Seconds passed = now - bucket->updated;
  bucket->updated = now;
  bucket->refused *= std::exp(-passed / kRefusedDecay);
  const double accrued =
      bucket->limit.per_second * bucket->share * passed.count();
  const double highest = std::max(bucket->level, MaxLevel(*bucket));
  bucket->level = std::min(bucket->level + accrued, highest);
}

void ApplyLimit(const Limit& limit, TokenBucket* bucket) {
  if (limit.version <= bucket->limit.version)
    return;
  bucket->limit = limit;
  bucket->level = std::min(bucket->level, limit.burst);
}

bool Take(double units, int rank, TimePoint now, TokenBucket* bucket) {
  Refill(bucket, now);
  if (bucket->level < NeededLevel(*bucket, units, rank)) {
    bucket->refused += units;
    return false;
  }
  bucket->level -= units;
  return true;
}

Milliseconds RetryAfter(const TokenBucket& bucket, double units, int rank) {
  constexpr double kMsPerS = 1000;
  const double missing =
      NeededLevel(bucket, units, rank) - bucket.level + bucket.refused;
  const double rate =
      bucket.limit.per_second * std::max(bucket.share, kMinRateShare);
  const double ms = rate > 0 ? missing / rate * kMsPerS : kMaxRetryMs;
  return Milliseconds(static_cast<std::int64_t>(
      std::ceil(std::clamp(ms, kMinRetryMs, kMaxRetryMs))));
}

}  // namespace coltsfootvane::quota
