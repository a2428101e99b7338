#ifndef COLTSFOOTVANE_ENTRY_COMPLETION_CALL_H_
#define COLTSFOOTVANE_ENTRY_COMPLETION_CALL_H_

#include <cstdint>
#include <string>

#include "base/result.h"
#include "endpoint/engine.h"
#include "entry/call_context.h"

namespace coltsfootvane {

/// Runs one completion: streams it from an engine to the caller and continues
/// on another engine after a failure.
class CompletionCall {
 public:
  explicit CompletionCall(CallContext* context);

  void Run();

 private:
  /// Why an attempt on one engine ended.
  enum class End {
    kComplete,
    kCallerGone,
    kPreempted,
    kStopping,  ///< The daemon stops now.
    kRejected,  ///< The engine says that the request is wrong.
    kLeaving,   ///< The engine took no work because it is leaving.
    kNotReady,  ///< The engine does not have the item, as after a restart.
    kFailed,
  };

  /// Returns whether another attempt follows.
  bool RunAttempt();
  Result<bool> Call(const GrantedSlot& slot);
  End EndOf(const Result<bool>& result) const;
  SlotOutcome OutcomeOf(const Result<bool>& result, End end) const;
  bool Continue(const GrantedSlot& slot, End end, const Error& error);
  bool OnIdle(const GrantedSlot& slot);
  bool OnEvent(const endpoint::StreamEvent& event);
  void ObserveToken(TimePoint now);
  bool BeginStream();
  void FinishComplete();
  void Reject(const Error& error);
  /// Ends a stream in progress with an error event, or refuses.
  void Fail(const Refusal& refusal);

  CallContext* context;
  std::int64_t last_id;
  bool begun = false;
  bool caller_gone = false;
  bool preempted = false;
  bool stopping = false;
  int tokens = 0;  ///< Of this attempt.
  TimePoint attempt_start;
  TimePoint first_token;
  TimePoint last_token;  ///< Of all attempts.
  http::Response whole;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_COMPLETION_CALL_H_
