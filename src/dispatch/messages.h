#ifndef COLTSFOOTVANE_DISPATCH_MESSAGES_H_
#define COLTSFOOTVANE_DISPATCH_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "dispatch/pool_state.h"
#include "dispatch/slot_client.h"

namespace coltsfootvane::dispatch {

/// An entry asks for a slot in a pool. Repeated until answered.
struct AskMessage {
  std::string pool;
  SlotRequest request;
};

struct ReplyMessage {
  std::string pool;
  std::string request_id;
  bool queued = false;  ///< The request waits; `answer` is not set.
  SlotAnswer answer;
  int pool_load_percent = 0;
};

/// Gives a slot back, or withdraws a request.
struct ReturnMessage {
  std::string pool;
  std::string request_id;
  std::uint64_t grant_id = 0;
  bool withdrawn = false;
  SlotOutcome outcome;
};

/// Part of the list of slots that an entry holds in a pool.
struct ReportMessage {
  std::string pool;
  std::int64_t round = 0;
  int chunk = 0;  ///< From 0.
  int chunks = 1;
  std::vector<HeldSlot> held;
};

struct PreemptionMessage {
  std::string request_id;
  std::uint64_t grant_id = 0;
};

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_MESSAGES_H_
