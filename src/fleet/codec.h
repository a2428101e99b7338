#ifndef COLTSFOOTVANE_FLEET_CODEC_H_
#define COLTSFOOTVANE_FLEET_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "fleet/gen/fleet_types.h"

namespace coltsfootvane::fleet {

/// Longer datagrams would be fragmented, and the loss of one fragment would
/// lose the whole datagram.
inline constexpr std::size_t kMaxDatagramBytes = 1400;

std::string Encode(const gen::Datagram& datagram);
/// Errors: kInvalid if the bytes are malformed.
Result<gen::Datagram> Decode(std::string_view bytes);
/// Decodes what another daemon sent over TCP, which may be longer.
Result<gen::Datagram> DecodeSnapshot(std::string_view bytes);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_CODEC_H_
