#ifndef COLTSFOOTVANE_DISPATCH_SLOT_CLIENT_H_
#define COLTSFOOTVANE_DISPATCH_SLOT_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "config/configuration.h"

namespace coltsfootvane {

/// What an entry asks a dispatcher for.
struct SlotRequest {
  std::string request_id;
  std::string item;  ///< Model or adapter name, or the service's name.
  EndpointKind kind = EndpointKind::kEngine;
  Priority priority = Priority::kInteractive;
  std::string caller;
  std::uint64_t prefix_hash = 0;  ///< 0 for none.
  TimePoint deadline;
  /// Endpoints that this request has failed on already.
  std::vector<std::string> excluded;
};

enum class SlotVerdict {
  kGranted,
  kQueueFull,         ///< The queue of the class is full.
  kDeadline,          ///< The estimated finish is after the deadline.
  kNoCopy,            ///< No endpoint has the item ready.
  kCancelledWaiting,  ///< The caller left while the request was queued.
};

struct SlotAnswer {
  SlotVerdict verdict = SlotVerdict::kNoCopy;
  std::string endpoint_id;  ///< If granted.
  std::uint64_t grant_id = 0;
  int retry_after_ms = 0;  ///< If refused: when the queue will have drained.
};

/// What an entry observed on a granted call, for limits and outliers.
struct SlotOutcome {
  bool endpoint_failed = false;
  bool endpoint_leaving = false;
  int tokens = 0;
  Microseconds time_to_first_token{0};
  Microseconds time_per_token{0};
};

/// Asks dispatchers for slots on behalf of the calls of one daemon. The
/// functions are thread safe.
struct SlotClient {
  /// Waits for a verdict until the request's deadline. `caller_gone` is polled
  /// at least every 100 ms; when it returns true the request is withdrawn.
  std::function<SlotAnswer(const SlotRequest& request,
                           const std::function<bool()>& caller_gone)>
      ask;

  /// Gives a granted slot back.
  std::function<void(const SlotAnswer& answer, const SlotOutcome& outcome)>
      give_back;

  /// Whether the dispatcher wants this grant's stream cancelled in favour of
  /// an urgent request. The entry then gives the slot back and asks again.
  std::function<bool(const SlotAnswer& answer)> is_preempted;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISPATCH_SLOT_CLIENT_H_
