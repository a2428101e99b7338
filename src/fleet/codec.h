#ifndef COLTSFOOTVANE_FLEET_CODEC_H_
#define COLTSFOOTVANE_FLEET_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

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

/// More departures are not sent.
inline constexpr std::size_t kMaxDepartures = 20'000;

std::string Encode(const gen::Departures& departures);
/// Errors: kInvalid if the bytes are malformed.
Result<gen::Departures> DecodeDepartures(std::string_view bytes);

/// Returns the IPv4 addresses of a message, whose integers are signed.
std::vector<std::uint32_t> AddressesFromWire(
    const std::vector<std::int32_t>& wire);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_CODEC_H_
