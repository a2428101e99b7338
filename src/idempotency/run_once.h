#ifndef COLTSFOOTVANE_IDEMPOTENCY_RUN_ONCE_H_
#define COLTSFOOTVANE_IDEMPOTENCY_RUN_ONCE_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "base/result.h"
#include "http/message.h"
#include "idempotency/next_step.h"
#include "idempotency/record_store.h"

namespace coltsfootvane {

enum class RunResult {
  kResponse,       ///< `response` is that of this attempt.
  kReplay,         ///< `response` is the stored one.
  kNotRun,         ///< This attempt did not run the call.
  kUnknown,        ///< The call may have run.
  kKeyReused,      ///< The key belongs to another request; nothing was sent.
  kDoneNotStored,  ///< The call was run; its response is not stored.
};

struct RunOutcome {
  RunResult result = RunResult::kUnknown;
  http::Response response;
  int retry_after_ms = 0;  ///< With kNotRun and kUnknown.
  /// The write that has to be completed in the background; see RecordWriter.
  PendingWriteKind pending_write_kind = PendingWriteKind::kNone;
  PendingWrite pending_write;
};

struct RunRequest {
  std::string name;           ///< From RecordName().
  std::string body_digest;    ///< DigestHex() of the request's body.
  std::string target_digest;  ///< TargetDigest() of its method and query.
  TimePoint deadline;
  Milliseconds platform_timeout{1000};  ///< Of each platform call.
};

/// The functions that RunOnce() calls.
struct RunCallbacks {
  /// Acquires what the call needs, without sending it. An error ends the
  /// attempt as not run.
  std::function<Result<bool>()> prepare;
  /// Sends the call. Called at most once. kNotSent and kTimeout mean that no
  /// byte was written; kRefused means that every service that received the call
  /// reports that it has not run it.
  std::function<Result<http::Response>()> send;
  /// Called after each step, with its outcome. May be empty.
  std::function<void(StepAction, StepEvent)> on_step;
};

/// Runs an irreversible call at most once per record name, over all daemons.
RunOutcome RunOnce(const RecordStore& store,
                   const RunRequest& request,
                   const RunCallbacks& functions);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RUN_ONCE_H_
