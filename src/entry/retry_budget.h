#ifndef COLTSFOOTVANE_ENTRY_RETRY_BUDGET_H_
#define COLTSFOOTVANE_ENTRY_RETRY_BUDGET_H_

#include "base/clock.h"

namespace coltsfootvane {

/// Retries added to the budget per request.
inline constexpr double kRetriesPerRequest = 0.1;
/// Retries added per second regardless of traffic, so that a daemon with few
/// requests can retry at all.
inline constexpr double kMinRetriesPerSecond = 1;
/// Capacity of the budget: the retries that 100 requests per second add in one
/// second.
inline constexpr double kMaxRetries = 10;

/// Token bucket that limits retries, so that they do not amplify an overload.
struct RetryBudget {
  double retries = kMaxRetries;  ///< Retries available now.
  double retries_per_request = kRetriesPerRequest;
  double min_retries_per_s = kMinRetriesPerSecond;
  double max_retries = kMaxRetries;
  TimePoint updated;
};

/// Adds the retries that one request earns.
void CreditRetries(RetryBudget* budget, TimePoint now);

/// Takes one retry. Returns false if none is available.
bool SpendRetry(RetryBudget* budget, TimePoint now);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_RETRY_BUDGET_H_
