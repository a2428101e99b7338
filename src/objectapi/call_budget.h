#ifndef COLTSFOOTVANE_OBJECTAPI_CALL_BUDGET_H_
#define COLTSFOOTVANE_OBJECTAPI_CALL_BUDGET_H_

#include <mutex>

#include "base/clock.h"

namespace coltsfootvane::objectapi {

/// A token bucket over the calls of one process. Safe to use from any thread.
class CallBudget {
 public:
  /// Starts full. `calls_per_s` is at least 0; the bucket holds two seconds of
  /// it and at least one call.
  CallBudget(double calls_per_s, TimePoint now);

  /// Takes one call out. Returns false if none is left.
  bool Take(TimePoint now);

 private:
  std::mutex mutex;
  double calls_per_s;
  double capacity;
  double available;
  TimePoint filled_at;
};

}  // namespace coltsfootvane::objectapi

#endif  // COLTSFOOTVANE_OBJECTAPI_CALL_BUDGET_H_
