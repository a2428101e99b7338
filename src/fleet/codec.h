#ifndef COLTSFOOTVANE_FLEET_CODEC_H_
#define COLTSFOOTVANE_FLEET_CODEC_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "fleet/gen/fleet_types.h"

namespace coltsfootvane::fleet {

/// Longer datagrams would be cut into packets of which none may be lost.
inline constexpr std::size_t kMaxDatagram = 1400;

std::string Encode(const gen::Datagram& datagram);
/// Errors: kInvalid.
Result<gen::Datagram> Decode(std::string_view bytes);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_CODEC_H_
