#include "fleet/codec.h"

#include "fleet/thrift_codec.h"

namespace coltsfootvane::fleet {
namespace {

/// No valid datagram has longer strings or lists.
constexpr detail::DecodeLimits kDatagramLimits{1400, 512};
constexpr detail::DecodeLimits kSnapshotLimits{1400, 20'000};
constexpr detail::DecodeLimits kDeparturesLimits{
    1400, static_cast<int>(kMaxDepartures)};

}  // namespace

std::string Encode(const gen::Datagram& datagram) {
  return detail::EncodeCompact(datagram);
}

Result<gen::Datagram> Decode(std::string_view bytes) {
  return detail::DecodeCompact<gen::Datagram>(bytes.data(), bytes.size(),
                                              kDatagramLimits);
}

Result<gen::Datagram> DecodeSnapshot(std::string_view bytes) {
  return detail::DecodeCompact<gen::Datagram>(bytes.data(), bytes.size(),
                                              kSnapshotLimits);
}

std::string Encode(const gen::Departures& departures) {
  return detail::EncodeCompact(departures);
}

Result<gen::Departures> DecodeDepartures(std::string_view bytes) {
  return detail::DecodeCompact<gen::Departures>(bytes.data(), bytes.size(),
                                                kDeparturesLimits);
}

std::vector<std::uint32_t> AddressesFromWire(
    const std::vector<std::int32_t>& wire) {
  return {wire.begin(), wire.end()};
}

}  // namespace coltsfootvane::fleet
