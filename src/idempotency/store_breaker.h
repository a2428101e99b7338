#ifndef COLTSFOOTVANE_IDEMPOTENCY_STORE_BREAKER_H_
#define COLTSFOOTVANE_IDEMPOTENCY_STORE_BREAKER_H_

#include <memory>

#include "base/clock.h"
#include "idempotency/record_store.h"

namespace coltsfootvane {

/// What a call to the platform says about whether it answers.
enum class StoreAnswer {
  kAnswered,
  kTimedOut,
  kNeither,  ///< Failed early, or had too little time to say anything.
};

enum class StoreAdmission { kCall, kProbe, kRefused };

/// A circuit breaker over the record calls of one daemon. After a row of calls
/// that timed out, one call at a time is let through until one is answered.
struct StoreBreaker {
  int timeouts = 0;  ///< In a row.
  bool probing = false;
  TimePoint next_probe;
};

/// A pause of the platform lets the calls that are in flight time out together,
/// so that a single one says little.
inline constexpr int kTimeoutsToOpen = 3;

/// The platform responds in milliseconds; less time than this is no sign.
inline constexpr Milliseconds kLeastTimeToJudge{200};

/// Between two probes. The caller whose call is the probe is refused late.
inline constexpr Milliseconds kProbePause{500};

StoreAdmission AdmitStoreCall(StoreBreaker* breaker, TimePoint now);

/// To be called at the end of each admitted call.
void OnStoreCallEnd(StoreBreaker* breaker,
                    StoreAdmission admission,
                    StoreAnswer answer,
                    TimePoint now);

/// Returns what a call shows that had from `start` to `deadline` and ended at
/// `end` with `event`.
StoreAnswer JudgeStoreCall(StepEvent event,
                           TimePoint start,
                           TimePoint deadline,
                           TimePoint end);

/// Returns `store` behind a breaker of its own, thread safe. A call that is not
/// admitted sends nothing: kNotWritten, or kReadFailed for a read.
RecordStore GuardStore(RecordStore store);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_STORE_BREAKER_H_
