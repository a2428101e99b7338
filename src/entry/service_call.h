#ifndef COLTSFOOTVANE_ENTRY_SERVICE_CALL_H_
#define COLTSFOOTVANE_ENTRY_SERVICE_CALL_H_

#include <optional>

#include "base/result.h"
#include "entry/call_context.h"
#include "idempotency/run_once.h"

namespace coltsfootvane {

/// Runs one call to a plain service: reads may be repeated, other calls are
/// sent once, irreversible ones at most once over all daemons.
class ServiceCall {
 public:
  explicit ServiceCall(CallContext* context);

  void Run();

 private:
  void RunRead();
  void RunSingle();
  void RunIrreversible();
  /// Gets a slot unless one is held. Errors: kNotSent, with the time to return.
  Result<bool> Prepare(TimePoint deadline);
  /// Calls the endpoint of the held slot, which is then given back.
  Result<http::Response> CallHeld();
  /// Sends once; other replicas are tried only before the first byte, or after
  /// a replica stated that it leaves and has not run the call. kRefused: no
  /// replica was left after such statements.
  Result<http::Response> SendOnce();
  http::Request MakeRequest(const std::string& call_id) const;
  void ReleaseHeld();
  void Refuse(const Error& error);
  void RefuseForSlot();
  void Deliver(http::Response response, bool replayed);
  void AnswerOnce(RunOutcome outcome);

  CallContext* context;
  std::optional<GrantedSlot> held;
  /// The slot's answer of the last failed Prepare().
  SlotAnswer no_slot;
  bool slot_denied = false;
  /// The endpoint called last states that it has not run the call.
  bool refused_unrun = false;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_SERVICE_CALL_H_
