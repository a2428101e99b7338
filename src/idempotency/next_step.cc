#include "idempotency/next_step.h"

namespace coltsfootvane {
namespace {

Step Act(AttemptState* state, StepAction action, std::int64_t version = 0) {
  state->last = action;
  Step step;
  step.action = action;
  step.version = version;
  return step;
}

Step Answer(AttemptState* state,
            StepAnswer answer,
            StepRemainder remainder = StepRemainder::kNone) {
  Step step = Act(state, StepAction::kAnswer);
  step.answer = answer;
  step.remainder = remainder;
  return step;
}

/// Ends an attempt that sent nothing.
Step GiveUp(AttemptState* state) {
  return Answer(
      state,
      state->others_possible ? StepAnswer::kUnknown : StepAnswer::kNotRun,
      state->sending_in_doubt ? StepRemainder::kFence : StepRemainder::kNone);
}

bool TooManyFailures(AttemptState* state) {
  ++state->failures;
  return state->failures >= kMaxStepFailures;
}

Step ReadAfterLoss(AttemptState* state) {
  ++state->failures;
  return Act(state, StepAction::kRead);
}

Step UpdateSending(AttemptState* state) {
  state->sending_tried = true;
  return Act(state, StepAction::kUpdateSending, state->version);
}

Step OnReserved(AttemptState* state, std::int64_t version) {
  state->version = version;
  state->others_possible = false;
  if (state->failures >= kMaxStepFailures)
    return GiveUp(state);
  if (state->prepared)
    return UpdateSending(state);
  return Act(state, StepAction::kPrepare);
}

Step OnSending(AttemptState* state, std::int64_t version) {
  state->version = version;
  state->sending_in_doubt = true;
  return Act(state, StepAction::kSend, version);
}

Step OnOwnRecord(AttemptState* state, const Learned& learned) {
  switch (learned.record.state) {
    case RecordState::kReserved:
      return OnReserved(state, learned.version);
    case RecordState::kSending:
      return OnSending(state, learned.version);
    case RecordState::kDone:
    case RecordState::kNotRun:
      // Only an attempt that has ended writes these.
      return Answer(state, StepAnswer::kBadRecord);
  }
  return Answer(state, StepAnswer::kBadRecord);
}

Step OnForeignRecord(AttemptState* state, const Learned& learned) {
  switch (learned.record.state) {
    case RecordState::kDone:
      return Answer(state, StepAnswer::kReplay);
    case RecordState::kSending:
      return Answer(state, StepAnswer::kUnknown);
    case RecordState::kReserved:
    case RecordState::kNotRun:
      if (state->lost_race || state->sending_tried)
        return Answer(state, StepAnswer::kUnknown);
      if (state->failures >= kMaxStepFailures)
        return GiveUp(state);
      return Act(state, StepAction::kTakeOver, learned.version);
  }
  return Answer(state, StepAnswer::kBadRecord);
}

bool IsSameRequest(const AttemptState& state, const Record& record) {
  const bool same_target = record.target_digest.empty() ||
                           record.target_digest == state.target_digest;
  return same_target && record.body_digest == state.body_digest;
}

Step OnRecord(AttemptState* state, const Learned& learned) {
  state->seen = learned.record;
  if (learned.record.attempt == state->attempt)
    return OnOwnRecord(state, learned);
  state->others_possible = true;
  // Every write of this attempt is conditional on a version that is gone.
  state->sending_in_doubt = false;
  if (!IsSameRequest(*state, learned.record))
    return Answer(state, StepAnswer::kKeyReused);
  return OnForeignRecord(state, learned);
}

Step AfterCreate(AttemptState* state, const Learned& learned) {
  switch (learned.event) {
    case StepEvent::kWritten:
      return OnReserved(state, learned.version);
    case StepEvent::kConflict:
      state->others_possible = true;
      return Act(state, StepAction::kRead);
    case StepEvent::kLost:
      return ReadAfterLoss(state);
    default:
      return GiveUp(state);
  }
}

Step AfterRead(AttemptState* state, const Learned& learned) {
  switch (learned.event) {
    case StepEvent::kRead:
      return OnRecord(state, learned);
    case StepEvent::kMissing:
      // The record that a write to sending depended on is gone for good.
      if (state->sending_tried)
        return Answer(state, StepAnswer::kUnknown);
      if (state->failures >= kMaxStepFailures)
        return GiveUp(state);
      state->others_possible = false;
      return Act(state, StepAction::kCreate);
    case StepEvent::kReadFailed:
      if (TooManyFailures(state))
        return GiveUp(state);
      return Act(state, StepAction::kRead);
    default:
      return GiveUp(state);
  }
}

Step AfterTakeOver(AttemptState* state, const Learned& learned) {
  switch (learned.event) {
    case StepEvent::kWritten:
      return OnReserved(state, learned.version);
    case StepEvent::kConflict:
    case StepEvent::kMissing:
      state->lost_race = true;
      return Act(state, StepAction::kRead);
    case StepEvent::kLost:
      return ReadAfterLoss(state);
    default:
      return GiveUp(state);
  }
}

Step AfterPrepare(AttemptState* state, const Learned& learned) {
  if (learned.event != StepEvent::kPrepared)
    return GiveUp(state);
  state->prepared = true;
  return UpdateSending(state);
}

Step AfterUpdateSending(AttemptState* state, const Learned& learned) {
  switch (learned.event) {
    case StepEvent::kWritten:
      return OnSending(state, learned.version);
    case StepEvent::kConflict:
    case StepEvent::kMissing:
      return Act(state, StepAction::kRead);
    case StepEvent::kLost:
      state->sending_in_doubt = true;
      return ReadAfterLoss(state);
    default:
      return GiveUp(state);
  }
}

Step AfterSend(AttemptState* state, const Learned& learned) {
  switch (learned.event) {
    case StepEvent::kSendComplete:
      return Act(state, StepAction::kWriteDone, state->version);
    case StepEvent::kSendNotSent:
    case StepEvent::kSendRefused:
      return Act(state, StepAction::kFence, state->version);
    case StepEvent::kOutOfTime:
      return GiveUp(state);
    default:
      return Answer(state, StepAnswer::kUnknown);
  }
}

Step AfterWriteDone(AttemptState* state, const Learned& learned) {
  const bool written = learned.event == StepEvent::kWritten;
  return Answer(state, StepAnswer::kResponse,
                written ? StepRemainder::kNone : StepRemainder::kDone);
}

Step AfterFence(AttemptState* state, const Learned& learned) {
  if (learned.event == StepEvent::kWritten)
    state->sending_in_doubt = false;
  return GiveUp(state);
}

SettleStep AfterSettleRead(const Settlement& settlement,
                           const Learned& learned) {
  const bool own = learned.record.attempt == settlement.record.attempt;
  if (!own)
    return {SettleAction::kOverwritten};
  if (learned.record.state == settlement.record.state)
    return {SettleAction::kConfirmed};
  const bool open = learned.record.state == RecordState::kReserved ||
                    learned.record.state == RecordState::kSending;
  if (!open)
    return {SettleAction::kOverwritten};
  return {SettleAction::kUpdate, learned.version};
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

bool IsAnswer(StepEvent event) {
  return event == StepEvent::kWritten || event == StepEvent::kConflict ||
         event == StepEvent::kMissing || event == StepEvent::kRead;
}

Step NextStep(AttemptState* state, const Learned& learned) {
  if (learned.event == StepEvent::kStart)
    return Act(state, StepAction::kCreate);
  switch (state->last) {
    case StepAction::kCreate:
      return AfterCreate(state, learned);
    case StepAction::kRead:
      return AfterRead(state, learned);
    case StepAction::kTakeOver:
      return AfterTakeOver(state, learned);
    case StepAction::kPrepare:
      return AfterPrepare(state, learned);
    case StepAction::kUpdateSending:
      return AfterUpdateSending(state, learned);
    case StepAction::kSend:
      return AfterSend(state, learned);
    case StepAction::kWriteDone:
      return AfterWriteDone(state, learned);
    case StepAction::kFence:
      return AfterFence(state, learned);
    case StepAction::kAnswer:
      break;
  }
  return Answer(state, StepAnswer::kUnknown);
}

SettleStep NextSettleStep(const Settlement& settlement,
                          const Learned& learned) {
  switch (learned.event) {
    case StepEvent::kWritten:
      return {SettleAction::kConfirmed};
    case StepEvent::kMissing:
      return {SettleAction::kOverwritten};
    case StepEvent::kRead:
      return AfterSettleRead(settlement, learned);
    default:
      return {SettleAction::kRead};
  }
}

}  // namespace coltsfootvane
