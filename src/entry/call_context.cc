#include "entry/call_context.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace coltsfootvane {
namespace {

/// When to come back if the dispatcher gave no time.
constexpr int kRetryAfterMs = 1000;

/// Endpoints that a request may fail on; a slot request is one datagram of at
/// most 1,200 bytes and names them.
constexpr std::size_t kMaxExcluded = 16;

/// How long an interrupted stream waits for a copy. The planner finds a
/// restarted engine within 1 to 2 s, and a load takes about as long.
constexpr Milliseconds kCopyReturnTime{5000};
constexpr Milliseconds kCopyPause{250};
/// Each return may take a retry for every copy, and the budget has 10.
constexpr int kMaxReturns = 3;

const char* ReasonOf(SlotVerdict verdict) {
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

/// Admits the endpoints again on which a stream in progress has failed, after a
/// pause: most items have one copy only. Returns false to give up.
bool ReturnToCopies(CallContext* context, TimePoint deadline) {
  const TimePoint now = Clock::now();
  if (!context->streaming || context->shared->stopping.load())
    return false;
  Milliseconds pause = kCopyPause;
  if (!context->excluded.empty()) {
    if (context->returns >= kMaxReturns)
      return false;
    pause *= 1 << context->returns;
    ++context->returns;
    context->excluded.clear();
  }
  if (context->copy_deadline == TimePoint())
    context->copy_deadline = std::min(deadline, now + kCopyReturnTime);
  if (now + pause >= context->copy_deadline)
    return false;
  std::this_thread::sleep_for(pause);
  return true;
}

}  // namespace

GrantedSlot AskSlot(CallContext* context, TimePoint deadline) {
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
    slot.answer = dependencies.slots.ask(
        MakeSlotRequest(*context, slot.call_id, deadline),
        [context] { return context->reply->CallerGone(); });
    if (slot.answer.verdict == SlotVerdict::kNoCopy &&
        ReturnToCopies(context, deadline))
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
    GiveBack(context, slot, {});
  }
}

void GiveBack(CallContext* context,
              const GrantedSlot& slot,
              const SlotOutcome& outcome) {
  const EntryDependencies& dependencies = context->shared->dependencies;
  dependencies.slots.give_back(slot.answer, outcome);
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

Refusal RefuseSlot(const CallContext& context, const SlotAnswer& answer) {
  const int retry_after_ms =
      answer.retry_after_ms > 0 ? answer.retry_after_ms : kRetryAfterMs;
  const char* message = "no endpoint is free";
  if (answer.verdict == SlotVerdict::kQueueFull)
    message = "the queue of this priority class is full";
  if (answer.verdict == SlotVerdict::kDeadline)
    message = "the request would not finish before its deadline";
  if (answer.verdict == SlotVerdict::kNoCopy)
    message = "no endpoint is ready for this request";
  return RefuseBy(context.tracker, 503, ReasonOf(answer.verdict), message,
                  retry_after_ms);
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
  // The balancer then sends the caller's next request to another daemon.
  if (context->shared->draining.load())
    response.headers.push_back({"Connection", "close"});
  context->reply->Send(response);
}

void CountResult(const CallContext& context, std::string_view result) {
  context.shared->dependencies.metrics->CountRequest(context.call.priority,
                                                     result);
}

}  // namespace coltsfootvane
