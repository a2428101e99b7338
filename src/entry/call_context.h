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

/// What the calls of one entry listener share.
struct EntryShared {
  EntryDependencies dependencies;
  RecordStore records;  ///< With a breaker that all calls share.
  std::atomic<bool> draining{false};
  std::atomic<bool> stopping{false};
  std::mutex retry_mutex;
  RetryBudget retries;
};

/// One caller's request in progress. Used by its server thread only.
struct CallContext {
  EntryShared* shared = nullptr;
  const http::Request* request = nullptr;
  http::ReplyStream* reply = nullptr;
  std::string request_id;
  TimePoint arrival;
  TimePoint deadline;
  RoutedCall call;
  SendTracker tracker;
  /// Endpoints that this request has failed on.
  std::vector<std::string> excluded;
  /// Until when an interrupted stream waits for a copy; not set before that.
  TimePoint copy_deadline;
  /// Returns to copies that had failed, since the last event.
  int returns = 0;
  int attempts = 0;
  bool streaming = false;  ///< The response has begun as a stream.
};

/// A slot with the endpoint's address, or why there is none.
struct GrantedSlot {
  SlotAnswer answer;
  http::Address address;
  std::string call_id;  ///< Of this attempt; sent to the endpoint.
  bool refuses_when_leaving = false;  ///< Of the endpoint.
};

/// Waits for a slot until `deadline`. A granted endpoint that the configuration
/// does not have is given back and excluded. A stream in progress that has
/// failed on every copy returns to them a few times.
GrantedSlot AskSlot(CallContext* context, TimePoint deadline);

void GiveBack(CallContext* context,
              const GrantedSlot& slot,
              const SlotOutcome& outcome);

/// Takes a retry from the budget and counts it. Returns false if there is none
/// or the deadline has passed.
bool TryRetry(CallContext* context);

/// Builds the refusal for a slot that was not granted.
Refusal RefuseSlot(const CallContext& context, const SlotAnswer& answer);

void SendRefusal(CallContext* context, const Refusal& refusal);

/// Adds the headers that every response has and sends it.
void SendResponse(CallContext* context, http::Response response);

/// Counts the request with its result; see Metrics::CountRequest().
void CountResult(const CallContext& context, std::string_view result);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_CALL_CONTEXT_H_
