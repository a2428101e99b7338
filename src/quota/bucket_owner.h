#ifndef COLTSFOOTVANE_QUOTA_BUCKET_OWNER_H_
#define COLTSFOOTVANE_QUOTA_BUCKET_OWNER_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "quota/messages.h"
#include "quota/token_bucket.h"

namespace coltsfootvane::quota {

/// By how much all daemons together may exceed a limit within any window.
struct Bounds {
  double window_s = 8;
  double overrun = 0.1;  ///< Of what the limit allows in a window.
  double slack = 17'000;
};

/// A daemon as owner of a bucket.
struct Ownership {
  /// Another daemon has the bucket, as far as this one knows, and may grant the
  /// whole rate though requesters do not reach it.
  bool stands_in = false;
  double share = 1;       ///< Of the daemons, those that this one reaches.
  std::int64_t term = 0;  ///< See ShareProbe::Term().
};

struct OwnedBucket {
  TokenBucket bucket;
  Ownership ownership;
  TimePoint opened;
  bool level_known = false;  ///< A requester knew a level.
  double allowance = 0;      ///< Highest level at the opening.
  double taken = 0;          ///< Since it was opened, settled units included.
  /// When the allowance of a stand-in was last given out.
  TimePoint allowance_at;
  TimePoint asked_at;    ///< By the last request.
  double use_per_s = 0;  ///< Units granted, as a moving average.
  TimePoint use_updated;
};

/// Units granted to a team.
struct TeamUse {
  TeamKey team = 0;
  double per_second = 0;
};

/// The buckets that a daemon holds for all others.
class BucketOwner {
 public:
  Bounds bounds;

  /// Decides on a request. Retransmissions have to be kept away from it.
  Reply Decide(const Request& request,
               const Ownership& ownership,
               TimePoint now);
  /// Removes buckets that have not been used for a while.
  void Forget(TimePoint now);
  /// Returns the use of the teams whose owner this daemon is.
  std::vector<TeamUse> Use(TimePoint now);
  /// Returns the number of buckets that were opened and not forgotten.
  std::size_t Count() const { return this->buckets.size(); }

 private:
  double InitialLevel(const Request& request, const Ownership& ownership) const;
  double TakeAllowance(const Limit& limit,
                       double share,
                       TimePoint now,
                       OwnedBucket* owned) const;
  void Open(const Request& request,
            const Ownership& ownership,
            TimePoint now,
            OwnedBucket* owned) const;
  void ApplyKnownLevel(const Request& request, OwnedBucket* owned) const;
  void ChangeOwnership(const Ownership& ownership,
                       TimePoint now,
                       OwnedBucket* owned) const;

  std::map<TeamKey, OwnedBucket> buckets;
};

}  // namespace coltsfootvane::quota

#endif  // COLTSFOOTVANE_QUOTA_BUCKET_OWNER_H_
