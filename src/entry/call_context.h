#ifndef COLTSFOOTVANE_ENTRY_CALL_CONTEXT_H_
#define COLTSFOOTVANE_ENTRY_CALL_CONTEXT_H_

#include <atomic>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.h"
#include "entry/entry_dependencies.h"
#include "entry/refusal.h"
#include "entry/retry_budget.h"
#include "entry/route.h"
#include "http/server.h"
#include "idempotency/record_store.h"

namespace coltsfootvane {

/// State shared by all calls of one entry listener.
struct EntryShared {
  EntryDependencies dependencies;
  RecordStore records;  ///< Its circuit breaker is shared by all calls.
  std::atomic<bool> draining{false};
  std::atomic<bool> stopping{false};
  std::mutex retry_mutex;
  RetryBudget retries;
};

/// One caller's request in progress. Used only by the server thread that
/// handles it.
struct CallContext {
  EntryShared* shared = nullptr;
  const http::Request* request = nullptr;
  http::ReplyStream* reply = nullptr;
  std::string request_id;
  TimePoint arrival;
  TimePoint deadline;
  RoutedCall call;
  SendTracker tracker;
  /// Endpoints on which this request has failed or must not run.
  std::vector<std::string> excluded;
  /// Until when an interrupted stream waits for an endpoint that has the item;
  /// unset while the stream is not interrupted.
  TimePoint copy_deadline;
  /// How often all failed endpoints were retried since the last stream event.
  int copy_retries = 0;
  int attempts = 0;
  bool streaming = false;  ///< The response has begun as a stream.
};

/// An acquired slot and its endpoint, or the reason why none was granted.
struct GrantedSlot {
  SlotAnswer answer;
  http::Address address;
  std::string call_id;  ///< Request id of this attempt, sent to the endpoint.
  bool refuses_when_leaving = false;  ///< See Endpoint.
};

/// Waits for a slot until `deadline`. A slot whose endpoint is missing from the
/// configuration is released and the endpoint excluded. A stream in progress
/// that has failed on every endpoint with the item retries them, up to a fixed
/// number of times.
GrantedSlot AcquireSlot(CallContext* context, TimePoint deadline);

void ReleaseSlot(CallContext* context,
                 const GrantedSlot& slot,
                 const SlotOutcome& outcome);

/// Takes one retry from the budget and counts it in the metrics. Returns false
/// if the budget is empty or the deadline has passed.
bool TryRetry(CallContext* context);

/// Builds the refusal for a slot that was not granted.
Refusal MakeSlotRefusal(const CallContext& context, const SlotAnswer& answer);

void SendRefusal(CallContext* context, const Refusal& refusal);

/// Adds the headers common to all responses and sends `response`.
void SendResponse(CallContext* context, http::Response response);

/// Counts the request with its result; see Metrics::CountRequest().
void CountResult(const CallContext& context, std::string_view result);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_CALL_CONTEXT_H_
