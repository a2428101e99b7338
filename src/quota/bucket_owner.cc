#include "quota/bucket_owner.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace coltsfootvane::quota {
namespace {

using Seconds = std::chrono::duration<double>;

/// Seconds of the rate in a new bucket whose level no requester knows.
constexpr double kUnknownLevelS = 0.25;
/// Of the permitted overrun, what all stand-ins together may grant before they
/// are owners. The rest covers requests on the way and retries.
constexpr double kStandInShare = 0.8;
/// In which requesters that know more than the first one lower a new level.
constexpr Milliseconds kOpeningTime{1000};
constexpr Milliseconds kNewTime{2000};
constexpr Milliseconds kKeepTime{30'000};
constexpr Seconds kUseDecay{2};
/// Settled units are bounded, so that no message can block a team for long.
constexpr double kMaxSettledS = 2;

void RecordUse(double units, TimePoint now, OwnedBucket* owned) {
  const Seconds passed =
      std::max(Seconds(0), Seconds(now - owned->use_updated));
  owned->use_per_s = owned->use_per_s * std::exp(-passed / kUseDecay) +
                     units / kUseDecay.count();
  owned->use_updated = std::max(now, owned->use_updated);
}

void Settle(double units, OwnedBucket* owned) {
  const Limit& limit = owned->bucket.limit;
  const double most = limit.burst + limit.per_second * kMaxSettledS;
  const double settled = std::clamp(units, -most, most);
  owned->taken += settled;
  owned->bucket.level = std::clamp(owned->bucket.level - settled,
                                   std::min(owned->bucket.level, -most),
                                   std::max(owned->bucket.level, limit.burst));
}

}  // namespace

double BucketOwner::InitialLevel(const Request& request,
                                 const Ownership& ownership) const {
  const Limit& limit = request.limit;
  double level = limit.per_second * kUnknownLevelS;
  if (request.level)
    level = request.level->level +
            limit.per_second * Seconds(request.level->age).count();
  return std::min(level, limit.burst) * ownership.share;
}

/// Returns what a stand-in may grant until it is known to be the owner: an
/// amount once in two windows, so that no window sees it twice.
double BucketOwner::TakeAllowance(const Limit& limit,
                                  double share,
                                  TimePoint now,
                                  OwnedBucket* owned) const {
  const Seconds interval(2 * this->bounds.window_s);
  const bool is_due = owned->allowance_at == TimePoint() ||
                      now - owned->allowance_at >= interval;
  if (!is_due)
    return owned->ownership.stands_in ? std::max(0.0, owned->bucket.level) : 0;
  owned->allowance_at = now;
  return kStandInShare * this->bounds.overrun * share *
         (limit.per_second * this->bounds.window_s + limit.burst);
}

void BucketOwner::Open(const Request& request,
                       const Ownership& ownership,
                       TimePoint now,
                       OwnedBucket* owned) const {
  const Limit& limit = request.limit;
  owned->allowance = limit.burst;
  if (ownership.stands_in)
    owned->allowance = this->TakeAllowance(limit, ownership.share, now, owned);
  const double level =
      std::min(this->InitialLevel(request, ownership), owned->allowance);
  owned->level_known = request.level.has_value();
  owned->ownership = ownership;
  owned->opened = now;
  owned->taken = 0;
  owned->bucket.limit = limit;
  owned->bucket.updated = now;
  owned->bucket.share = ownership.stands_in ? 0 : ownership.share;
  owned->bucket.level = level;
}

/// Applies a level that a requester learned before the bucket was opened.
void BucketOwner::ApplyKnownLevel(const Request& request,
                                  OwnedBucket* owned) const {
  const double level = std::min(this->InitialLevel(request, owned->ownership),
                                owned->allowance) -
                       owned->taken;
  double* const current = &owned->bucket.level;
  *current = owned->level_known ? std::min(*current, level)
                                : std::max(*current, level);
  owned->level_known = true;
}

void BucketOwner::ChangeOwnership(const Ownership& ownership,
                                  TimePoint now,
                                  OwnedBucket* owned) const {
  Refill(&owned->bucket, now);
  // A better owner is back and starts from the level that requesters know.
  if (ownership.stands_in && !owned->ownership.stands_in) {
    owned->bucket.level = std::min(owned->bucket.level, 0.0);
    owned->allowance_at = now;
  }
  owned->ownership = ownership;
  owned->bucket.share = ownership.stands_in ? 0 : ownership.share;
  if (!ownership.stands_in)
    owned->bucket.level =
        std::min(owned->bucket.level, MaxLevel(owned->bucket));
}

Reply BucketOwner::Decide(const Request& request,
                          const Ownership& ownership,
                          TimePoint now) {
  const auto [found, is_new] = this->buckets.try_emplace(request.team);
  OwnedBucket& owned = found->second;
  if (is_new || owned.ownership.term != ownership.term)
    this->Open(request, ownership, now, &owned);
  else
    this->ChangeOwnership(ownership, now, &owned);
  TokenBucket& bucket = owned.bucket;
  ApplyLimit(request.limit, &bucket);
  Refill(&bucket, now);
  owned.asked_at = now;
  if (request.level && request.level->age > now - owned.opened &&
      now < owned.opened + kOpeningTime)
    this->ApplyKnownLevel(request, &owned);
  Settle(request.settled, &owned);
  Reply reply;
  reply.number = request.number;
  // A new bucket is too low to keep a part for urgent requests.
  const bool is_new_bucket =
      ownership.stands_in || now < owned.opened + kNewTime;
  const int rank = is_new_bucket ? 0 : request.rank;
  // A larger debt would exceed what a window may have.
  const bool fits = request.units <= bucket.limit.burst + this->bounds.slack;
  const bool granted = fits && Take(request.units, rank, now, &bucket);
  reply.verdict = granted ? Verdict::kGranted : Verdict::kRefused;
  if (granted)
    owned.taken += request.units;
  RecordUse(granted ? request.units : 0, now, &owned);
  reply.level = bucket.level;
  if (!granted)
    reply.retry_after = RetryAfter(bucket, request.units, rank);
  return reply;
}

void BucketOwner::Forget(TimePoint now) {
  for (auto it = this->buckets.begin(); it != this->buckets.end();)
    it = now > it->second.asked_at + kKeepTime ? this->buckets.erase(it)
                                               : std::next(it);
}

std::vector<TeamUse> BucketOwner::Use(TimePoint now) {
  std::vector<TeamUse> uses;
  for (auto& [team, owned] : this->buckets) {
    RecordUse(0, now, &owned);
    if (!owned.ownership.stands_in)
      uses.push_back({team, owned.use_per_s});
  }
  return uses;
}

}  // namespace coltsfootvane::quota
