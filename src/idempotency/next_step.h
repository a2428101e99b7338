#ifndef COLTSFOOTVANE_IDEMPOTENCY_NEXT_STEP_H_
#define COLTSFOOTVANE_IDEMPOTENCY_NEXT_STEP_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "idempotency/record.h"

namespace coltsfootvane {

/// What the attempt does next.
enum class StepAction {
  kCreate,         ///< Create the record as reserved by this attempt.
  kRead,           ///< Read the record.
  kTakeOver,       ///< Update `version` to reserved by this attempt.
  kPrepare,        ///< Get a slot; nothing is sent to the service.
  kUpdateSending,  ///< Update `version` to sending by this attempt.
  kSend,           ///< Send the call to the service, once.
  kWriteDone,      ///< Update `version` to done.
  kFence,          ///< Update `version` to not run.
  kAnswer,         ///< Answer the caller with `answer`.
};

/// What the last action showed.
enum class StepEvent {
  kStart,
  kWritten,       ///< The write took effect; `version` is the new one.
  kConflict,      ///< The write did not take effect: another version is there.
  kMissing,       ///< The record does not exist.
  kLost,          ///< The write may have taken effect or may do so later.
  kNotWritten,    ///< The write cannot take effect: nothing was sent.
  kRead,          ///< `record` and `version` are what is stored.
  kReadFailed,    ///< Nothing was read.
  kPrepared,      ///< The call can be sent.
  kNotPrepared,   ///< The call cannot be sent now.
  kSendNotSent,   ///< No byte of the call was written.
  kSendRefused,   ///< Every service that got the call states it has not run it.
  kSendUnknown,   ///< The call may have run.
  kSendComplete,  ///< A whole response arrived.
  kOutOfTime,     ///< The deadline passed before the action was begun.
};

/// Returns whether a platform call that ended with `event` was answered with
/// what is stored.
bool IsAnswer(StepEvent event);

struct Learned {
  StepEvent event = StepEvent::kStart;
  std::int64_t version = 0;
  Record record;
};

enum class StepAnswer {
  kResponse,   ///< The response of this attempt.
  kReplay,     ///< The stored response, or that it is not stored.
  kNotRun,     ///< Nothing was sent by this attempt.
  kUnknown,    ///< The call may have run, or another attempt may run it.
  kKeyReused,  ///< The key belongs to another request.
  kBadRecord,  ///< The stored record cannot be interpreted: treated as unknown.
};

/// Platform calls without an outcome after which an attempt is abandoned, so
/// that a caller hears of an outage at once and not at the deadline.
inline constexpr int kMaxStepFailures = 3;

/// What is left to be settled in the background once the caller is answered.
enum class StepRemainder { kNone, kDone, kFence };

struct Step {
  StepAction action = StepAction::kCreate;
  std::int64_t version = 0;
  StepAnswer answer = StepAnswer::kUnknown;
  StepRemainder remainder = StepRemainder::kNone;
};

/// Returns the names used in metrics.
std::string_view StepActionName(StepAction action);
std::string_view StepEventName(StepEvent event);

/// One attempt to run a call. Changed only by NextStep().
struct AttemptState {
  std::string attempt;
  std::string body_digest;
  std::string target_digest;
  StepAction last = StepAction::kCreate;
  /// The version that this attempt owns, as reserved or sending.
  std::int64_t version = 0;
  /// A write to sending was begun whose effect was not learned.
  bool sending_in_doubt = false;
  /// A write to sending was begun before the read that is under way.
  bool sending_tried = false;
  bool prepared = false;
  /// The key has a record of another attempt, which may have run the call.
  bool others_possible = false;
  int failures = 0;  ///< Platform calls whose outcome was not learned.
  /// Another attempt got in between: not displaced a second time, so that two
  /// daemons do not displace each other endlessly.
  bool lost_race = false;
  Record seen;  ///< The record that was read last.
};

/// Returns what the attempt does after it has learned `learned`. The call is
/// sent only after this attempt's write to sending is known to have taken
/// effect.
Step NextStep(AttemptState* state, const Learned& learned);

/// A write that goes on until confirmed: done, or not run for a fence.
struct Settlement {
  std::string name;  ///< Of the record's object.
  Record record;     ///< What is to be stored; its attempt is the owner.
};

enum class SettleAction { kRead, kUpdate, kConfirmed, kOverwritten };

struct SettleStep {
  SettleAction action = SettleAction::kRead;
  std::int64_t version = 0;
};

/// Returns how a settlement goes on. It is confirmed once the record shows it,
/// or once another attempt owns the record, which fails every write in flight.
SettleStep NextSettleStep(const Settlement& settlement, const Learned& learned);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_NEXT_STEP_H_
