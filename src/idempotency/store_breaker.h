#ifndef COLTSFOOTVANE_IDEMPOTENCY_STORE_BREAKER_H_
#define COLTSFOOTVANE_IDEMPOTENCY_STORE_BREAKER_H_

#include <memory>

#include "base/clock.h"
#include "idempotency/record_store.h"

namespace coltsfootvane {

/// What a call shows about whether the platform answers.
enum class StoreCallResult {
  kAnswered,
  kTimedOut,
  kInconclusive,  ///< Failed early, or had too little time.
};

enum class StoreAdmission { kCall, kProbe, kRefused };

/// A circuit breaker for the record calls of one daemon. It opens after
/// kTimeoutsToOpen time-outs without an answer in between. Then only one call
/// at a time is admitted, as a probe, until one is answered.
struct StoreBreaker {
  int timeouts = 0;  ///< Since the last answered call.
  bool probing = false;
  TimePoint next_probe;
};

/// A short pause of the platform makes the calls in flight time out together,
/// so that a single time-out is weak evidence.
inline constexpr int kTimeoutsToOpen = 3;

/// The platform normally responds within milliseconds. A call that had less
/// time than this shows nothing when it times out.
inline constexpr Milliseconds kMinTimeToClassify{200};

/// Minimum time between two probes. While the platform does not answer, the
/// caller whose call serves as the probe waits until that call times out.
inline constexpr Milliseconds kProbeInterval{500};

StoreAdmission AdmitStoreCall(StoreBreaker* breaker, TimePoint now);

/// Must be called at the end of each admitted call.
void OnStoreCallEnd(StoreBreaker* breaker,
                    StoreAdmission admission,
                    StoreCallResult result,
                    TimePoint now);

/// Classifies a call that ran from `start` to `end` with `deadline` and ended
/// with `event`.
StoreCallResult ClassifyStoreCall(StepEvent event,
                                  TimePoint start,
                                  TimePoint deadline,
                                  TimePoint end);

/// Returns `store` behind a breaker of its own. Thread safe. A call that is not
/// admitted sends nothing and returns kNotWritten, or kReadFailed for a read.
RecordStore WithStoreBreaker(RecordStore store);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_STORE_BREAKER_H_
