#include "base/json_text.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane {
namespace {

using Json = nlohmann::json;

/// Copies and comparisons of a parsed value take stack for each level.
constexpr int kMaxDepth = 32;

/// Id of nlohmann's exception for a number that no double holds.
constexpr int kNumberOutOfRange = 406;

bool IsSpace(char c) {
  return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

/// A position in JSON text that moves from value to value.
struct Scanner {
  std::string_view text;
  std::size_t position = 0;

  bool AtEnd() const { return this->position >= this->text.size(); }
  char Peek() const {
    return this->AtEnd() ? '\0' : this->text[this->position];
  }
};

void SkipSpace(Scanner* scanner) {
  while (!scanner->AtEnd() && IsSpace(scanner->Peek()))
    ++scanner->position;
}

/// Skips the character if it comes next.
bool Skip(Scanner* scanner, char expected) {
  SkipSpace(scanner);
  if (scanner->Peek() != expected)
    return false;
  ++scanner->position;
  return true;
}

/// Skips a string, from its opening to its closing quotation mark.
bool SkipString(Scanner* scanner) {
  if (!Skip(scanner, '"'))
    return false;
  while (!scanner->AtEnd()) {
    const char c = scanner->Peek();
    scanner->position += c == '\\' ? 2 : 1;
    if (c == '"')
      return true;
  }
  return false;
}

/// Skips an object or array. Brackets within strings do not count.
bool SkipNested(Scanner* scanner) {
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

bool SkipScalar(Scanner* scanner) {
  constexpr std::string_view kEnds = ",]}";
  const std::size_t start = scanner->position;
  while (!scanner->AtEnd() && !IsSpace(scanner->Peek()) &&
         kEnds.find(scanner->Peek()) == std::string_view::npos)
    ++scanner->position;
  return scanner->position > start;
}

/// Returns the text of the next value.
std::optional<std::string_view> TakeValue(Scanner* scanner) {
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

std::optional<JsonMember> TakeMember(Scanner* scanner) {
  SkipSpace(scanner);
  const std::size_t start = scanner->position;
  if (!SkipString(scanner))
    return std::nullopt;
  const Json name = Json::parse(
      scanner->text.substr(start, scanner->position - start), nullptr, false);
  if (!name.is_string() || !Skip(scanner, ':'))
    return std::nullopt;
  const auto value = TakeValue(scanner);
  if (!value)
    return std::nullopt;
  return JsonMember{name.get<std::string>(), *value};
}

int DepthOf(std::string_view text) {
  Scanner scanner{text};
  int depth = 0;
  int deepest = 0;
  while (!scanner.AtEnd()) {
    const char c = scanner.Peek();
    if (c == '"') {
      if (!SkipString(&scanner))
        break;
      continue;
    }
    ++scanner.position;
    if (c == '{' || c == '[')
      deepest = std::max(deepest, ++depth);
    else if (c == '}' || c == ']')
      --depth;
  }
  return deepest;
}

}  // namespace

Result<JsonMembers> SplitJsonObject(std::string_view text) {
  const Error invalid{ErrorCode::kInvalid, "not a JSON object"};
  Scanner scanner{text};
  JsonMembers members;
  if (!Skip(&scanner, '{'))
    return invalid;
  if (Skip(&scanner, '}'))
    return members;
  do {
    auto member = TakeMember(&scanner);
    if (!member)
      return invalid;
    members.push_back(std::move(*member));
  } while (Skip(&scanner, ','));
  if (!Skip(&scanner, '}'))
    return invalid;
  return members;
}

Result<std::vector<std::string_view>> SplitJsonArray(std::string_view text) {
  const Error invalid{ErrorCode::kInvalid, "not a JSON array"};
  Scanner scanner{text};
  std::vector<std::string_view> elements;
  if (!Skip(&scanner, '['))
    return invalid;
  if (Skip(&scanner, ']'))
    return elements;
  do {
    const auto element = TakeValue(&scanner);
    if (!element)
      return invalid;
    elements.push_back(*element);
  } while (Skip(&scanner, ','));
  if (!Skip(&scanner, ']'))
    return invalid;
  return elements;
}

std::string_view FindJsonMember(const JsonMembers& members,
                                std::string_view name) {
  std::string_view value;
  for (const JsonMember& member : members) {
    if (member.name == name)
      value = member.value;
  }
  return value;
}

Result<Json> ParseUntrustedJson(std::string_view text) {
  if (DepthOf(text) > kMaxDepth)
    return Error{ErrorCode::kInvalid, "nested too deeply"};
  try {
    return Json::parse(text);
  } catch (const Json::exception& error) {
    return Error{ErrorCode::kInvalid, error.id == kNumberOutOfRange
                                          ? "a number is out of range"
                                          : "not JSON"};
  }
}

}  // namespace coltsfootvane
