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

void LogStateChange(int timeouts_before, int timeouts) {
  if (timeouts_before < kTimeoutsToOpen && timeouts >= kTimeoutsToOpen)
    LogEvent(kRecordStoreSilent, "timeouts=" + std::to_string(timeouts));
  if (timeouts_before >= kTimeoutsToOpen && timeouts < kTimeoutsToOpen)
    LogEvent(kRecordStoreAnswers,
             "timeouts=" + std::to_string(timeouts_before));
}

StepOutcome CallThroughBreaker(SharedBreaker* shared,
                               StepEvent rejected_event,
                               TimePoint deadline,
                               const std::function<StepOutcome()>& call) {
  StoreAdmission admission = StoreAdmission::kRefused;
  {
    std::lock_guard<std::mutex> lock(shared->mutex);
    admission = AdmitStoreCall(&shared->breaker, Clock::now());
  }
  StepOutcome outcome;
  outcome.event = rejected_event;
  if (admission == StoreAdmission::kRefused)
    return outcome;
  const TimePoint start = Clock::now();
  outcome = call();
  const TimePoint end = Clock::now();
  const StoreCallResult result =
      ClassifyStoreCall(outcome.event, start, deadline, end);
  std::lock_guard<std::mutex> lock(shared->mutex);
  const int before = shared->breaker.timeouts;
  OnStoreCallEnd(&shared->breaker, admission, result, end);
  LogStateChange(before, shared->breaker.timeouts);
  return outcome;
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
                    StoreCallResult result,
                    TimePoint now) {
  if (admission == StoreAdmission::kProbe)
    breaker->probing = false;
  if (result == StoreCallResult::kAnswered)
    breaker->timeouts = 0;
  if (result == StoreCallResult::kTimedOut)
    ++breaker->timeouts;
  breaker->next_probe = now + kProbeInterval;
}

StoreCallResult ClassifyStoreCall(StepEvent event,
                                  TimePoint start,
                                  TimePoint deadline,
                                  TimePoint end) {
  if (IsPlatformAnswer(event))
    return StoreCallResult::kAnswered;
  const bool timed_out =
      end >= deadline && deadline - start >= kMinTimeToClassify;
  return timed_out ? StoreCallResult::kTimedOut
                   : StoreCallResult::kInconclusive;
}

RecordStore WithStoreBreaker(RecordStore store) {
  const auto shared = std::make_shared<SharedBreaker>();
  RecordStore guarded;
  guarded.read = [shared, read = std::move(store.read)](const std::string& name,
                                                        TimePoint deadline) {
    return CallThroughBreaker(shared.get(), StepEvent::kReadFailed, deadline,
                              [&] { return read(name, deadline); });
  };
  guarded.create = [shared, create = std::move(store.create)](
                       const std::string& name, const Record& record,
                       TimePoint deadline) {
    return CallThroughBreaker(shared.get(), StepEvent::kNotWritten, deadline,
                              [&] { return create(name, record, deadline); });
  };
  guarded.update = [shared, update = std::move(store.update)](
                       const std::string& name, const Record& record,
                       std::int64_t version, TimePoint deadline) {
    return CallThroughBreaker(
        shared.get(), StepEvent::kNotWritten, deadline,
        [&] { return update(name, record, version, deadline); });
  };
  return guarded;
}

}  // namespace coltsfootvane
