#ifndef COLTSFOOTVANE_QUOTA_TOKEN_BUCKET_H_
#define COLTSFOOTVANE_QUOTA_TOKEN_BUCKET_H_

#include "base/clock.h"
#include "quota/messages.h"

namespace coltsfootvane::quota {

/// Share of the burst that is kept for urgent requests.
inline constexpr double kReservedShare = 0.2;
/// Requests of a lower rank number may use it.
inline constexpr int kFirstDeferredRank = 2;

/// Permissions of a team, in its units.
struct TokenBucket {
  Limit limit;
  double share = 1;  ///< Of the rate and of the burst; see ShareProbe.
  double level = 0;  ///< Below 0 after a request larger than the burst.
  TimePoint updated;
  double refused = 0;  ///< Units refused recently, decaying.
};

/// Adds what has accrued since the last call.
void Refill(TokenBucket* bucket, TimePoint now);

/// Returns the highest level that accrues.
double MaxLevel(const TokenBucket& bucket);

/// Applies the limit if it is of a newer configuration. The level is cut to the
/// new burst.
void ApplyLimit(const Limit& limit, TokenBucket* bucket);

/// Takes the units of a request if the bucket has them. Of a burst of at least
/// five such requests a fifth is kept for the ranks below 2. A request that is
/// larger than the burst needs a full bucket and leaves a debt.
bool Take(double units, int rank, TimePoint now, TokenBucket* bucket);

/// Returns when a refused request would find its units: after those that were
/// refused recently, which return as well.
Milliseconds RetryAfter(const TokenBucket& bucket, double units, int rank);

}  // namespace coltsfootvane::quota

#endif  // COLTSFOOTVANE_QUOTA_TOKEN_BUCKET_H_
