#ifndef COLTSFOOTVANE_ENTRY_RETRY_BUDGET_H_
#define COLTSFOOTVANE_ENTRY_RETRY_BUDGET_H_

#include "base/clock.h"

namespace coltsfootvane {

/// Retries earned per request.
inline constexpr double kRetriesPerRequest = 0.1;
/// Retries earned per second without traffic, so that a daemon with few
/// requests can retry at all.
inline constexpr double kRetryFloorPerSecond = 1;
/// Retries that can be saved up: those of a second at 100 requests a second.
inline constexpr double kMaxRetries = 10;

/// Limits retries, so that an overload does not feed itself.
struct RetryBudget {
  double retries = kMaxRetries;  ///< Retries available now.
  double per_request = kRetriesPerRequest;
  double floor_per_s = kRetryFloorPerSecond;
  double most = kMaxRetries;
  TimePoint updated;
};

/// Counts one request.
void EarnRetry(RetryBudget* budget, TimePoint now);

/// Takes one retry. Returns false if none is available.
bool SpendRetry(RetryBudget* budget, TimePoint now);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_RETRY_BUDGET_H_
