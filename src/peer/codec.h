#ifndef COLTSFOOTVANE_PEER_CODEC_H_
#define COLTSFOOTVANE_PEER_CODEC_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "peer/message.h"

namespace coltsfootvane::peer {

/// Different versions do not understand each other's datagrams.
inline constexpr int kProtocolVersion = 1;
/// Fits one Ethernet frame with room for tunnel headers.
inline constexpr std::size_t kMaxDatagramBytes = 1200;

/// Encodes in Thrift's compact protocol. Deadlines become remaining times.
std::string EncodeMessage(const PeerMessage& message, TimePoint now);

/// Returns nothing if `bytes` is malformed or of another protocol version.
std::optional<PeerMessage> DecodeMessage(std::string_view bytes, TimePoint now);

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_CODEC_H_
