#ifndef COLTSFOOTVANE_BASE_JSON_TEXT_H_
#define COLTSFOOTVANE_BASE_JSON_TEXT_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace coltsfootvane {

// Splits JSON text into values that are parsed one by one, so that one that
// cannot be read does not cost the others. The views point into the text.

struct JsonMember {
  std::string name;
  std::string_view value;
};
using JsonMembers = std::vector<JsonMember>;

/// Returns the members of the object that the text begins with, in their order.
/// Their values need not be valid. Errors: kInvalid if the text is no object.
Result<JsonMembers> SplitJsonObject(std::string_view text);

/// Returns the elements of the array that the text begins with. They need not
/// be valid. Errors: kInvalid if the text is no array.
Result<std::vector<std::string_view>> SplitJsonArray(std::string_view text);

/// Returns the value of the last member of that name, or an empty view.
std::string_view FindJsonMember(const JsonMembers& members,
                                std::string_view name);

/// Parses a value that others have written. Errors: kInvalid if it is no JSON
/// text, is nested more deeply than any object that the daemons read, or has a
/// number that no double holds.
Result<nlohmann::json> ParseUntrustedJson(std::string_view text);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_JSON_TEXT_H_
