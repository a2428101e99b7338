#ifndef COLTSFOOTVANE_GATEWAY_ENDPOINT_NOTICE_H_
#define COLTSFOOTVANE_GATEWAY_ENDPOINT_NOTICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/clock.h"

namespace coltsfootvane::gateway {

/// What an endpoint states about itself in the head of an answer.
struct EndpointNotice {
  bool leaving = false;  ///< It shuts down and wants no new work.
  /// For how long it wants no requests of this daemon; 0 if it does not say.
  Milliseconds pause{0};
};

/// What an instance of an endpoint has stated so far. It holds for this process
/// of the endpoint, whatever the store or other daemons say.
struct StatedAvailability {
  bool leaving = false;
  TimePoint paused_since;  ///< Begin of the pause that ends at `paused_until`.
  TimePoint paused_until;
};

/// What a notice has changed.
struct NoticeEffect {
  bool leaves = false;  ///< It was not known to leave before.
  bool pauses = false;  ///< The pause ends later than known before.
};

/// Applies a notice. Overlapping pauses last until the latest end.
NoticeEffect ApplyNotice(StatedAvailability* stated,
                         const EndpointNotice& notice,
                         TimePoint now);

/// Id and incarnation: one process of an endpoint.
using EndpointInstance = std::pair<std::string, std::int64_t>;

/// What instances have stated. An instance whose entry lapses and returns is
/// found again, so that an older view of the store does not undo its word.
struct InstanceMemory {
  std::map<EndpointInstance, std::shared_ptr<StatedAvailability>> instances;
  std::deque<EndpointInstance> order;  ///< From the oldest to the newest.
};

/// Beyond this number the oldest instances that are not in use are forgotten.
inline constexpr std::size_t kMaxRememberedInstances = 4096;

/// Returns the statements of an instance, which are empty if it is new.
std::shared_ptr<StatedAvailability> RecallInstance(
    InstanceMemory* memory,
    const EndpointInstance& instance);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ENDPOINT_NOTICE_H_
