#ifndef COLTSFOOTVANE_CONFIG_PART_H_
#define COLTSFOOTVANE_CONFIG_PART_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "base/result.h"

namespace coltsfootvane {

/// Limit of the spec of one part. The platform accepts objects up to 1 MB, of
/// which the metadata take some.
inline constexpr std::size_t kMaxPartBytes = 999 * 1000;

/// Formats the spec of the platform object `configparts/<digest>`:
/// `{"text": ...}`. Errors: kInvalid if `text` is not UTF-8.
Result<std::string> FormatPart(std::string_view text);

/// Returns the text of a part. Errors: kInvalid.
Result<std::string> ParsePart(std::string_view json);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_PART_H_
