#ifndef COLTSFOOTVANE_PEER_MESSAGE_H_
#define COLTSFOOTVANE_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/messages.h"
#include "membership/message.h"
#include "placement/demand.h"

namespace coltsfootvane::peer {

/// The content of one datagram between daemons.
struct PeerMessage {
  std::string sender;  ///< Member id.
  std::int64_t incarnation = 0;
  std::optional<membership::Message> membership;
  std::optional<dispatch::SlotRequestMessage> slot_request;
  std::optional<dispatch::SlotReplyMessage> reply;
  std::optional<dispatch::SlotReleaseMessage> slot_release;
  std::optional<dispatch::HeldSlotsMessage> held_slots;
  std::optional<dispatch::PreemptionMessage> preemption;
  std::vector<ItemDemand> demand;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_MESSAGE_H_
