#include "config/part.h"

#include <nlohmann/json.hpp>

namespace coltsfootvane {

Result<std::string> FormatPart(std::string_view text) {
  try {
    return nlohmann::json{{"text", text}}.dump();
  } catch (const nlohmann::json::exception&) {
    return Error{ErrorCode::kInvalid, "the text is not UTF-8"};
  }
}

Result<std::string> ParsePart(std::string_view json) {
  const nlohmann::json part = nlohmann::json::parse(json, nullptr, false);
  if (!part.is_object() || !part.contains("text") || !part["text"].is_string())
    return Error{ErrorCode::kInvalid, "a configuration part has no text"};
  return part["text"].get<std::string>();
}

}  // namespace coltsfootvane
