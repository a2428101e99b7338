#ifndef COLTSFOOTVANE_ENTRY_SERVICE_CALL_H_
#define COLTSFOOTVANE_ENTRY_SERVICE_CALL_H_

#include <optional>

#include "base/result.h"
#include "entry/call_context.h"
#include "idempotency/run_once.h"

namespace coltsfootvane {

/// Runs one call to a service: reads may be retried, other calls are sent once,
/// and irreversible calls run at most once across all daemons.
class ServiceCall {
 public:
  explicit ServiceCall(CallContext* context);

  void Run();

 private:
  void RunRead();
  void RunWrite();
  void RunIrreversible();
  /// Acquires a slot unless one is held. Errors: kNotSent, with the retry-after
  /// time.
  Result<bool> EnsureSlot(TimePoint deadline);
  /// Calls the endpoint of the held slot, then releases the slot.
  Result<http::Response> CallHeldEndpoint();
  /// Sends the call once. Another replica is tried only if no byte was written,
  /// or if the replica refused the call because it is leaving and has not run
  /// it. Errors: kRefused if no replica was left after such a refusal.
  Result<http::Response> SendOnce();
  http::Request MakeRequest(const std::string& call_id) const;
  void ReleaseHeldSlot();
  void Refuse(const Error& error);
  void RefuseWithoutSlot();
  void Deliver(http::Response response, bool replayed);
  void DeliverOutcome(RunOutcome outcome);

  CallContext* context;
  std::optional<GrantedSlot> held_slot;
  /// The dispatcher's answer to the last failed EnsureSlot().
  SlotAnswer denied_answer;
  bool slot_denied = false;
  /// Whether the last called endpoint reported that it has not run the call.
  bool refused_not_run = false;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_SERVICE_CALL_H_
