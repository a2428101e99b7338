#ifndef COLTSFOOTVANE_BASE_JSON_SCANNER_H_
#define COLTSFOOTVANE_BASE_JSON_SCANNER_H_

#include <cstddef>
#include <optional>
#include <string_view>

namespace coltsfootvane {

/// A position in JSON text that moves from value to value. Values are told
/// apart by their brackets and quotation marks; they need not be valid.
struct JsonScanner {
  std::string_view text;
  std::size_t position = 0;

  bool AtEnd() const { return this->position >= this->text.size(); }
  /// Returns the next character, or NUL at the end.
  char Peek() const {
    return this->AtEnd() ? '\0' : this->text[this->position];
  }
};

void SkipSpace(JsonScanner* scanner);
/// Skips space, and the character if it comes next.
bool Skip(JsonScanner* scanner, char expected);
/// Skips a string, from its opening to its closing quotation mark.
bool SkipString(JsonScanner* scanner);
/// Returns the text of the next value and moves behind it.
std::optional<std::string_view> TakeValue(JsonScanner* scanner);

/// Returns the value of the first member of that name of the object that the
/// text begins with, or an empty view. The name is compared as it is written.
std::string_view FindMember(std::string_view object, std::string_view name);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_JSON_SCANNER_H_
