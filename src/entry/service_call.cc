#include "entry/service_call.h"

#include <strings.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"
#include "endpoint/service.h"
#include "entry/events.h"

namespace coltsfootvane {
namespace {

/// Retry-After when the endpoints have failed.
constexpr int kFailedRetryAfterMs = 1000;

/// How long a call whose record is in state `sending` waits for another
/// replica. If the daemon dies meanwhile, the outcome in the record stays
/// unknown permanently.
constexpr Milliseconds kNextReplicaTimeout{500};

/// Headers that are not forwarded: they are hop-by-hop, or the daemon sets or
/// consumes them itself.
constexpr std::array<std::string_view, 14> kUnforwardedHeaders = {
    "Connection",
    "Keep-Alive",
    "Transfer-Encoding",
    "TE",
    "Trailer",
    "Upgrade",
    "Host",
    "Content-Length",
    "Expect",
    "Authorization",
    "Proxy-Authorization",
    "X-Request-Id",
    "X-Leaving",
    "X-Caller"};

bool IsUnforwardedHeader(std::string_view name) {
  return std::any_of(kUnforwardedHeaders.begin(), kUnforwardedHeaders.end(),
                     [name](std::string_view unforwarded) {
                       return unforwarded.size() == name.size() &&
                              strncasecmp(unforwarded.data(), name.data(),
                                          unforwarded.size()) == 0;
                     });
}

std::vector<http::Header> ForwardableHeaders(
    gsl::span<const http::Header> headers) {
  std::vector<http::Header> kept;
  for (const http::Header& header : headers) {
    if (!IsUnforwardedHeader(header.name))
      kept.push_back(header);
  }
  return kept;
}

bool IsLeaving(const http::Response& response) {
  return http::FindHeader(response.headers, "X-Leaving") == "1";
}

/// Returns whether a leaving replica refused the call. CallService() has
/// already checked that the response carries the request id of the call.
bool IsRefusedByLeaving(const Result<http::Response>& response) {
  return response && response.value().status == 503 &&
         IsLeaving(response.value());
}

}  // namespace

ServiceCall::ServiceCall(CallContext* context) : context(context) {}

void ServiceCall::Run() {
  if (this->context->call.irreversible)
    this->RunIrreversible();
  else if (this->context->call.is_read)
    this->RunRead();
  else
    this->RunWrite();
  this->ReleaseHeldSlot();
}

Result<bool> ServiceCall::EnsureSlot(TimePoint deadline) {
  if (this->held_slot)
    return true;
  GrantedSlot slot = AcquireSlot(this->context, deadline);
  if (slot.answer.verdict == SlotVerdict::kGranted) {
    this->held_slot = std::move(slot);
    return true;
  }
  this->denied_answer = slot.answer;
  this->slot_denied = true;
  return Error{ErrorCode::kNotSent, "no slot", slot.answer.retry_after_ms};
}

void ServiceCall::ReleaseHeldSlot() {
  if (!this->held_slot)
    return;
  ReleaseSlot(this->context, *this->held_slot, {});
  this->held_slot.reset();
}

http::Request ServiceCall::MakeRequest(const std::string& call_id) const {
  const http::Request& original = *this->context->request;
  http::Request request;
  request.method = original.method;
  request.path = original.path;
  request.query = original.query;
  request.body = original.body;
  request.headers = ForwardableHeaders(original.headers);
  request.headers.push_back({"X-Request-Id", call_id});
  if (!this->context->call.caller.empty())
    request.headers.push_back({"X-Caller", this->context->call.caller});
  return request;
}

Result<http::Response> ServiceCall::CallHeldEndpoint() {
  const GrantedSlot slot = std::move(*this->held_slot);
  this->held_slot.reset();
  this->refused_not_run = false;
  this->context->tracker.BeginCall();
  Result<http::Response> response = endpoint::CallService(
      slot.address, this->MakeRequest(slot.call_id), this->context->deadline);
  const bool not_sent =
      !response && response.error().code == ErrorCode::kNotSent;
  this->refused_not_run =
      slot.refuses_when_leaving && IsRefusedByLeaving(response);
  if (not_sent || this->refused_not_run)
    this->context->tracker.MarkCallNotSent();
  SlotOutcome outcome;
  outcome.endpoint_failed = !response && Clock::now() < this->context->deadline;
  outcome.endpoint_leaving = response && IsLeaving(response.value());
  if (!response || outcome.endpoint_leaving)
    this->context->excluded.push_back(slot.answer.endpoint_id);
  ReleaseSlot(this->context, slot, outcome);
  return response;
}

Result<http::Response> ServiceCall::SendOnce() {
  bool refused_before = false;
  for (;;) {
    Result<http::Response> response = this->CallHeldEndpoint();
    const bool not_sent =
        !response && response.error().code == ErrorCode::kNotSent;
    refused_before = refused_before || this->refused_not_run;
    // A refusal by a leaving replica takes no retry from the budget, because
    // each replica refuses a request only once.
    if (!this->refused_not_run && (!not_sent || !TryRetry(this->context)))
      return response;
    const TimePoint limit =
        std::min(this->context->deadline, Clock::now() + kNextReplicaTimeout);
    const Result<bool> slot_result = this->EnsureSlot(limit);
    if (slot_result)
      continue;
    Error error = slot_result.error();
    if (refused_before)
      error.code = ErrorCode::kRefused;
    return error;
  }
}

void ServiceCall::RunRead() {
  for (;;) {
    const Result<bool> slot_result = this->EnsureSlot(this->context->deadline);
    if (!slot_result) {
      this->Refuse(slot_result.error());
      return;
    }
    Result<http::Response> response = this->CallHeldEndpoint();
    const bool refused_by_leaving = IsRefusedByLeaving(response);
    if (response && !refused_by_leaving) {
      this->Deliver(std::move(response.value()), false);
      return;
    }
    if (refused_by_leaving)
      continue;
    if (!TryRetry(this->context)) {
      this->Refuse(response.error());
      return;
    }
  }
}

void ServiceCall::RunWrite() {
  const Result<bool> slot_result = this->EnsureSlot(this->context->deadline);
  if (!slot_result) {
    this->Refuse(slot_result.error());
    return;
  }
  Result<http::Response> response = this->SendOnce();
  if (response)
    this->Deliver(std::move(response.value()), false);
  else
    this->Refuse(response.error());
}

void ServiceCall::RunIrreversible() {
  const EntryDependencies& dependencies = this->context->shared->dependencies;
  const RoutedCall& call = this->context->call;
  RunRequest request;
  request.name = RecordName(call.caller, call.path, call.key);
  request.body_digest = DigestHex(this->context->request->body);
  request.target_digest = TargetDigest(this->context->request->method,
                                       this->context->request->query);
  request.deadline = this->context->deadline;
  request.platform_timeout =
      Milliseconds{dependencies.settings.platform_call_timeout_ms};
  RunCallbacks functions;
  functions.prepare = [this] {
    return this->EnsureSlot(this->context->deadline);
  };
  functions.send = [this] { return this->SendOnce(); };
  functions.on_step = [&dependencies](StepAction action, StepEvent event) {
    dependencies.metrics->CountRecordStep(StepActionName(action),
                                          StepEventName(event));
  };
  RunOutcome outcome =
      RunOnce(this->context->shared->records, request, functions);
  if (outcome.pending_write_kind != PendingWriteKind::kNone)
    dependencies.records->Add(std::move(outcome.pending_write));
  this->ReleaseHeldSlot();
  this->DeliverOutcome(std::move(outcome));
}

void ServiceCall::DeliverOutcome(RunOutcome outcome) {
  const int retry_after_ms = outcome.retry_after_ms;
  switch (outcome.result) {
    case RunResult::kResponse:
      this->Deliver(std::move(outcome.response), false);
      return;
    case RunResult::kReplay:
      this->Deliver(std::move(outcome.response), true);
      return;
    case RunResult::kNotRun:
      if (this->slot_denied) {
        this->RefuseWithoutSlot();
        return;
      }
      SendRefusal(this->context,
                  MakeRefusal(this->context->tracker, 503, "not_run",
                              "the call was not run", retry_after_ms));
      return;
    case RunResult::kUnknown:
      if (!this->context->tracker.Proof()) {
        LogEvent(kIrreversibleCallUnknown,
                 "request=" + this->context->request_id +
                     " record=" + outcome.pending_write.name);
      }
      SendRefusal(this->context,
                  Refusal::Unknown(409, "unknown",
                                   "the call may have run, or is running",
                                   retry_after_ms));
      return;
    case RunResult::kKeyReused:
      SendRefusal(
          this->context,
          MakeRefusal(this->context->tracker, 422, "key_reused",
                      "this Idempotency-Key belongs to another request", 0));
      return;
    case RunResult::kDoneNotStored: {
      const nlohmann::ordered_json body = {
          {"error",
           {{"message", "the call was run; its response is not stored"},
            {"type", "response_not_stored"},
            {"run", "yes"}}}};
      this->Deliver({409, {{"Content-Type", "application/json"}}, body.dump()},
                    true);
      return;
    }
  }
}

void ServiceCall::RefuseWithoutSlot() {
  if (this->denied_answer.verdict == SlotVerdict::kCancelledWaiting) {
    CountResult(*this->context, "caller_gone");
    return;
  }
  SendRefusal(this->context,
              MakeSlotRefusal(*this->context, this->denied_answer));
}

void ServiceCall::Refuse(const Error& error) {
  if (this->slot_denied) {
    this->RefuseWithoutSlot();
    return;
  }
  SendRefusal(
      this->context,
      MakeRefusal(this->context->tracker, 502, "endpoint_failed",
                  "the service failed: " + error.message, kFailedRetryAfterMs));
}

void ServiceCall::Deliver(http::Response response, bool replayed) {
  response.headers = ForwardableHeaders(response.headers);
  if (replayed)
    response.headers.push_back({"Idempotent-Replayed", "true"});
  SendResponse(this->context, std::move(response));
  CountResult(*this->context, "complete");
}

}  // namespace coltsfootvane
