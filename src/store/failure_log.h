#ifndef COLTSFOOTVANE_STORE_FAILURE_LOG_H_
#define COLTSFOOTVANE_STORE_FAILURE_LOG_H_

#include "log/decision_log.h"
#include "store/object_store.h"

namespace coltsfootvane::store {

/// Returns access through `inner` that logs calls that fail: the first of an
/// operation on a kind, each one for another reason, and one every 10 s while
/// it goes on. Conditions that do not hold, absent objects and history that is
/// gone are answers, not failures. The log must outlive it.
ObjectStore WithFailureLog(ObjectStore inner, DecisionLog* log);

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_FAILURE_LOG_H_
