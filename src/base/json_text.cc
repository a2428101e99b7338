#include "base/json_text.h"

#include <algorithm>
#include <utility>

#include "base/json_scanner.h"

namespace coltsfootvane {
namespace {

using Json = nlohmann::json;

/// Copies and comparisons of a parsed value take stack for each level.
constexpr int kMaxDepth = 32;

/// Id of nlohmann's exception for a number that no double holds.
constexpr int kNumberOutOfRange = 406;

std::optional<JsonMember> TakeMember(JsonScanner* scanner) {
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
  JsonScanner scanner{text};
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
  JsonScanner scanner{text};
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
  JsonScanner scanner{text};
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
