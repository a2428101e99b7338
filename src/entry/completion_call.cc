#include "entry/completion_call.h"

#include <utility>
#include <vector>

#include "entry/events.h"

namespace coltsfootvane {
namespace {

/// Retry-After when the endpoints have failed.
constexpr int kFailedRetryAfterMs = 1000;

/// The entry listener has validated path and item, so this status means that
/// the engine does not hold the item: the placement has not yet caught up with
/// a restart of the engine.
constexpr int kNotReadyStatus = 404;

/// Formats one server-sent event; each line of the data needs its own
/// `data:` field.
std::string FormatEvent(const endpoint::StreamEvent& event) {
  std::string text;
  text.reserve(event.data.size() + 32);
  if (event.id > 0)
    text += "id: " + std::to_string(event.id) + "\n";
  std::size_t start = 0;
  for (;;) {
    const std::size_t end = event.data.find('\n', start);
    text += "data: ";
    text.append(event.data, start, end - start);
    text += '\n';
    if (end == std::string::npos)
      break;
    start = end + 1;
  }
  text += '\n';
  return text;
}

Microseconds Between(TimePoint start, TimePoint end) {
  return std::chrono::duration_cast<Microseconds>(end - start);
}

}  // namespace

CompletionCall::CompletionCall(CallContext* context)
    : context(context), last_event_id(context->call.resume_after) {}

void CompletionCall::Run() {
  while (this->RunAttempt()) {
  }
}

bool CompletionCall::RunAttempt() {
  const GrantedSlot slot = AcquireSlot(this->context, this->context->deadline);
  if (slot.answer.verdict == SlotVerdict::kCancelledWaiting) {
    CountResult(*this->context, "caller_gone");
    return false;
  }
  if (slot.answer.verdict != SlotVerdict::kGranted) {
    this->Fail(MakeSlotRefusal(*this->context, slot.answer));
    return false;
  }
  this->preempted = false;
  this->tokens = 0;
  this->attempt_start = Clock::now();
  this->context->tracker.BeginCall();
  const Result<bool> result = this->Call(slot);
  if (!result && result.error().code == ErrorCode::kNotSent)
    this->context->tracker.MarkCallNotSent();
  const End end = this->ClassifyEnd(result);
  ReleaseSlot(this->context, slot, this->MakeSlotOutcome(result, end));
  return this->HandleEnd(slot, end, result ? Error{} : result.error());
}

Result<bool> CompletionCall::Call(const GrantedSlot& slot) {
  endpoint::CompletionRequest request;
  request.path = this->context->call.path;
  request.body = this->context->call.body;
  request.request_id = slot.call_id;
  request.resume_after = this->last_event_id;
  const std::function<bool()> on_idle = [this, &slot] {
    return this->OnIdle(slot);
  };
  if (!this->context->call.streamed) {
    Result<http::Response> response = endpoint::Complete(
        slot.address, request, on_idle, this->context->deadline);
    if (!response)
      return response.error();
    this->unstreamed_response = std::move(response.value());
    return http::FindHeader(this->unstreamed_response.headers, "X-Leaving") ==
           "1";
  }
  endpoint::CompletionHandler handler;
  handler.on_event = [this](const endpoint::StreamEvent& event) {
    return this->OnEvent(event);
  };
  handler.on_idle = on_idle;
  handler.on_leaving = [this, &slot] {
    const EntryDependencies& dependencies = this->context->shared->dependencies;
    if (dependencies.on_endpoint_leaving)
      dependencies.on_endpoint_leaving(slot.answer.endpoint_id);
  };
  return endpoint::StreamCompletion(slot.address, request, handler,
                                    this->context->deadline);
}

bool CompletionCall::OnIdle(const GrantedSlot& slot) {
  const EntryShared& shared = *this->context->shared;
  this->caller_gone = this->context->reply->CallerGone();
  this->stopping = shared.stopping.load();
  this->preempted = shared.dependencies.slots.is_preempted(slot.answer);
  return !this->caller_gone && !this->stopping && !this->preempted;
}

bool CompletionCall::OnEvent(const endpoint::StreamEvent& event) {
  this->ObserveToken(Clock::now());
  this->context->copy_retries = 0;
  this->context->copy_deadline = TimePoint();
  if (!this->BeginStream() || !this->context->reply->Write(FormatEvent(event)))
    this->caller_gone = true;
  if (event.id > 0)
    this->last_event_id = event.id;
  return !this->caller_gone;
}

void CompletionCall::ObserveToken(TimePoint now) {
  Metrics* const metrics = this->context->shared->dependencies.metrics;
  const Priority priority = this->context->call.priority;
  if (this->last_token == TimePoint())
    metrics->ObserveFirstToken(priority, now - this->context->arrival);
  else
    metrics->ObserveTokenGap(priority, now - this->last_token);
  if (this->tokens == 0)
    this->first_token = now;
  this->last_token = now;
  ++this->tokens;
}

bool CompletionCall::BeginStream() {
  if (this->stream_begun)
    return true;
  this->stream_begun = true;
  this->context->streaming = true;
  const std::vector<http::Header> headers = {
      {"Content-Type", "text/event-stream"},
      {"Cache-Control", "no-cache"},
      {"X-Request-Id", this->context->request_id},
      {"X-Seed", std::to_string(this->context->call.seed)}};
  return this->context->reply->Begin(200, headers);
}

CompletionCall::End CompletionCall::ClassifyEnd(
    const Result<bool>& result) const {
  if (result)
    return End::kComplete;
  const Error& error = result.error();
  if (error.code == ErrorCode::kConflict) {
    if (this->caller_gone)
      return End::kCallerGone;
    return this->stopping ? End::kStopping : End::kPreempted;
  }
  if (error.endpoint_leaving)
    return End::kLeaving;
  if (error.code == ErrorCode::kRefused && error.http_status == kNotReadyStatus)
    return End::kNotReady;
  const bool rejected = error.code == ErrorCode::kRefused &&
                        error.http_status >= 400 && error.http_status < 500;
  return rejected ? End::kRejected : End::kFailed;
}

SlotOutcome CompletionCall::MakeSlotOutcome(const Result<bool>& result,
                                            End end) const {
  SlotOutcome outcome;
  // An engine at its capacity limit, or one that ran into the caller's
  // deadline, does not count as failed.
  const bool full = !result && result.error().code == ErrorCode::kRateLimited;
  const bool late = Clock::now() >= this->context->deadline;
  outcome.endpoint_failed = end == End::kFailed && !full && !late;
  // For a stream, X-Leaving was reported when the response headers arrived.
  // By the end of the stream it may be out of date: the endpoint may be live
  // again.
  const bool streamed = this->context->call.streamed;
  outcome.endpoint_leaving =
      result ? result.value() && !streamed : result.error().endpoint_leaving;
  outcome.tokens = this->tokens;
  if (this->tokens > 0)
    outcome.time_to_first_token =
        Between(this->attempt_start, this->first_token);
  if (this->tokens > 1) {
    outcome.time_per_token =
        Between(this->first_token, this->last_token) / (this->tokens - 1);
  }
  return outcome;
}

bool CompletionCall::HandleEnd(const GrantedSlot& slot,
                               End end,
                               const Error& error) {
  Metrics* const metrics = this->context->shared->dependencies.metrics;
  const Priority priority = this->context->call.priority;
  switch (end) {
    case End::kComplete:
      this->FinishResponse();
      return false;
    case End::kCallerGone:
      CountResult(*this->context, "caller_gone");
      return false;
    case End::kRejected:
      this->Reject(error);
      return false;
    case End::kStopping:
      LogEvent(kRequestInterrupted, "request=" + this->context->request_id);
      this->Fail(MakeRefusal(this->context->tracker, 503, "stopping",
                             "the daemon is stopping", kFailedRetryAfterMs));
      return false;
    case End::kPreempted:
      metrics->CountPreemption(priority);
      break;
    case End::kLeaving:
    case End::kNotReady:
      this->context->excluded.push_back(slot.answer.endpoint_id);
      break;
    case End::kFailed:
      this->context->excluded.push_back(slot.answer.endpoint_id);
      if (!TryRetry(this->context)) {
        this->Fail(MakeRefusal(this->context->tracker, 502, "endpoint_failed",
                               "the endpoint failed: " + error.message,
                               kFailedRetryAfterMs));
        return false;
      }
      break;
  }
  if (this->stream_begun)
    metrics->CountResume(priority);
  return true;
}

void CompletionCall::FinishResponse() {
  if (!this->context->call.streamed) {
    http::Response response;
    response.status = this->unstreamed_response.status;
    response.body = std::move(this->unstreamed_response.body);
    response.headers = {{"Content-Type", "application/json"},
                        {"X-Seed", std::to_string(this->context->call.seed)}};
    SendResponse(this->context, std::move(response));
    CountResult(*this->context, "complete");
    return;
  }
  http::ReplyStream& reply = *this->context->reply;
  const bool delivered =
      this->BeginStream() && reply.Write("data: [DONE]\n\n") && reply.End();
  CountResult(*this->context, delivered ? "complete" : "caller_gone");
}

void CompletionCall::Reject(const Error& error) {
  if (this->stream_begun) {
    this->Fail(MakeRefusal(this->context->tracker, 502, "endpoint_refused",
                           error.message, kFailedRetryAfterMs));
    return;
  }
  http::Response response;
  response.status = error.http_status;
  response.headers = {{"Content-Type", "application/json"}};
  response.body = error.message;
  SendResponse(this->context, std::move(response));
  CountResult(*this->context, "rejected");
}

void CompletionCall::Fail(const Refusal& refusal) {
  if (!this->stream_begun) {
    SendRefusal(this->context, refusal);
    return;
  }
  LogEvent(kStreamNotCompleted, "request=" + this->context->request_id +
                                    " reason=" + refusal.Type() + " last_id=" +
                                    std::to_string(this->last_event_id));
  http::ReplyStream& reply = *this->context->reply;
  if (reply.Write("event: error\ndata: " + refusal.Body() + "\n\n"))
    reply.End();
  CountResult(*this->context, "failed");
}

}  // namespace coltsfootvane
