#ifndef COLTSFOOTVANE_GATEWAY_ADMISSION_H_
#define COLTSFOOTVANE_GATEWAY_ADMISSION_H_

#include "base/clock.h"
#include "gateway/routing_table.h"

namespace coltsfootvane::gateway {

struct Admission {
  bool admitted = true;
  Milliseconds retry_after{0};  ///< When there will be room, if not admitted.
};

/// Decides on arrival whether an engine can start a request soon enough.
/// Answers the load pattern of a flood: a queue that outlasts the objective
/// makes every request late, while a short one keeps those on time that are
/// admitted.
Admission Admit(const Route& route,
                double expected_wait_ms,
                Milliseconds time_left);

/// Returns when to come back for a model that no endpoint holds.
Milliseconds RetryAfterLoad(const EngineModel* model);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ADMISSION_H_
