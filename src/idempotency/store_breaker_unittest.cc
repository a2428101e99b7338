#include "idempotency/store_breaker.h"

#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TimePoint At(int ms) {
  return TimePoint() + Milliseconds{ms};
}

}  // namespace

TEST_GROUP(StoreBreaker){};

// Guards against a daemon that keeps waiting for a platform that does not
// answer, that refuses calls after a single slow one, or that never retries.
TEST(StoreBreaker, OpensAfterRepeatedTimeoutsAndProbes) {
  // a: answered, t: timed out, n: inconclusive; each call ends before the next
  // one.
  struct Row {
    const char* name;
    const char* calls;
    StoreAdmission next;  ///< Immediately after the last call.
    StoreAdmission after_pause;
  };
  constexpr StoreAdmission kCall = StoreAdmission::kCall;
  constexpr StoreAdmission kProbe = StoreAdmission::kProbe;
  constexpr StoreAdmission kRefused = StoreAdmission::kRefused;
  const Row rows[] = {
      {"no calls", "", kCall, kCall},
      {"two timeouts", "tt", kCall, kCall},
      {"an answer between", "ttatt", kCall, kCall},
      {"three timeouts", "ttt", kRefused, kProbe},
      {"early failures between do not count as answers", "tntnt", kRefused,
       kProbe},
      {"early failures only", "nnnnnn", kCall, kCall},
      {"the probe times out", "tttt", kRefused, kProbe},
      {"the probe fails early", "tttn", kRefused, kProbe},
      {"the probe is answered", "ttta", kCall, kCall},
  };
  for (const Row& row : rows) {
    StoreBreaker breaker;
    int ms = 0;
    for (const char call : std::string(row.calls)) {
      ms += 1000;
      const StoreAdmission admission = AdmitStoreCall(&breaker, At(ms));
      CHECK_TEXT(admission != kRefused, row.name);
      const StoreCallResult result = call == 'a' ? StoreCallResult::kAnswered
                                     : call == 't'
                                         ? StoreCallResult::kTimedOut
                                         : StoreCallResult::kInconclusive;
      OnStoreCallEnd(&breaker, admission, result, At(ms));
    }
    StoreBreaker later = breaker;
    CHECK_TEXT(AdmitStoreCall(&breaker, At(ms)) == row.next, row.name);
    CHECK_TEXT(AdmitStoreCall(&later, At(ms + 500)) == row.after_pause,
               row.name);
  }
}

// Guards against many requests that wait at once for a platform that does not
// answer.
TEST(StoreBreaker, OneProbeAtATime) {
  StoreBreaker breaker;
  breaker.timeouts = kTimeoutsToOpen;
  CHECK(AdmitStoreCall(&breaker, At(1000)) == StoreAdmission::kProbe);
  CHECK(AdmitStoreCall(&breaker, At(9000)) == StoreAdmission::kRefused);
  // A call that began before the breaker opened does not end the probe.
  OnStoreCallEnd(&breaker, StoreAdmission::kCall, StoreCallResult::kTimedOut,
                 At(9000));
  CHECK(AdmitStoreCall(&breaker, At(9999)) == StoreAdmission::kRefused);
  OnStoreCallEnd(&breaker, StoreAdmission::kProbe, StoreCallResult::kAnswered,
                 At(9999));
  CHECK(AdmitStoreCall(&breaker, At(9999)) == StoreAdmission::kCall);
}

// Guards against opening the breaker for failures other than time-outs, or for
// calls that had very little time.
TEST(StoreBreaker, ClassifiesCalls) {
  struct Row {
    const char* name;
    StepEvent event;
    int allowed_ms;
    int taken_ms;
    StoreCallResult result;
  };
  const Row rows[] = {
      {"written", StepEvent::kWritten, 1000, 5, StoreCallResult::kAnswered},
      {"conflict", StepEvent::kConflict, 1000, 5, StoreCallResult::kAnswered},
      {"missing", StepEvent::kMissing, 1000, 5, StoreCallResult::kAnswered},
      {"read", StepEvent::kRead, 1000, 1000, StoreCallResult::kAnswered},
      {"outage", StepEvent::kLost, 1000, 5, StoreCallResult::kInconclusive},
      {"refused connection", StepEvent::kNotWritten, 1000, 5,
       StoreCallResult::kInconclusive},
      {"write without an answer", StepEvent::kLost, 1000, 1001,
       StoreCallResult::kTimedOut},
      {"read without an answer", StepEvent::kReadFailed, 1000, 1000,
       StoreCallResult::kTimedOut},
      {"connect without an answer", StepEvent::kNotWritten, 1000, 1000,
       StoreCallResult::kTimedOut},
      {"little time", StepEvent::kLost, 199, 300,
       StoreCallResult::kInconclusive},
  };
  for (const Row& row : rows) {
    CHECK_TEXT(ClassifyStoreCall(row.event, At(0), At(row.allowed_ms),
                                 At(row.taken_ms)) == row.result,
               row.name);
  }
}

// Guards against a refused call that reaches the store or is reported as
// possibly written.
TEST(StoreBreaker, RefusedCallsSendNothing) {
  int calls = 0;
  const auto unanswered = [&calls](TimePoint deadline) {
    ++calls;
    std::this_thread::sleep_until(deadline);
    StepOutcome outcome;
    outcome.event = StepEvent::kLost;
    return outcome;
  };
  RecordStore store;
  store.read = [&unanswered](const std::string&, TimePoint deadline) {
    return unanswered(deadline);
  };
  store.create = [&unanswered](const std::string&, const Record&,
                               TimePoint deadline) {
    return unanswered(deadline);
  };
  store.update = [&unanswered](const std::string&, const Record&, std::int64_t,
                               TimePoint deadline) {
    return unanswered(deadline);
  };
  const RecordStore guarded = WithStoreBreaker(store);
  for (int i = 0; i < kTimeoutsToOpen; ++i) {
    const TimePoint soon = Clock::now() + 2 * kMinTimeToClassify;
    CHECK(guarded.create("r", {}, soon).event == StepEvent::kLost);
  }
  const TimePoint late = Clock::now() + Milliseconds{5000};
  CHECK(guarded.create("r", {}, late).event == StepEvent::kNotWritten);
  CHECK(guarded.update("r", {}, 1, late).event == StepEvent::kNotWritten);
  CHECK(guarded.read("r", late).event == StepEvent::kReadFailed);
  CHECK(Clock::now() < late - Milliseconds{4000});
  LONGS_EQUAL(kTimeoutsToOpen, calls);
}
