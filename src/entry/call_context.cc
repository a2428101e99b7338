#include "entry/call_context.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace coltsfootvane {
namespace {

/// Retry-After of a refusal for which the dispatcher gave none.
constexpr int kRetryAfterMs = 1000;

/// Limits the endpoints that a request excludes: a slot request lists them and
/// is a single datagram of at most 1,200 bytes.
constexpr std::size_t kMaxExcluded = 16;

/// How long an interrupted stream waits for an endpoint that has the item. The
/// planner detects a restarted engine within 1 to 2 s, and loading the item
/// takes about as long.
constexpr Milliseconds kCopyWaitTimeout{5000};
constexpr Milliseconds kCopyRetryDelay{250};
/// How often an interrupted stream retries all endpoints that failed. Each
/// round may spend one retry per endpoint, and the retry budget holds at
/// most 10.
constexpr int kMaxCopyRetries = 3;

const char* RefusalTypeOf(SlotVerdict verdict) {
  switch (verdict) {
    case SlotVerdict::kGranted:
      return "granted";
    case SlotVerdict::kQueueFull:
      return "queue_full";
    case SlotVerdict::kDeadline:
      return "deadline";
    case SlotVerdict::kNoCopy:
      return "no_copy";
    case SlotVerdict::kCancelledWaiting:
      return "caller_gone";
  }
  return "";
}

SlotRequest MakeSlotRequest(const CallContext& context,
                            const std::string& call_id,
                            TimePoint deadline) {
  SlotRequest request;
  request.request_id = call_id;
  request.item = context.call.item;
  request.kind = context.call.kind == CallKind::kService
                     ? EndpointKind::kService
                     : EndpointKind::kEngine;
  request.priority = context.call.priority;
  request.caller = context.call.caller;
  request.prefix_hash = context.call.prefix_hash;
  request.deadline = deadline;
  request.excluded = context.excluded;
  return request;
}

/// After a delay, makes the endpoints on which a stream in progress has failed
/// eligible again, because most items are loaded on one endpoint only. Returns
/// false if the stream must not be retried.
bool RetryFailedCopies(CallContext* context, TimePoint deadline) {
  const TimePoint now = Clock::now();
  if (!context->streaming || context->shared->stopping.load())
    return false;
  Milliseconds delay = kCopyRetryDelay;
  if (!context->excluded.empty()) {
    if (context->copy_retries >= kMaxCopyRetries)
      return false;
    delay *= 1 << context->copy_retries;
    ++context->copy_retries;
    context->excluded.clear();
  }
  if (context->copy_deadline == TimePoint())
    context->copy_deadline = std::min(deadline, now + kCopyWaitTimeout);
  if (now + delay >= context->copy_deadline)
    return false;
  std::this_thread::sleep_for(delay);
  return true;
}

}  // namespace

GrantedSlot AcquireSlot(CallContext* context, TimePoint deadline) {
  const EntryDependencies& dependencies = context->shared->dependencies;
  for (;;) {
    GrantedSlot slot;
    if (context->excluded.size() >= kMaxExcluded)
      return slot;
    if (Clock::now() >= deadline) {
      slot.answer.verdict = SlotVerdict::kDeadline;
      return slot;
    }
    ++context->attempts;
    slot.call_id =
        context->request_id + "-" + std::to_string(context->attempts);
    slot.answer = dependencies.slots.acquire(
        MakeSlotRequest(*context, slot.call_id, deadline),
        [context] { return context->reply->CallerGone(); });
    if (slot.answer.verdict == SlotVerdict::kNoCopy &&
        RetryFailedCopies(context, deadline))
      continue;
    if (slot.answer.verdict != SlotVerdict::kGranted)
      return slot;
    const std::shared_ptr<const InForce> in_force =
        dependencies.in_force->Get();
    const Endpoint* const endpoint =
        FindEndpoint(in_force->configuration, slot.answer.endpoint_id);
    if (endpoint != nullptr) {
      slot.address = endpoint->address;
      slot.refuses_when_leaving = endpoint->refuses_when_leaving;
      return slot;
    }
    context->excluded.push_back(slot.answer.endpoint_id);
    ReleaseSlot(context, slot, {});
  }
}

void ReleaseSlot(CallContext* context,
                 const GrantedSlot& slot,
                 const SlotOutcome& outcome) {
  const EntryDependencies& dependencies = context->shared->dependencies;
  dependencies.slots.release(slot.answer, outcome);
  if (outcome.endpoint_leaving && dependencies.on_endpoint_leaving)
    dependencies.on_endpoint_leaving(slot.answer.endpoint_id);
}

bool TryRetry(CallContext* context) {
  const TimePoint now = Clock::now();
  if (now >= context->deadline)
    return false;
  {
    std::lock_guard<std::mutex> lock(context->shared->retry_mutex);
    if (!SpendRetry(&context->shared->retries, now))
      return false;
  }
  context->shared->dependencies.metrics->CountRetry(context->call.priority);
  return true;
}

Refusal MakeSlotRefusal(const CallContext& context, const SlotAnswer& answer) {
  const int retry_after_ms =
      answer.retry_after_ms > 0 ? answer.retry_after_ms : kRetryAfterMs;
  const char* message = "no endpoint is free";
  if (answer.verdict == SlotVerdict::kQueueFull)
    message = "the queue of this priority class is full";
  if (answer.verdict == SlotVerdict::kDeadline)
    message = "the request would not finish before its deadline";
  if (answer.verdict == SlotVerdict::kNoCopy)
    message = "no endpoint is ready for this request";
  return MakeRefusal(context.tracker, 503, RefusalTypeOf(answer.verdict),
                     message, retry_after_ms);
}

void SendRefusal(CallContext* context, const Refusal& refusal) {
  Metrics* const metrics = context->shared->dependencies.metrics;
  const bool not_run = refusal.GetKind() == Refusal::Kind::kNotRun;
  SendResponse(context, refusal.ToResponse());
  metrics->CountRefusal(not_run ? "not_run" : "unknown", refusal.Type());
  metrics->ObserveRefusalTime(Clock::now() - context->arrival);
  CountResult(*context, "refused");
}

void SendResponse(CallContext* context, http::Response response) {
  response.headers.push_back({"X-Request-Id", context->request_id});
  // Closing the connection makes the load balancer send the caller's next
  // request to another daemon.
  if (context->shared->draining.load())
    response.headers.push_back({"Connection", "close"});
  context->reply->Send(response);
}

void CountResult(const CallContext& context, std::string_view result) {
  context.shared->dependencies.metrics->CountRequest(context.call.priority,
                                                     result);
}

}  // namespace coltsfootvane
