#ifndef COLTSFOOTVANE_GATEWAY_ADMISSION_H_
#define COLTSFOOTVANE_GATEWAY_ADMISSION_H_

#include "base/clock.h"
#include "gateway/routing_table.h"

namespace coltsfootvane::gateway {

struct Admission {
  bool admitted = true;
  Milliseconds retry_after{0};  ///< Earliest useful retry, if not admitted.
};

/// Decides on arrival whether an engine can start a request soon enough. In an
/// overload, a queue that is longer than the latency objective makes every
/// request late; a short queue keeps the admitted requests on time.
Admission Admit(const Route& route,
                double expected_wait_ms,
                Milliseconds time_left);

/// Returns the retry delay for a model that no endpoint has loaded. `model` may
/// be nullptr.
Milliseconds RetryAfterLoad(const EngineModel* model);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ADMISSION_H_
