#include "idempotency/store_breaker.h"

#include <functional>
#include <mutex>
#include <string>
#include <utility>

#include "idempotency/events.h"

namespace coltsfootvane {
namespace {

struct SharedBreaker {
  std::mutex mutex;
  StoreBreaker breaker;
};

void LogChange(int timeouts_before, int timeouts) {
  if (timeouts_before < kTimeoutsToOpen && timeouts >= kTimeoutsToOpen)
    LogEvent(kRecordStoreSilent, "timeouts=" + std::to_string(timeouts));
  if (timeouts_before >= kTimeoutsToOpen && timeouts < kTimeoutsToOpen)
    LogEvent(kRecordStoreAnswers,
             "timeouts=" + std::to_string(timeouts_before));
}

Learned CallGuarded(SharedBreaker* shared,
                    StepEvent refused,
                    TimePoint deadline,
                    const std::function<Learned()>& call) {
  StoreAdmission admission = StoreAdmission::kRefused;
  {
    std::lock_guard<std::mutex> lock(shared->mutex);
    admission = AdmitStoreCall(&shared->breaker, Clock::now());
  }
  Learned learned;
  learned.event = refused;
  if (admission == StoreAdmission::kRefused)
    return learned;
  const TimePoint start = Clock::now();
  learned = call();
  const TimePoint end = Clock::now();
  const StoreAnswer answer =
      JudgeStoreCall(learned.event, start, deadline, end);
  std::lock_guard<std::mutex> lock(shared->mutex);
  const int before = shared->breaker.timeouts;
  OnStoreCallEnd(&shared->breaker, admission, answer, end);
  LogChange(before, shared->breaker.timeouts);
  return learned;
}

}  // namespace

StoreAdmission AdmitStoreCall(StoreBreaker* breaker, TimePoint now) {
  if (breaker->timeouts < kTimeoutsToOpen)
    return StoreAdmission::kCall;
  if (breaker->probing || now < breaker->next_probe)
    return StoreAdmission::kRefused;
  breaker->probing = true;
  return StoreAdmission::kProbe;
}

void OnStoreCallEnd(StoreBreaker* breaker,
                    StoreAdmission admission,
                    StoreAnswer answer,
                    TimePoint now) {
  if (admission == StoreAdmission::kProbe)
    breaker->probing = false;
  if (answer == StoreAnswer::kAnswered)
    breaker->timeouts = 0;
  if (answer == StoreAnswer::kTimedOut)
    ++breaker->timeouts;
  breaker->next_probe = now + kProbePause;
}

StoreAnswer JudgeStoreCall(StepEvent event,
                           TimePoint start,
                           TimePoint deadline,
                           TimePoint end) {
  if (IsAnswer(event))
    return StoreAnswer::kAnswered;
  const bool timed_out =
      end >= deadline && deadline - start >= kLeastTimeToJudge;
  return timed_out ? StoreAnswer::kTimedOut : StoreAnswer::kNeither;
}

RecordStore GuardStore(RecordStore store) {
  const auto shared = std::make_shared<SharedBreaker>();
  RecordStore guarded;
  guarded.read = [shared, read = std::move(store.read)](const std::string& name,
                                                        TimePoint deadline) {
    return CallGuarded(shared.get(), StepEvent::kReadFailed, deadline,
                       [&] { return read(name, deadline); });
  };
  guarded.create = [shared, create = std::move(store.create)](
                       const std::string& name, const Record& record,
                       TimePoint deadline) {
    return CallGuarded(shared.get(), StepEvent::kNotWritten, deadline,
                       [&] { return create(name, record, deadline); });
  };
  guarded.update = [shared, update = std::move(store.update)](
                       const std::string& name, const Record& record,
                       std::int64_t version, TimePoint deadline) {
    return CallGuarded(shared.get(), StepEvent::kNotWritten, deadline,
                       [&] { return update(name, record, version, deadline); });
  };
  return guarded;
}

}  // namespace coltsfootvane
