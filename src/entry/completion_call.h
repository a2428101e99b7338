#ifndef COLTSFOOTVANE_ENTRY_COMPLETION_CALL_H_
#define COLTSFOOTVANE_ENTRY_COMPLETION_CALL_H_

#include <cstdint>
#include <string>

#include "base/result.h"
#include "endpoint/engine.h"
#include "entry/call_context.h"

namespace coltsfootvane {

/// Runs one completion: passes the response of an engine to the caller and
/// resumes on another engine after a failure.
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
    kStopping,  ///< The daemon is stopping.
    kRejected,  ///< The engine rejected the request as invalid.
    kLeaving,   ///< The engine is leaving and refused the request.
    kNotReady,  ///< The engine does not hold the item, as after a restart.
    kFailed,
  };

  /// Returns whether another attempt follows.
  bool RunAttempt();
  Result<bool> Call(const GrantedSlot& slot);
  End ClassifyEnd(const Result<bool>& result) const;
  SlotOutcome MakeSlotOutcome(const Result<bool>& result, End end) const;
  bool HandleEnd(const GrantedSlot& slot, End end, const Error& error);
  bool OnIdle(const GrantedSlot& slot);
  bool OnEvent(const endpoint::StreamEvent& event);
  void ObserveToken(TimePoint now);
  bool BeginStream();
  void FinishResponse();
  void Reject(const Error& error);
  /// Ends a stream in progress with an error event; otherwise sends `refusal`.
  void Fail(const Refusal& refusal);

  CallContext* context;
  std::int64_t last_event_id;
  bool stream_begun = false;
  bool caller_gone = false;
  bool preempted = false;
  bool stopping = false;
  int tokens = 0;  ///< Received in this attempt.
  TimePoint attempt_start;
  TimePoint first_token;
  TimePoint last_token;  ///< Across all attempts.
  http::Response unstreamed_response;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_COMPLETION_CALL_H_
