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

/// When to come back after a failure of the endpoints.
constexpr int kFailedRetryAfterMs = 1000;

/// How long a call whose record says `sending` waits for another replica. The
/// record of a daemon that dies meanwhile stays unknown for good.
constexpr Milliseconds kSecondSlotTimeout{500};

/// Headers that belong to one connection, or that the two sides set themselves.
constexpr std::array<std::string_view, 14> kOwnHeaders = {"Connection",
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

bool IsOwnHeader(std::string_view name) {
  return std::any_of(
      kOwnHeaders.begin(), kOwnHeaders.end(), [name](std::string_view own) {
        return own.size() == name.size() &&
               strncasecmp(own.data(), name.data(), own.size()) == 0;
      });
}

std::vector<http::Header> Forwardable(gsl::span<const http::Header> headers) {
  std::vector<http::Header> kept;
  for (const http::Header& header : headers) {
    if (!IsOwnHeader(header.name))
      kept.push_back(header);
  }
  return kept;
}

bool IsLeaving(const http::Response& response) {
  return http::FindHeader(response.headers, "X-Leaving") == "1";
}

/// CallService() has compared the request id.
bool IsRefusedByLeaving(const Result<http::Response>& response) {
  return response && response.value().status == 503 &&
         IsLeaving(response.value());
}

}  // namespace

ServiceCall::ServiceCall(CallContext* context) : context(context) {}

void ServiceCall::Run() {
  if (this->context->call.irreversible)
    this->RunIrreversible();
  else if (this->context->call.read)
    this->RunRead();
  else
    this->RunSingle();
  this->ReleaseHeld();
}

Result<bool> ServiceCall::Prepare(TimePoint deadline) {
  if (this->held)
    return true;
  GrantedSlot slot = AskSlot(this->context, deadline);
  if (slot.answer.verdict == SlotVerdict::kGranted) {
    this->held = std::move(slot);
    return true;
  }
  this->no_slot = slot.answer;
  this->slot_denied = true;
  return Error{ErrorCode::kNotSent, "no slot", slot.answer.retry_after_ms};
}

void ServiceCall::ReleaseHeld() {
  if (!this->held)
    return;
  GiveBack(this->context, *this->held, {});
  this->held.reset();
}

http::Request ServiceCall::MakeRequest(const std::string& call_id) const {
  const http::Request& original = *this->context->request;
  http::Request request;
  request.method = original.method;
  request.path = original.path;
  request.query = original.query;
  request.body = original.body;
  request.headers = Forwardable(original.headers);
  request.headers.push_back({"X-Request-Id", call_id});
  if (!this->context->call.caller.empty())
    request.headers.push_back({"X-Caller", this->context->call.caller});
  return request;
}

Result<http::Response> ServiceCall::CallHeld() {
  const GrantedSlot slot = std::move(*this->held);
  this->held.reset();
  this->refused_unrun = false;
  this->context->tracker.BeginCall();
  Result<http::Response> response = endpoint::CallService(
      slot.address, this->MakeRequest(slot.call_id), this->context->deadline);
  const bool not_sent =
      !response && response.error().code == ErrorCode::kNotSent;
  this->refused_unrun =
      slot.refuses_when_leaving && IsRefusedByLeaving(response);
  if (not_sent || this->refused_unrun)
    this->context->tracker.CallNotSent();
  SlotOutcome outcome;
  outcome.endpoint_failed = !response && Clock::now() < this->context->deadline;
  outcome.endpoint_leaving = response && IsLeaving(response.value());
  if (!response || outcome.endpoint_leaving)
    this->context->excluded.push_back(slot.answer.endpoint_id);
  GiveBack(this->context, slot, outcome);
  return response;
}

Result<http::Response> ServiceCall::SendOnce() {
  bool refused_before = false;
  for (;;) {
    Result<http::Response> response = this->CallHeld();
    const bool not_sent =
        !response && response.error().code == ErrorCode::kNotSent;
    refused_before = refused_before || this->refused_unrun;
    // A leaving replica costs no retry: each refuses a request once.
    if (!this->refused_unrun && (!not_sent || !TryRetry(this->context)))
      return response;
    const TimePoint limit =
        std::min(this->context->deadline, Clock::now() + kSecondSlotTimeout);
    const Result<bool> prepared = this->Prepare(limit);
    if (prepared)
      continue;
    Error error = prepared.error();
    if (refused_before)
      error.code = ErrorCode::kRefused;
    return error;
  }
}

void ServiceCall::RunRead() {
  for (;;) {
    const Result<bool> prepared = this->Prepare(this->context->deadline);
    if (!prepared) {
      this->Refuse(prepared.error());
      return;
    }
    Result<http::Response> response = this->CallHeld();
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

void ServiceCall::RunSingle() {
  const Result<bool> prepared = this->Prepare(this->context->deadline);
  if (!prepared) {
    this->Refuse(prepared.error());
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
  RunFunctions functions;
  functions.prepare = [this] { return this->Prepare(this->context->deadline); };
  functions.send = [this] { return this->SendOnce(); };
  functions.on_step = [&dependencies](StepAction action, StepEvent event) {
    dependencies.metrics->CountRecordStep(StepActionName(action),
                                          StepEventName(event));
  };
  RunOutcome outcome =
      RunOnce(this->context->shared->records, request, functions);
  if (outcome.remainder != StepRemainder::kNone)
    dependencies.records->Add(std::move(outcome.settlement));
  this->ReleaseHeld();
  this->AnswerOnce(std::move(outcome));
}

void ServiceCall::AnswerOnce(RunOutcome outcome) {
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
        this->RefuseForSlot();
        return;
      }
      SendRefusal(this->context,
                  RefuseBy(this->context->tracker, 503, "not_run",
                           "the call was not run", retry_after_ms));
      return;
    case RunResult::kUnknown:
      if (!this->context->tracker.Token()) {
        LogEvent(kIrreversibleCallUnknown,
                 "request=" + this->context->request_id +
                     " record=" + outcome.settlement.name);
      }
      SendRefusal(this->context,
                  Refusal::Unknown(409, "unknown",
                                   "the call may have run, or is running",
                                   retry_after_ms));
      return;
    case RunResult::kKeyReused:
      SendRefusal(
          this->context,
          RefuseBy(this->context->tracker, 422, "key_reused",
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

void ServiceCall::RefuseForSlot() {
  if (this->no_slot.verdict == SlotVerdict::kCancelledWaiting) {
    CountResult(*this->context, "caller_gone");
    return;
  }
  SendRefusal(this->context, RefuseSlot(*this->context, this->no_slot));
}

void ServiceCall::Refuse(const Error& error) {
  if (this->slot_denied) {
    this->RefuseForSlot();
    return;
  }
  SendRefusal(
      this->context,
      RefuseBy(this->context->tracker, 502, "endpoint_failed",
               "the service failed: " + error.message, kFailedRetryAfterMs));
}

void ServiceCall::Deliver(http::Response response, bool replayed) {
  response.headers = Forwardable(response.headers);
  if (replayed)
    response.headers.push_back({"Idempotent-Replayed", "true"});
  SendResponse(this->context, std::move(response));
  CountResult(*this->context, "complete");
}

}  // namespace coltsfootvane
