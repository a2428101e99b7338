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

// Guards against a daemon that goes on waiting for a platform that does not
// answer, that refuses because of single slow calls, or that never tries again.
TEST(StoreBreaker, OpensAfterARowOfTimeoutsAndProbes) {
  // a: answered, t: timed out, n: neither; each call ends before the next one.
  struct Row {
    const char* name;
    const char* calls;
    StoreAdmission next;  ///< At once.
    StoreAdmission after_pause;
  };
  constexpr StoreAdmission kCall = StoreAdmission::kCall;
  constexpr StoreAdmission kProbe = StoreAdmission::kProbe;
  constexpr StoreAdmission kRefused = StoreAdmission::kRefused;
  const Row rows[] = {
      {"nothing yet", "", kCall, kCall},
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
      const StoreAnswer answer = call == 'a'   ? StoreAnswer::kAnswered
                                 : call == 't' ? StoreAnswer::kTimedOut
                                               : StoreAnswer::kNeither;
      OnStoreCallEnd(&breaker, admission, answer, At(ms));
    }
    StoreBreaker later = breaker;
    CHECK_TEXT(AdmitStoreCall(&breaker, At(ms)) == row.next, row.name);
    CHECK_TEXT(AdmitStoreCall(&later, At(ms + 500)) == row.after_pause,
               row.name);
  }
}

// Guards against many requests that wait for a silent platform at once.
TEST(StoreBreaker, OneProbeAtATime) {
  StoreBreaker breaker;
  breaker.timeouts = kTimeoutsToOpen;
  CHECK(AdmitStoreCall(&breaker, At(1000)) == StoreAdmission::kProbe);
  CHECK(AdmitStoreCall(&breaker, At(9000)) == StoreAdmission::kRefused);
  // A call from before the breaker opened does not end the probe.
  OnStoreCallEnd(&breaker, StoreAdmission::kCall, StoreAnswer::kTimedOut,
                 At(9000));
  CHECK(AdmitStoreCall(&breaker, At(9999)) == StoreAdmission::kRefused);
  OnStoreCallEnd(&breaker, StoreAdmission::kProbe, StoreAnswer::kAnswered,
                 At(9999));
  CHECK(AdmitStoreCall(&breaker, At(9999)) == StoreAdmission::kCall);
}

// Guards against a failure that is no timeout, or a call with hardly any time,
// that opens the breaker.
TEST(StoreBreaker, JudgesWhatACallShows) {
  struct Row {
    const char* name;
    StepEvent event;
    int allowed_ms;
    int taken_ms;
    StoreAnswer answer;
  };
  const Row rows[] = {
      {"written", StepEvent::kWritten, 1000, 5, StoreAnswer::kAnswered},
      {"conflict", StepEvent::kConflict, 1000, 5, StoreAnswer::kAnswered},
      {"missing", StepEvent::kMissing, 1000, 5, StoreAnswer::kAnswered},
      {"read", StepEvent::kRead, 1000, 1000, StoreAnswer::kAnswered},
      {"outage", StepEvent::kLost, 1000, 5, StoreAnswer::kNeither},
      {"refused connection", StepEvent::kNotWritten, 1000, 5,
       StoreAnswer::kNeither},
      {"silent write", StepEvent::kLost, 1000, 1001, StoreAnswer::kTimedOut},
      {"silent read", StepEvent::kReadFailed, 1000, 1000,
       StoreAnswer::kTimedOut},
      {"silent connect", StepEvent::kNotWritten, 1000, 1000,
       StoreAnswer::kTimedOut},
      {"little time", StepEvent::kLost, 199, 300, StoreAnswer::kNeither},
  };
  for (const Row& row : rows) {
    CHECK_TEXT(JudgeStoreCall(row.event, At(0), At(row.allowed_ms),
                              At(row.taken_ms)) == row.answer,
               row.name);
  }
}

// Guards against a refused call that reaches the store or claims an effect.
TEST(StoreBreaker, RefusedCallsSendNothing) {
  int calls = 0;
  const auto silent = [&calls](TimePoint deadline) {
    ++calls;
    std::this_thread::sleep_until(deadline);
    Learned learned;
    learned.event = StepEvent::kLost;
    return learned;
  };
  RecordStore store;
  store.read = [&silent](const std::string&, TimePoint deadline) {
    return silent(deadline);
  };
  store.create = [&silent](const std::string&, const Record&,
                           TimePoint deadline) { return silent(deadline); };
  store.update = [&silent](const std::string&, const Record&, std::int64_t,
                           TimePoint deadline) { return silent(deadline); };
  const RecordStore guarded = GuardStore(store);
  for (int i = 0; i < kTimeoutsToOpen; ++i) {
    const TimePoint soon = Clock::now() + 2 * kLeastTimeToJudge;
    CHECK(guarded.create("r", {}, soon).event == StepEvent::kLost);
  }
  const TimePoint late = Clock::now() + Milliseconds{5000};
  CHECK(guarded.create("r", {}, late).event == StepEvent::kNotWritten);
  CHECK(guarded.update("r", {}, 1, late).event == StepEvent::kNotWritten);
  CHECK(guarded.read("r", late).event == StepEvent::kReadFailed);
  CHECK(Clock::now() < late - Milliseconds{4000});
  LONGS_EQUAL(kTimeoutsToOpen, calls);
}
