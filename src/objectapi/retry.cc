#include "objectapi/retry.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace coltsfootvane::objectapi {
namespace {

/// Later doublings exceed any limit in use.
constexpr int kMaxDoublings = 30;

Milliseconds Scale(Milliseconds delay, double factor) {
  const double scaled = static_cast<double>(delay.count()) * factor;
  return Milliseconds{std::llround(scaled)};
}

}  // namespace

Milliseconds BackoffDelay(const Backoff& backoff,
                          int attempt,
                          double random,
                          int retry_after_ms) {
  const int doublings = std::clamp(attempt - 1, 0, kMaxDoublings);
  const Milliseconds whole =
      std::min(backoff.longest, backoff.first * (std::int64_t{1} << doublings));
  const Milliseconds delay = Scale(whole, 0.5 + random / 2);
  const Milliseconds asked{retry_after_ms};
  if (asked <= delay)
    return delay;
  return Scale(asked, 1 + random / 2);
}

double RandomFraction() {
  thread_local std::mt19937_64 generator{std::random_device{}()};
  return std::uniform_real_distribution<double>(0, 1)(generator);
}

}  // namespace coltsfootvane::objectapi
