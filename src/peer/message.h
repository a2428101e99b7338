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

/// One datagram between daemons.
struct PeerMessage {
  std::string sender;  ///< Member id.
  std::int64_t incarnation = 0;
  std::optional<membership::Message> membership;
  std::optional<dispatch::AskMessage> ask;
  std::optional<dispatch::ReplyMessage> reply;
  std::optional<dispatch::ReturnMessage> give_back;
  std::optional<dispatch::ReportMessage> report;
  std::optional<dispatch::PreemptionMessage> preemption;
  std::vector<ItemDemand> demand;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_MESSAGE_H_
