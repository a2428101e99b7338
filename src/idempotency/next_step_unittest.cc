#include "idempotency/next_step.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

struct Input {
  StepEvent event;
  RecordState state = RecordState::kReserved;
  const char* attempt = "other";
  const char* digest = "d";
  const char* target = "t";
};

const char* AnswerName(StepAnswer answer) {
  switch (answer) {
    case StepAnswer::kResponse:
      return "response";
    case StepAnswer::kReplay:
      return "replay";
    case StepAnswer::kNotRun:
      return "not run";
    case StepAnswer::kUnknown:
      return "unknown";
    case StepAnswer::kKeyReused:
      return "key reused";
    case StepAnswer::kBadRecord:
      return "bad record";
  }
  return "";
}

const char* RemainderName(PendingWriteKind remainder) {
  switch (remainder) {
    case PendingWriteKind::kNone:
      return "";
    case PendingWriteKind::kDone:
      return "+done";
    case PendingWriteKind::kFence:
      return "+fence";
  }
  return "";
}

/// Returns the actions that follow the inputs, and the answer if there is one.
std::string Trace(const std::vector<Input>& inputs) {
  AttemptState state;
  state.attempt = "me";
  state.body_digest = "d";
  state.target_digest = "t";
  Step step = NextStep(&state, {});
  std::string trace(StepActionName(step.action));
  std::int64_t version = 10;
  for (const Input& input : inputs) {
    StepOutcome outcome;
    outcome.event = input.event;
    outcome.version = ++version;
    outcome.record.state = input.state;
    outcome.record.attempt = input.attempt;
    outcome.record.body_digest = input.digest;
    outcome.record.target_digest = input.target;
    step = NextStep(&state, outcome);
    trace += " ";
    trace += StepActionName(step.action);
  }
  if (step.action == StepAction::kAnswer)
    trace += std::string(":") + AnswerName(step.answer) +
             RemainderName(step.pending_write_kind);
  return trace;
}

constexpr Input kWritten{StepEvent::kWritten};
constexpr Input kConflict{StepEvent::kConflict};
constexpr Input kLost{StepEvent::kLost};
constexpr Input kNotWritten{StepEvent::kNotWritten};
constexpr Input kMissing{StepEvent::kMissing};
constexpr Input kReadFailed{StepEvent::kReadFailed};
constexpr Input kPrepared{StepEvent::kPrepared};
constexpr Input kNotPrepared{StepEvent::kNotPrepared};
constexpr Input kNotSent{StepEvent::kSendNotSent};
constexpr Input kSendRefused{StepEvent::kSendRefused};
constexpr Input kSendUnknown{StepEvent::kSendUnknown};
constexpr Input kComplete{StepEvent::kSendComplete};
constexpr Input kOutOfTime{StepEvent::kOutOfTime};

constexpr Input Own(RecordState state) {
  return {StepEvent::kRead, state, "me"};
}

constexpr Input Other(RecordState state) {
  return {StepEvent::kRead, state};
}

constexpr Input kOtherBody{StepEvent::kRead, RecordState::kDone, "other", "x"};
constexpr Input kOtherQuery{StepEvent::kRead, RecordState::kDone, "other", "d",
                            "x"};
constexpr Input kNoTarget{StepEvent::kRead, RecordState::kDone, "other", "d",
                          ""};

}  // namespace

TEST_GROUP(NextStep){};

// Guards against a step order that sends before the record is known to be in
// the state sending, sends again, or gives an answer that the record does not
// support.
TEST(NextStep, FollowsTheRules) {
  struct Row {
    const char* name;
    std::vector<Input> inputs;
    const char* trace;
  };
  const Row rows[] = {
      {"first call",
       {kWritten, kPrepared, kWritten, kComplete, kWritten},
       "create prepare update_sending send write_done answer:response"},
      {"response not stored",
       {kWritten, kPrepared, kWritten, kComplete, kLost},
       "create prepare update_sending send write_done answer:response+done"},
      {"service lost the response",
       {kWritten, kPrepared, kWritten, kSendUnknown},
       "create prepare update_sending send answer:unknown"},
      {"connection refused",
       {kWritten, kPrepared, kWritten, kNotSent, kWritten},
       "create prepare update_sending send fence answer:not run"},
      {"connection refused, fence lost",
       {kWritten, kPrepared, kWritten, kNotSent, kLost},
       "create prepare update_sending send fence answer:not run+fence"},
      {"refused by replicas leaving the service",
       {kWritten, kPrepared, kWritten, kSendRefused, kWritten},
       "create prepare update_sending send fence answer:not run"},
      {"refused by replicas leaving the service, fence lost",
       {kWritten, kPrepared, kWritten, kSendRefused, kLost},
       "create prepare update_sending send fence answer:not run+fence"},
      {"paused past the deadline before the send",
       {kWritten, kPrepared, kWritten, kOutOfTime},
       "create prepare update_sending send answer:not run+fence"},
      {"no slot", {kWritten, kNotPrepared}, "create prepare answer:not run"},
      {"platform down", {kNotWritten}, "create answer:not run"},
      {"platform down after the create",
       {kWritten, kPrepared, kNotWritten},
       "create prepare update_sending answer:not run"},
      {"create lost, took effect",
       {kLost, Own(RecordState::kReserved), kPrepared},
       "create read prepare update_sending"},
      {"create lost, not yet in effect",
       {kLost, kMissing},
       "create read create"},
      {"platform does not answer",
       {kLost, kReadFailed, kReadFailed},
       "create read read answer:not run"},
      {"sending step lost, took effect",
       {kWritten, kPrepared, kLost, Own(RecordState::kSending)},
       "create prepare update_sending read send"},
      {"sending step lost, not in effect",
       {kWritten, kPrepared, kLost, Own(RecordState::kReserved)},
       "create prepare update_sending read update_sending"},
      {"sending step abandoned",
       {kWritten, kPrepared, kLost, kReadFailed, kReadFailed},
       "create prepare update_sending read read answer:not run+fence"},
      {"sending step lost, taken over",
       {kWritten, kPrepared, kLost, Other(RecordState::kReserved)},
       "create prepare update_sending read answer:unknown"},
      {"reservation taken over",
       {kWritten, kPrepared, kConflict, Other(RecordState::kSending)},
       "create prepare update_sending read answer:unknown"},
      {"reservation taken over and done",
       {kWritten, kPrepared, kConflict, Other(RecordState::kDone)},
       "create prepare update_sending read answer:replay"},
      {"repeat after done",
       {kConflict, Other(RecordState::kDone)},
       "create read answer:replay"},
      {"repeat while sending",
       {kConflict, Other(RecordState::kSending)},
       "create read answer:unknown"},
      {"repeat after reserved",
       {kConflict, Other(RecordState::kReserved), kWritten, kPrepared},
       "create read take_over prepare update_sending"},
      {"repeat after not run",
       {kConflict, Other(RecordState::kNotRun), kWritten, kPrepared},
       "create read take_over prepare update_sending"},
      {"takeover lost the race",
       {kConflict, Other(RecordState::kReserved), kConflict,
        Other(RecordState::kReserved)},
       "create read take_over read answer:unknown"},
      {"takeover lost, took effect",
       {kConflict, Other(RecordState::kReserved), kLost,
        Own(RecordState::kReserved)},
       "create read take_over read prepare"},
      {"a record exists that cannot be read",
       {kConflict, kReadFailed, kReadFailed, kReadFailed},
       "create read read read answer:unknown"},
      {"same key, other body",
       {kConflict, kOtherBody},
       "create read answer:key reused"},
      {"same key, other query",
       {kConflict, kOtherQuery},
       "create read answer:key reused"},
      {"record of a version without the digest of the query",
       {kConflict, kNoTarget},
       "create read answer:replay"},
  };
  for (const Row& row : rows)
    STRCMP_EQUAL_TEXT(row.trace, Trace(row.inputs).c_str(), row.name);
}

// Guards against a background write that overwrites another attempt's record
// or ends before it is confirmed.
TEST(NextStep, PendingWriteChangesOnlyItsOwnRecord) {
  struct Row {
    const char* name;
    RecordState wanted;
    Input input;
    PendingWriteAction action;
  };
  const Row rows[] = {
      {"written", RecordState::kDone, kWritten, PendingWriteAction::kConfirmed},
      {"lost", RecordState::kDone, kLost, PendingWriteAction::kRead},
      {"conflict", RecordState::kNotRun, kConflict, PendingWriteAction::kRead},
      {"not written", RecordState::kNotRun, kNotWritten,
       PendingWriteAction::kRead},
      {"read failed", RecordState::kDone, kReadFailed,
       PendingWriteAction::kRead},
      {"already stored", RecordState::kDone, Own(RecordState::kDone),
       PendingWriteAction::kConfirmed},
      {"still sending", RecordState::kDone, Own(RecordState::kSending),
       PendingWriteAction::kUpdate},
      {"still reserved", RecordState::kNotRun, Own(RecordState::kReserved),
       PendingWriteAction::kUpdate},
      {"owned by another attempt", RecordState::kNotRun,
       Other(RecordState::kSending), PendingWriteAction::kOverwritten},
      {"record gone", RecordState::kNotRun, kMissing,
       PendingWriteAction::kOverwritten},
  };
  for (const Row& row : rows) {
    PendingWrite pending_write;
    pending_write.record.attempt = "me";
    pending_write.record.state = row.wanted;
    StepOutcome outcome;
    outcome.event = row.input.event;
    outcome.record.state = row.input.state;
    outcome.record.attempt = row.input.attempt;
    CHECK_TEXT(
        NextPendingWriteStep(pending_write, outcome).action == row.action,
        row.name);
  }
}
