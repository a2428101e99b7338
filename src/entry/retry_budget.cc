#include "entry/retry_budget.h"

#include <algorithm>

namespace coltsfootvane {
namespace {

void Refill(RetryBudget* budget, TimePoint now) {
  const bool first = budget->updated == TimePoint();
  if (!first && now > budget->updated) {
    const std::chrono::duration<double> elapsed = now - budget->updated;
    budget->retries =
        std::min(budget->max_retries,
                 budget->retries + elapsed.count() * budget->min_retries_per_s);
  }
  budget->updated = std::max(budget->updated, now);
}

}  // namespace

void CreditRetries(RetryBudget* budget, TimePoint now) {
  Refill(budget, now);
  budget->retries = std::min(budget->max_retries,
                             budget->retries + budget->retries_per_request);
}

bool SpendRetry(RetryBudget* budget, TimePoint now) {
  Refill(budget, now);
  if (budget->retries < 1)
    return false;
  budget->retries -= 1;
  return true;
}

}  // namespace coltsfootvane
