#include "idempotency/run_once.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane {
namespace {

/// Platform calls without an answer may in total use the caller's time divided
/// by this, so that a caller that is told "not run" still has time to use
/// another service.
constexpr int kUnansweredTimeDivisor = 4;

/// Used when the error does not give a time.
constexpr int kDefaultRetryAfterMs = 1000;

bool IsFinalWrite(StepAction action) {
  return action == StepAction::kWriteDone || action == StepAction::kFence;
}

bool CallsPlatformBeforeSend(StepAction action) {
  return action == StepAction::kCreate || action == StepAction::kRead ||
         action == StepAction::kTakeOver ||
         action == StepAction::kUpdateSending;
}

class Attempt {
 public:
  Attempt(const RecordStore& store,
          const RunRequest& request,
          const RunCallbacks& functions)
      : store(&store), request(&request), functions(&functions) {
    const auto time_left = TimeLeft(request.deadline, Clock::now());
    this->unanswered_time_left = time_left / kUnansweredTimeDivisor;
    this->state.attempt = RandomId();
    this->state.body_digest = request.body_digest;
    this->state.target_digest = request.target_digest;
  }

  RunOutcome Run();

 private:
  StepOutcome Act(const Step& step);
  StepOutcome ActBeforeDeadline(const Step& step);
  StepOutcome Prepare();
  StepOutcome Send();
  Record MakeRecord(RecordState record_state) const;
  Record MakeDoneRecord() const;
  StepOutcome Update(const Record& record, const Step& step) const;
  TimePoint CallDeadline(StepAction action) const;
  RunOutcome Finish(const Step& step);
  void FinishReplay(RunOutcome* outcome);

  const RecordStore* store;
  const RunRequest* request;
  const RunCallbacks* functions;
  AttemptState state;
  http::Response response;
  int retry_after_ms = kDefaultRetryAfterMs;
  /// Time left for platform calls without an answer before the send.
  Milliseconds unanswered_time_left{0};
};

StepOutcome OutcomeOf(StepEvent event) {
  StepOutcome outcome;
  outcome.event = event;
  return outcome;
}

TimePoint Attempt::CallDeadline(StepAction action) const {
  const Milliseconds timeout = this->request->platform_timeout;
  if (IsFinalWrite(action))
    return Clock::now() + timeout;
  return Clock::now() + std::min(timeout, this->unanswered_time_left);
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

StepOutcome Attempt::Update(const Record& record, const Step& step) const {
  return this->store->update(this->request->name, record, step.version,
                             this->CallDeadline(step.action));
}

StepOutcome Attempt::Prepare() {
  const Result<bool> prepared = this->functions->prepare();
  if (prepared)
    return OutcomeOf(StepEvent::kPrepared);
  if (prepared.error().retry_after_ms > 0)
    this->retry_after_ms = prepared.error().retry_after_ms;
  return OutcomeOf(StepEvent::kNotPrepared);
}

StepOutcome Attempt::Send() {
  Result<http::Response> result = this->functions->send();
  if (result) {
    this->response = std::move(result.value());
    return OutcomeOf(StepEvent::kSendComplete);
  }
  if (result.error().retry_after_ms > 0)
    this->retry_after_ms = result.error().retry_after_ms;
  if (result.error().code == ErrorCode::kRefused)
    return OutcomeOf(StepEvent::kSendRefused);
  const bool not_sent = result.error().code == ErrorCode::kNotSent ||
                        result.error().code == ErrorCode::kTimeout;
  return OutcomeOf(not_sent ? StepEvent::kSendNotSent
                            : StepEvent::kSendUnknown);
}

StepOutcome Attempt::Act(const Step& step) {
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

StepOutcome Attempt::ActBeforeDeadline(const Step& step) {
  const TimePoint start = Clock::now();
  // A response or a fence is still recorded after the deadline.
  if (IsFinalWrite(step.action))
    return this->Act(step);
  if (start >= this->request->deadline)
    return OutcomeOf(StepEvent::kOutOfTime);
  if (!CallsPlatformBeforeSend(step.action))
    return this->Act(step);
  if (this->unanswered_time_left.count() <= 0)
    return OutcomeOf(StepEvent::kOutOfTime);
  StepOutcome outcome = this->Act(step);
  if (!IsPlatformAnswer(outcome.event))
    this->unanswered_time_left -=
        std::chrono::ceil<Milliseconds>(Clock::now() - start);
  return outcome;
}

void Attempt::FinishReplay(RunOutcome* outcome) {
  const Record& record = this->state.last_read_record;
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
  outcome.pending_write_kind = step.pending_write_kind;
  outcome.retry_after_ms = this->retry_after_ms;
  outcome.pending_write.name = this->request->name;
  if (step.pending_write_kind == PendingWriteKind::kDone)
    outcome.pending_write.record = this->MakeDoneRecord();
  if (step.pending_write_kind == PendingWriteKind::kFence)
    outcome.pending_write.record = this->MakeRecord(RecordState::kNotRun);
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
  Step step = NextStep(&this->state, OutcomeOf(StepEvent::kStart));
  while (step.action != StepAction::kAnswer) {
    const StepOutcome outcome = this->ActBeforeDeadline(step);
    if (this->functions->on_step)
      this->functions->on_step(step.action, outcome.event);
    step = NextStep(&this->state, outcome);
  }
  return this->Finish(step);
}

}  // namespace

RunOutcome RunOnce(const RecordStore& store,
                   const RunRequest& request,
                   const RunCallbacks& functions) {
  return Attempt(store, request, functions).Run();
}

}  // namespace coltsfootvane
