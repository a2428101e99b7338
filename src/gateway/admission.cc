#include "gateway/admission.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::gateway {
namespace {

/// Wait admitted, in objectives. A late answer is worth more to a caller than
/// none, and the estimate errs on the side of long waits.
constexpr double kAdmittedObjectives = 10;
/// A request that starts after this share of its time rarely completes.
constexpr double kLatestStart = 0.5;
constexpr Milliseconds kLeastRetryAfter{200};
constexpr Milliseconds kMostRetryAfter{4000};
/// Of a load by an engine whose time is not declared.
constexpr double kUnknownLoadS = 4;

Milliseconds Bounded(double ms) {
  const Milliseconds wait(static_cast<std::int64_t>(std::ceil(ms)));
  return std::clamp(wait, kLeastRetryAfter, kMostRetryAfter);
}

}  // namespace

Admission Admit(const Route& route,
                double expected_wait_ms,
                Milliseconds time_left) {
  const double objective = static_cast<double>(route.target_latency.count());
  const double limit =
      std::min(objective * kAdmittedObjectives,
               static_cast<double>(time_left.count()) * kLatestStart);
  Admission admission;
  if (expected_wait_ms <= limit)
    return admission;
  admission.admitted = false;
  admission.retry_after = Bounded(expected_wait_ms - objective / 2);
  return admission;
}

Milliseconds RetryAfterLoad(const EngineModel* model) {
  const double load_s = model == nullptr ? kUnknownLoadS : model->store_load_s;
  return Bounded(load_s * 1000);
}

}  // namespace coltsfootvane::gateway
