#ifndef COLTSFOOTVANE_IDEMPOTENCY_NEXT_STEP_H_
#define COLTSFOOTVANE_IDEMPOTENCY_NEXT_STEP_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "idempotency/record.h"

namespace coltsfootvane {

/// The next action of an attempt. An update takes effect only if the record
/// still has `version`; it makes this attempt the owner of the record.
enum class StepAction {
  kCreate,         ///< Create the record in the state reserved.
  kRead,           ///< Read the record.
  kTakeOver,       ///< Update the state to reserved.
  kPrepare,        ///< Acquire a slot; nothing is sent to the service.
  kUpdateSending,  ///< Update the state to sending.
  kSend,           ///< Send the call to the service, once.
  kWriteDone,      ///< Update the state to done, with the response.
  kFence,          ///< Update the state to not run; older writes then fail.
  kAnswer,         ///< Answer the caller with `answer`.
};

/// The outcome of the last action.
enum class StepEvent {
  kStart,
  kWritten,       ///< The write took effect; `version` is the new one.
  kConflict,      ///< The write did not take effect: the version differs.
  kMissing,       ///< The record does not exist.
  kLost,          ///< The write may have taken effect or may do so later.
  kNotWritten,    ///< The write cannot take effect: nothing was sent.
  kRead,          ///< `record` and `version` are the stored ones.
  kReadFailed,    ///< No usable record was read.
  kPrepared,      ///< The call can be sent.
  kNotPrepared,   ///< The call cannot be sent now.
  kSendNotSent,   ///< No byte of the call was written.
  kSendRefused,   ///< Every service that got the call reports it as not run.
  kSendUnknown,   ///< The call may have run.
  kSendComplete,  ///< A complete response arrived.
  kOutOfTime,     ///< The action was not begun: no time was left for it.
};

/// Returns whether the platform answered with a result that shows the state of
/// the stored record.
bool IsPlatformAnswer(StepEvent event);

struct StepOutcome {
  StepEvent event = StepEvent::kStart;
  std::int64_t version = 0;
  Record record;
};

enum class StepAnswer {
  kResponse,   ///< The response of this attempt.
  kReplay,     ///< The stored response, or a notice that none is stored.
  kNotRun,     ///< The call was not run by this attempt.
  kUnknown,    ///< The call may have run, or another attempt may run it.
  kKeyReused,  ///< The key belongs to another request.
  kBadRecord,  ///< The stored record cannot be interpreted: treated as unknown.
};

/// Number of platform calls without a known outcome after which an attempt is
/// abandoned, so that the caller learns of an outage before the deadline.
inline constexpr int kMaxStepFailures = 3;

/// The write that is still to be confirmed in the background after the caller
/// has been answered.
enum class PendingWriteKind { kNone, kDone, kFence };

struct Step {
  StepAction action = StepAction::kCreate;
  std::int64_t version = 0;
  StepAnswer answer = StepAnswer::kUnknown;
  PendingWriteKind pending_write_kind = PendingWriteKind::kNone;
};

/// Return the names used in metrics.
std::string_view StepActionName(StepAction action);
std::string_view StepEventName(StepEvent event);

/// The state of one attempt to run a call. Modified only by NextStep().
struct AttemptState {
  std::string attempt;
  std::string body_digest;
  std::string target_digest;
  StepAction last_action = StepAction::kCreate;
  /// The version that this attempt wrote, as reserved or sending.
  std::int64_t version = 0;
  /// A write to sending took effect, or may do so, and is not fenced yet.
  bool needs_fence = false;
  /// A write to sending was begun.
  bool sending_attempted = false;
  bool prepared = false;
  /// The key has a record of another attempt, which may have run the call.
  bool other_attempt_may_run = false;
  int failures = 0;  ///< Platform calls without a known outcome.
  /// Another attempt changed the record before this one could take it over. A
  /// second takeover is not tried, so that two daemons do not take the record
  /// from each other endlessly.
  bool lost_race = false;
  Record last_read_record;
};

/// Returns the step that follows `outcome`. The call is sent only after this
/// attempt's write to sending is known to have taken effect.
Step NextStep(AttemptState* state, const StepOutcome& outcome);

/// A write that is retried until it is confirmed: done, or not run for a fence.
struct PendingWrite {
  std::string name;  ///< Object name of the record.
  Record record;     ///< The content to store; its attempt is the owner.
};

enum class PendingWriteAction { kRead, kUpdate, kConfirmed, kOverwritten };

struct PendingWriteStep {
  PendingWriteAction action = PendingWriteAction::kRead;
  std::int64_t version = 0;
};

/// Returns the next step of a pending write. It is confirmed once the record
/// shows it, and overwritten once the record is missing, is owned by another
/// attempt or has another final state. A change of owner changes the version,
/// so that the former owner's writes that are still in flight fail.
PendingWriteStep NextPendingWriteStep(const PendingWrite& pending_write,
                                      const StepOutcome& outcome);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_NEXT_STEP_H_
