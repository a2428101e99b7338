#include "idempotency/run_once.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane {
namespace {

/// Part of the caller's time that platform calls without an answer may use in
/// all, so that a caller who hears "not run" still has time to go elsewhere.
constexpr int kSilenceShare = 4;

/// When to ask again after an outcome for which the peer gave no time.
constexpr int kRetryAfterMs = 1000;

bool Settles(StepAction action) {
  return action == StepAction::kWriteDone || action == StepAction::kFence;
}

bool CallsPlatform(StepAction action) {
  return action == StepAction::kCreate || action == StepAction::kRead ||
         action == StepAction::kTakeOver ||
         action == StepAction::kUpdateSending;
}

class Attempt {
 public:
  Attempt(const RecordStore& store,
          const RunRequest& request,
          const RunFunctions& functions)
      : store(&store), request(&request), functions(&functions) {
    const auto time_left = TimeLeft(request.deadline, Clock::now());
    this->silence_left = time_left / kSilenceShare;
    this->state.attempt = RandomId();
    this->state.body_digest = request.body_digest;
    this->state.target_digest = request.target_digest;
  }

  RunOutcome Run();

 private:
  Learned Act(const Step& step);
  Learned ActInTime(const Step& step);
  Learned Prepare();
  Learned Send();
  Record MakeRecord(RecordState record_state) const;
  Record MakeDoneRecord() const;
  Learned Update(const Record& record, const Step& step) const;
  TimePoint CallDeadline(StepAction action) const;
  RunOutcome Finish(const Step& step);
  void FinishReplay(RunOutcome* outcome);

  const RecordStore* store;
  const RunRequest* request;
  const RunFunctions* functions;
  AttemptState state;
  http::Response response;
  int retry_after_ms = kRetryAfterMs;
  /// Time that platform calls before the send may still use without an answer.
  Milliseconds silence_left{0};
};

Learned Just(StepEvent event) {
  Learned learned;
  learned.event = event;
  return learned;
}

TimePoint Attempt::CallDeadline(StepAction action) const {
  const Milliseconds timeout = this->request->platform_timeout;
  if (Settles(action))
    return Clock::now() + timeout;
  return Clock::now() + std::min(timeout, this->silence_left);
}

Record Attempt::MakeRecord(RecordState record_state) const {
  Record record;
  record.state = record_state;
  record.attempt = this->state.attempt;
  record.body_digest = this->state.body_digest;
  record.target_digest = this->state.target_digest;
  record.time_ms = CurrentTimeMs();
  return record;
}

Record Attempt::MakeDoneRecord() const {
  return MakeDone(this->MakeRecord(RecordState::kDone), this->response.status,
                  http::FindHeader(this->response.headers, "Content-Type"),
                  this->response.body);
}

Learned Attempt::Update(const Record& record, const Step& step) const {
  return this->store->update(this->request->name, record, step.version,
                             this->CallDeadline(step.action));
}

Learned Attempt::Prepare() {
  const Result<bool> prepared = this->functions->prepare();
  if (prepared)
    return Just(StepEvent::kPrepared);
  if (prepared.error().retry_after_ms > 0)
    this->retry_after_ms = prepared.error().retry_after_ms;
  return Just(StepEvent::kNotPrepared);
}

Learned Attempt::Send() {
  Result<http::Response> result = this->functions->send();
  if (result) {
    this->response = std::move(result.value());
    return Just(StepEvent::kSendComplete);
  }
  if (result.error().retry_after_ms > 0)
    this->retry_after_ms = result.error().retry_after_ms;
  if (result.error().code == ErrorCode::kRefused)
    return Just(StepEvent::kSendRefused);
  const bool not_sent = result.error().code == ErrorCode::kNotSent ||
                        result.error().code == ErrorCode::kTimeout;
  return Just(not_sent ? StepEvent::kSendNotSent : StepEvent::kSendUnknown);
}

Learned Attempt::Act(const Step& step) {
  switch (step.action) {
    case StepAction::kCreate:
      return this->store->create(this->request->name,
                                 this->MakeRecord(RecordState::kReserved),
                                 this->CallDeadline(step.action));
    case StepAction::kRead:
      return this->store->read(this->request->name,
                               this->CallDeadline(step.action));
    case StepAction::kTakeOver:
      return this->Update(this->MakeRecord(RecordState::kReserved), step);
    case StepAction::kPrepare:
      return this->Prepare();
    case StepAction::kUpdateSending:
      return this->Update(this->MakeRecord(RecordState::kSending), step);
    case StepAction::kSend:
      return this->Send();
    case StepAction::kWriteDone:
      return this->Update(this->MakeDoneRecord(), step);
    case StepAction::kFence:
      return this->Update(this->MakeRecord(RecordState::kNotRun), step);
    case StepAction::kAnswer:
      break;
  }
  return {};
}

Learned Attempt::ActInTime(const Step& step) {
  const TimePoint start = Clock::now();
  // A response or a fence is still recorded after the deadline.
  if (Settles(step.action))
    return this->Act(step);
  if (start >= this->request->deadline)
    return Just(StepEvent::kOutOfTime);
  if (!CallsPlatform(step.action))
    return this->Act(step);
  if (this->silence_left.count() <= 0)
    return Just(StepEvent::kOutOfTime);
  Learned learned = this->Act(step);
  if (!IsAnswer(learned.event))
    this->silence_left -= std::chrono::ceil<Milliseconds>(Clock::now() - start);
  return learned;
}

void Attempt::FinishReplay(RunOutcome* outcome) {
  const Record& record = this->state.seen;
  if (!record.body_stored) {
    outcome->result = RunResult::kDoneNotStored;
    return;
  }
  outcome->result = RunResult::kReplay;
  outcome->response.status = record.status;
  outcome->response.body = record.body;
  if (!record.content_type.empty())
    outcome->response.headers.push_back({"Content-Type", record.content_type});
}

RunOutcome Attempt::Finish(const Step& step) {
  RunOutcome outcome;
  outcome.remainder = step.remainder;
  outcome.retry_after_ms = this->retry_after_ms;
  outcome.settlement.name = this->request->name;
  if (step.remainder == StepRemainder::kDone)
    outcome.settlement.record = this->MakeDoneRecord();
  if (step.remainder == StepRemainder::kFence)
    outcome.settlement.record = this->MakeRecord(RecordState::kNotRun);
  switch (step.answer) {
    case StepAnswer::kResponse:
      outcome.result = RunResult::kResponse;
      outcome.response = std::move(this->response);
      break;
    case StepAnswer::kReplay:
      this->FinishReplay(&outcome);
      break;
    case StepAnswer::kNotRun:
      outcome.result = RunResult::kNotRun;
      break;
    case StepAnswer::kKeyReused:
      outcome.result = RunResult::kKeyReused;
      break;
    case StepAnswer::kUnknown:
    case StepAnswer::kBadRecord:
      outcome.result = RunResult::kUnknown;
      break;
  }
  return outcome;
}

RunOutcome Attempt::Run() {
  Step step = NextStep(&this->state, Just(StepEvent::kStart));
  while (step.action != StepAction::kAnswer) {
    const Learned learned = this->ActInTime(step);
    if (this->functions->on_step)
      this->functions->on_step(step.action, learned.event);
    step = NextStep(&this->state, learned);
  }
  return this->Finish(step);
}

}  // namespace

RunOutcome RunOnce(const RecordStore& store,
                   const RunRequest& request,
                   const RunFunctions& functions) {
  return Attempt(store, request, functions).Run();
}

}  // namespace coltsfootvane
