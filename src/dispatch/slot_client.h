#ifndef COLTSFOOTVANE_DISPATCH_SLOT_CLIENT_H_
#define COLTSFOOTVANE_DISPATCH_SLOT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/configuration.h"

namespace coltsfootvane {

/// An entry's request to a dispatcher for a slot.
struct SlotRequest {
  std::string request_id;
  std::string item;  ///< Model or adapter name, or the service's name.
  EndpointKind kind = EndpointKind::kEngine;
  Priority priority = Priority::kInteractive;
  std::string caller;
  std::uint64_t prefix_hash = 0;  ///< 0 for none.
  TimePoint deadline;
  /// Endpoints on which this request has already failed.
  std::vector<std::string> excluded;
};

/// The dispatcher's decision on a request.
enum class SlotVerdict {
  kGranted,
  kQueueFull,         ///< The queue of the class is full.
  kDeadline,          ///< Expected to miss its deadline or first token target.
  kNoCopy,            ///< No endpoint has the item ready.
  kCancelledWaiting,  ///< The caller disconnected while the request waited.
};

struct SlotAnswer {
  SlotVerdict verdict = SlotVerdict::kNoCopy;
  std::string endpoint_id;  ///< If granted.
  std::uint64_t grant_id = 0;
  int retry_after_ms = 0;  ///< If refused: estimated time to wait.
};

/// Observations of an entry on a granted call, for limits and outlier
/// detection.
struct SlotOutcome {
  bool endpoint_failed = false;
  bool endpoint_leaving = false;
  int tokens = 0;
  Microseconds time_to_first_token{0};
  Microseconds time_per_token{0};
};

/// Requests slots from dispatchers for the calls of one daemon. The functions
/// are thread safe.
struct SlotClient {
  /// Requests a slot and waits for the verdict until the request's deadline.
  /// `caller_gone` is polled at least every 100 ms; when it returns true the
  /// request is withdrawn.
  std::function<SlotAnswer(const SlotRequest& request,
                           const std::function<bool()>& caller_gone)>
      acquire;

  /// Releases a granted slot.
  std::function<void(const SlotAnswer& answer, const SlotOutcome& outcome)>
      release;

  /// Returns whether the dispatcher has preempted this grant for an urgent
  /// request. The entry then cancels the stream, releases the slot and requests
  /// another one.
  std::function<bool(const SlotAnswer& answer)> is_preempted;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISPATCH_SLOT_CLIENT_H_
