#include "idempotency/next_step.h"

namespace coltsfootvane {
namespace {

Step BeginAction(AttemptState* state,
                 StepAction action,
                 std::int64_t version = 0) {
  state->last_action = action;
  Step step;
  step.action = action;
  step.version = version;
  return step;
}

Step Answer(AttemptState* state,
            StepAnswer answer,
            PendingWriteKind remainder = PendingWriteKind::kNone) {
  Step step = BeginAction(state, StepAction::kAnswer);
  step.answer = answer;
  step.pending_write_kind = remainder;
  return step;
}

/// Ends an attempt that did not run the call.
Step EndNotRun(AttemptState* state) {
  return Answer(
      state,
      state->other_attempt_may_run ? StepAnswer::kUnknown : StepAnswer::kNotRun,
      state->needs_fence ? PendingWriteKind::kFence : PendingWriteKind::kNone);
}

/// Counts a failure. Returns whether the attempt is to be abandoned.
bool CountFailure(AttemptState* state) {
  ++state->failures;
  return state->failures >= kMaxStepFailures;
}

Step ReadAfterUnconfirmedWrite(AttemptState* state) {
  ++state->failures;
  return BeginAction(state, StepAction::kRead);
}

Step UpdateSending(AttemptState* state) {
  state->sending_attempted = true;
  return BeginAction(state, StepAction::kUpdateSending, state->version);
}

Step OnReserved(AttemptState* state, std::int64_t version) {
  state->version = version;
  state->other_attempt_may_run = false;
  if (state->failures >= kMaxStepFailures)
    return EndNotRun(state);
  if (state->prepared)
    return UpdateSending(state);
  return BeginAction(state, StepAction::kPrepare);
}

Step OnSending(AttemptState* state, std::int64_t version) {
  state->version = version;
  state->needs_fence = true;
  return BeginAction(state, StepAction::kSend, version);
}

Step OnOwnRecord(AttemptState* state, const StepOutcome& outcome) {
  switch (outcome.record.state) {
    case RecordState::kReserved:
      return OnReserved(state, outcome.version);
    case RecordState::kSending:
      return OnSending(state, outcome.version);
    case RecordState::kDone:
    case RecordState::kNotRun:
      // An attempt ends when it writes one of these states.
      return Answer(state, StepAnswer::kBadRecord);
  }
  return Answer(state, StepAnswer::kBadRecord);
}

Step OnForeignRecord(AttemptState* state, const StepOutcome& outcome) {
  switch (outcome.record.state) {
    case RecordState::kDone:
      return Answer(state, StepAnswer::kReplay);
    case RecordState::kSending:
      return Answer(state, StepAnswer::kUnknown);
    case RecordState::kReserved:
    case RecordState::kNotRun:
      if (state->lost_race || state->sending_attempted)
        return Answer(state, StepAnswer::kUnknown);
      if (state->failures >= kMaxStepFailures)
        return EndNotRun(state);
      return BeginAction(state, StepAction::kTakeOver, outcome.version);
  }
  return Answer(state, StepAnswer::kBadRecord);
}

bool IsSameRequest(const AttemptState& state, const Record& record) {
  const bool same_target = record.target_digest.empty() ||
                           record.target_digest == state.target_digest;
  return same_target && record.body_digest == state.body_digest;
}

Step OnRecord(AttemptState* state, const StepOutcome& outcome) {
  state->last_read_record = outcome.record;
  if (outcome.record.attempt == state->attempt)
    return OnOwnRecord(state, outcome);
  state->other_attempt_may_run = true;
  // The writes of this attempt are conditional on a version that has been
  // replaced, so that none of them can take effect any more.
  state->needs_fence = false;
  if (!IsSameRequest(*state, outcome.record))
    return Answer(state, StepAnswer::kKeyReused);
  return OnForeignRecord(state, outcome);
}

Step AfterCreate(AttemptState* state, const StepOutcome& outcome) {
  switch (outcome.event) {
    case StepEvent::kWritten:
      return OnReserved(state, outcome.version);
    case StepEvent::kConflict:
      state->other_attempt_may_run = true;
      return BeginAction(state, StepAction::kRead);
    case StepEvent::kLost:
      return ReadAfterUnconfirmedWrite(state);
    default:
      return EndNotRun(state);
  }
}

Step AfterRead(AttemptState* state, const StepOutcome& outcome) {
  switch (outcome.event) {
    case StepEvent::kRead:
      return OnRecord(state, outcome);
    case StepEvent::kMissing:
      // The write to sending depended on a record that has been deleted.
      if (state->sending_attempted)
        return Answer(state, StepAnswer::kUnknown);
      if (state->failures >= kMaxStepFailures)
        return EndNotRun(state);
      state->other_attempt_may_run = false;
      return BeginAction(state, StepAction::kCreate);
    case StepEvent::kReadFailed:
      if (CountFailure(state))
        return EndNotRun(state);
      return BeginAction(state, StepAction::kRead);
    default:
      return EndNotRun(state);
  }
}

Step AfterTakeOver(AttemptState* state, const StepOutcome& outcome) {
  switch (outcome.event) {
    case StepEvent::kWritten:
      return OnReserved(state, outcome.version);
    case StepEvent::kConflict:
    case StepEvent::kMissing:
      state->lost_race = true;
      return BeginAction(state, StepAction::kRead);
    case StepEvent::kLost:
      return ReadAfterUnconfirmedWrite(state);
    default:
      return EndNotRun(state);
  }
}

Step AfterPrepare(AttemptState* state, const StepOutcome& outcome) {
  if (outcome.event != StepEvent::kPrepared)
    return EndNotRun(state);
  state->prepared = true;
  return UpdateSending(state);
}

Step AfterUpdateSending(AttemptState* state, const StepOutcome& outcome) {
  switch (outcome.event) {
    case StepEvent::kWritten:
      return OnSending(state, outcome.version);
    case StepEvent::kConflict:
    case StepEvent::kMissing:
      return BeginAction(state, StepAction::kRead);
    case StepEvent::kLost:
      state->needs_fence = true;
      return ReadAfterUnconfirmedWrite(state);
    default:
      return EndNotRun(state);
  }
}

Step AfterSend(AttemptState* state, const StepOutcome& outcome) {
  switch (outcome.event) {
    case StepEvent::kSendComplete:
      return BeginAction(state, StepAction::kWriteDone, state->version);
    case StepEvent::kSendNotSent:
    case StepEvent::kSendRefused:
      return BeginAction(state, StepAction::kFence, state->version);
    case StepEvent::kOutOfTime:
      return EndNotRun(state);
    default:
      return Answer(state, StepAnswer::kUnknown);
  }
}

Step AfterWriteDone(AttemptState* state, const StepOutcome& outcome) {
  const bool written = outcome.event == StepEvent::kWritten;
  return Answer(state, StepAnswer::kResponse,
                written ? PendingWriteKind::kNone : PendingWriteKind::kDone);
}

Step AfterFence(AttemptState* state, const StepOutcome& outcome) {
  if (outcome.event == StepEvent::kWritten)
    state->needs_fence = false;
  return EndNotRun(state);
}

PendingWriteStep AfterPendingWriteRead(const PendingWrite& pending_write,
                                       const StepOutcome& outcome) {
  const bool own = outcome.record.attempt == pending_write.record.attempt;
  if (!own)
    return {PendingWriteAction::kOverwritten};
  if (outcome.record.state == pending_write.record.state)
    return {PendingWriteAction::kConfirmed};
  const bool unfinished = outcome.record.state == RecordState::kReserved ||
                          outcome.record.state == RecordState::kSending;
  if (!unfinished)
    return {PendingWriteAction::kOverwritten};
  return {PendingWriteAction::kUpdate, outcome.version};
}

}  // namespace

std::string_view StepActionName(StepAction action) {
  switch (action) {
    case StepAction::kCreate:
      return "create";
    case StepAction::kRead:
      return "read";
    case StepAction::kTakeOver:
      return "take_over";
    case StepAction::kPrepare:
      return "prepare";
    case StepAction::kUpdateSending:
      return "update_sending";
    case StepAction::kSend:
      return "send";
    case StepAction::kWriteDone:
      return "write_done";
    case StepAction::kFence:
      return "fence";
    case StepAction::kAnswer:
      return "answer";
  }
  return "";
}

std::string_view StepEventName(StepEvent event) {
  switch (event) {
    case StepEvent::kStart:
      return "start";
    case StepEvent::kWritten:
      return "written";
    case StepEvent::kConflict:
      return "conflict";
    case StepEvent::kMissing:
      return "missing";
    case StepEvent::kLost:
      return "lost";
    case StepEvent::kNotWritten:
      return "not_written";
    case StepEvent::kRead:
      return "read";
    case StepEvent::kReadFailed:
      return "read_failed";
    case StepEvent::kPrepared:
      return "prepared";
    case StepEvent::kNotPrepared:
      return "not_prepared";
    case StepEvent::kSendNotSent:
      return "not_sent";
    case StepEvent::kSendRefused:
      return "refused";
    case StepEvent::kSendUnknown:
      return "unknown";
    case StepEvent::kSendComplete:
      return "complete";
    case StepEvent::kOutOfTime:
      return "out_of_time";
  }
  return "";
}

bool IsPlatformAnswer(StepEvent event) {
  return event == StepEvent::kWritten || event == StepEvent::kConflict ||
         event == StepEvent::kMissing || event == StepEvent::kRead;
}

Step NextStep(AttemptState* state, const StepOutcome& outcome) {
  if (outcome.event == StepEvent::kStart)
    return BeginAction(state, StepAction::kCreate);
  switch (state->last_action) {
    case StepAction::kCreate:
      return AfterCreate(state, outcome);
    case StepAction::kRead:
      return AfterRead(state, outcome);
    case StepAction::kTakeOver:
      return AfterTakeOver(state, outcome);
    case StepAction::kPrepare:
      return AfterPrepare(state, outcome);
    case StepAction::kUpdateSending:
      return AfterUpdateSending(state, outcome);
    case StepAction::kSend:
      return AfterSend(state, outcome);
    case StepAction::kWriteDone:
      return AfterWriteDone(state, outcome);
    case StepAction::kFence:
      return AfterFence(state, outcome);
    case StepAction::kAnswer:
      break;
  }
  return Answer(state, StepAnswer::kUnknown);
}

PendingWriteStep NextPendingWriteStep(const PendingWrite& pending_write,
                                      const StepOutcome& outcome) {
  switch (outcome.event) {
    case StepEvent::kWritten:
      return {PendingWriteAction::kConfirmed};
    case StepEvent::kMissing:
      return {PendingWriteAction::kOverwritten};
    case StepEvent::kRead:
      return AfterPendingWriteRead(pending_write, outcome);
    default:
      return {PendingWriteAction::kRead};
  }
}

}  // namespace coltsfootvane
