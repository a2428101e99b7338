#ifndef COLTSFOOTVANE_DISPATCH_MESSAGES_H_
#define COLTSFOOTVANE_DISPATCH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/pool_state.h"
#include "dispatch/slot_client.h"

namespace coltsfootvane::dispatch {

/// Requests a slot in a pool. The entry repeats it until it is answered.
struct SlotRequestMessage {
  std::string pool;
  SlotRequest request;
};

/// Answers a request for a slot.
struct SlotReplyMessage {
  std::string pool;
  std::string request_id;
  bool queued = false;  ///< The request is queued; `answer` is not set.
  SlotAnswer answer;
  int pool_load_percent = 0;
};

/// Releases a slot, or withdraws a request.
struct SlotReleaseMessage {
  std::string pool;
  std::string request_id;
  std::uint64_t grant_id = 0;
  bool withdrawn = false;
  SlotOutcome outcome;
};

/// One chunk of the list of slots that an entry holds in a pool.
struct HeldSlotsMessage {
  std::string pool;
  std::int64_t round = 0;  ///< The same for all chunks of one list.
  int chunk = 0;           ///< From 0.
  int chunks = 1;
  std::vector<HeldSlot> held;
};

/// Tells an entry to cancel the stream of a slot.
struct PreemptionMessage {
  std::string request_id;
  std::uint64_t grant_id = 0;
};

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_MESSAGES_H_
