#ifndef COLTSFOOTVANE_PEER_CODEC_H_
#define COLTSFOOTVANE_PEER_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "peer/message.h"

namespace coltsfootvane::peer {

/// Datagrams of any other protocol version are rejected.
inline constexpr int kProtocolVersion = 1;
/// Fits into one Ethernet frame and leaves room for tunnel headers.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// Encodes `message` in Thrift's compact protocol. Deadlines are sent as
/// remaining time, because the clocks of daemons are not compared.
std::string EncodeMessage(const PeerMessage& message, TimePoint now);

/// Returns `std::nullopt` if `bytes` is malformed or has another protocol
/// version. Remaining times are converted to deadlines relative to `now`.
std::optional<PeerMessage> DecodeMessage(std::string_view bytes, TimePoint now);

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_CODEC_H_
