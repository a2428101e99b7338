#ifndef COLTSFOOTVANE_FLEET_CONFIG_FRAMES_H_
#define COLTSFOOTVANE_FLEET_CONFIG_FRAMES_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"
#include "fleet/gen/fleet_types.h"
#include "store/place.h"

namespace coltsfootvane::fleet {

/// Bytes of the items of a part, from which on the next one begins: so few that
/// a small VM handles a part within some ms.
inline constexpr std::size_t kPartBytes = 16UL * 1024;

/// Returns a part as it is sent: its length, and the compressed message.
std::string EncodeFrame(const gen::ConfigPart& part);

/// Splits the first frame off a sequence of frames. Errors: kInvalid if it is
/// not whole.
Result<std::string_view> TakeFrame(std::string_view* bytes);

/// Errors: kInvalid if the frame is damaged.
Result<gen::ConfigPart> DecodeFrame(std::string_view frame);

store::Place PlaceOf(const gen::ConfigPart& part);
/// Returns an unknown place if the part is of a whole configuration.
store::Place BaseOf(const gen::ConfigPart& part);
void SetPlaces(const store::Place& place,
               const store::Place& base,
               gen::ConfigPart* part);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_CONFIG_FRAMES_H_
