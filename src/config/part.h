#ifndef COLTSFOOTVANE_CONFIG_PART_H_
#define COLTSFOOTVANE_CONFIG_PART_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"

namespace coltsfootvane {

/// Limit of one part, as text and as the spec of its platform object. The
/// platform accepts values up to 1 MB.
inline constexpr std::size_t kMaxPartBytes = 1000 * 1000;

/// Formats the spec of the platform object `configparts/<digest>`:
/// `{"text": ...}`. Errors: kInvalid if `text` is not UTF-8.
Result<std::string> FormatPart(std::string_view text);

/// Returns the text of a part. Errors: kInvalid.
Result<std::string> ParsePart(std::string_view json);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_PART_H_
