#ifndef COLTSFOOTVANE_OBJECTAPI_RETRY_H_
#define COLTSFOOTVANE_OBJECTAPI_RETRY_H_

#include "base/clock.h"

namespace coltsfootvane::objectapi {

/// Bounds of an exponential backoff.
struct Backoff {
  Milliseconds first{100};
  Milliseconds longest{5000};
};

/// Returns how long to wait before attempt `attempt` + 1, where the first
/// attempt has number 1. The delay doubles with each attempt up to `longest`
/// and is scaled by `random`, from 0 to 1, to between half and all of it, so
/// that daemons that failed together do not return together. `retry_after_ms`,
/// if greater, is the lower bound; jitter of up to half of it is then added.
Milliseconds BackoffDelay(const Backoff& backoff,
                          int attempt,
                          double random,
                          int retry_after_ms = 0);

/// Returns a uniform number from 0 to 1 from a generator of the calling thread.
double RandomFraction();

}  // namespace coltsfootvane::objectapi

#endif  // COLTSFOOTVANE_OBJECTAPI_RETRY_H_
