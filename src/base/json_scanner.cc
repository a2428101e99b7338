#include "base/json_scanner.h"

namespace coltsfootvane {
namespace {

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/// Skips an object or array. Brackets within strings do not count.
bool SkipNested(JsonScanner* scanner) {
  std::size_t depth = 0;
  while (!scanner->AtEnd()) {
    const char c = scanner->Peek();
    if (c == '"') {
      if (!SkipString(scanner))
        return false;
      continue;
    }
    ++scanner->position;
    if (c == '{' || c == '[')
      ++depth;
    else if (c == '}' || c == ']')
      --depth;
    if (depth == 0)
      return true;
  }
  return false;
}

bool SkipScalar(JsonScanner* scanner) {
  constexpr std::string_view kEnds = ",]}";
  const std::size_t start = scanner->position;
  while (!scanner->AtEnd() && !IsSpace(scanner->Peek()) &&
         kEnds.find(scanner->Peek()) == std::string_view::npos)
    ++scanner->position;
  return scanner->position > start;
}

/// Returns whether the quotation mark at `position` belongs to the string.
bool IsEscaped(std::string_view text, std::size_t position) {
  std::size_t backslashes = 0;
  while (position > backslashes && text[position - backslashes - 1] == '\\')
    ++backslashes;
  return backslashes % 2 == 1;
}

}  // namespace

void SkipSpace(JsonScanner* scanner) {
  while (!scanner->AtEnd() && IsSpace(scanner->Peek()))
    ++scanner->position;
}

bool Skip(JsonScanner* scanner, char expected) {
  SkipSpace(scanner);
  if (scanner->Peek() != expected || scanner->AtEnd())
    return false;
  ++scanner->position;
  return true;
}

bool SkipString(JsonScanner* scanner) {
  if (!Skip(scanner, '"'))
    return false;
  const std::size_t start = scanner->position;
  const std::string_view text = scanner->text;
  std::size_t end = text.find('"', start);
  while (end != std::string_view::npos &&
         IsEscaped(text.substr(start), end - start))
    end = text.find('"', end + 1);
  scanner->position = end == std::string_view::npos ? text.size() : end + 1;
  return end != std::string_view::npos;
}

std::optional<std::string_view> TakeValue(JsonScanner* scanner) {
  SkipSpace(scanner);
  const std::size_t start = scanner->position;
  const char first = scanner->Peek();
  bool found = false;
  if (first == '"')
    found = SkipString(scanner);
  else if (first == '{' || first == '[')
    found = SkipNested(scanner);
  else
    found = SkipScalar(scanner);
  if (!found)
    return std::nullopt;
  return scanner->text.substr(start, scanner->position - start);
}

std::string_view FindMember(std::string_view object, std::string_view name) {
  JsonScanner scanner{object};
  if (!Skip(&scanner, '{'))
    return {};
  do {
    const auto key = TakeValue(&scanner);
    if (!key || !Skip(&scanner, ':'))
      return {};
    const auto value = TakeValue(&scanner);
    if (!value)
      return {};
    if (key->size() == name.size() + 2 && key->substr(1, name.size()) == name)
      return *value;
  } while (Skip(&scanner, ','));
  return {};
}

}  // namespace coltsfootvane
