#include "entry/completion_body.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "base/digest.h"
#include "entry/route.h"

namespace coltsfootvane {
namespace {

using Json = nlohmann::ordered_json;

Error InvalidBody(std::string message) {
  return {ErrorCode::kInvalid, std::move(message)};
}

Result<Json> ParseJson(std::string_view text) {
  bool too_deep = false;
  const auto limit_depth = [&too_deep](int depth, Json::parse_event_t, Json&) {
    too_deep = too_deep || depth > kMaxJsonDepth;
    return !too_deep;
  };
  try {
    Json body = Json::parse(text, limit_depth);
    if (too_deep)
      return InvalidBody("the body is nested too deeply");
    return body;
  } catch (const Json::exception& error) {
    return InvalidBody(std::string("the body is not JSON: ") + error.what());
  }
}

/// Validates the members that the entry listener uses. Returns a description of
/// the first invalid one, or nothing.
std::optional<std::string> FindBodyProblem(const Json& body, bool chat) {
  if (!body.is_object())
    return "the body is not a JSON object";
  if (!body.contains("model"))
    return "`model` is missing";
  if (!body["model"].is_string())
    return "`model` is not a string";
  if (body.contains("stream") && !body["stream"].is_boolean())
    return "`stream` is not a boolean";
  const bool has_seed = body.contains("seed") && !body["seed"].is_null();
  if (has_seed && !body["seed"].is_number_integer())
    return "`seed` is not an integer";
  if (!chat) {
    const bool valid = body.contains("prompt") && (body["prompt"].is_string() ||
                                                   body["prompt"].is_array());
    return valid ? std::nullopt
                 : std::optional<std::string>(
                       "`prompt` is missing or neither string nor array");
  }
  if (!body.contains("messages") || !body["messages"].is_array())
    return "`messages` is missing or not an array";
  if (body["messages"].empty())
    return "`messages` is empty";
  return std::nullopt;
}

/// Appends the strings and integers in `value` to `prefix`, depth first, until
/// it has at least kPrefixBytes.
void AppendPromptText(const Json& value, std::string* prefix) {
  if (prefix->size() >= kPrefixBytes)
    return;
  if (value.is_string())
    prefix->append(value.get_ref<const std::string&>(), 0, kPrefixBytes);
  else if (value.is_number_integer())
    prefix->append(value.dump()).append(1, ' ');
  if (!value.is_structured())
    return;
  for (const Json& member : value)
    AppendPromptText(member, prefix);
}

std::uint64_t HashPrefix(const Json& prompt) {
  std::string prefix;
  AppendPromptText(prompt, &prefix);
  prefix.resize(std::min(prefix.size(), kPrefixBytes));
  const std::uint64_t hash = Hash64(prefix);
  return hash == 0 ? 1 : hash;
}

}  // namespace

Result<CompletionBody> ParseCompletionBody(std::string_view text,
                                           bool chat,
                                           Priority priority,
                                           std::int64_t new_seed) {
  Result<Json> parsed = ParseJson(text);
  if (!parsed)
    return parsed.error();
  Json& body = parsed.value();
  const std::optional<std::string> problem = FindBodyProblem(body, chat);
  if (problem)
    return InvalidBody(*problem);
  CompletionBody result;
  result.item = body["model"].get<std::string>();
  result.streamed = body.value("stream", false);
  result.has_seed = body.contains("seed") && !body["seed"].is_null();
  if (!result.has_seed)
    body["seed"] = new_seed;
  result.seed = body["seed"].get<std::int64_t>();
  result.prefix_hash = HashPrefix(body[chat ? "messages" : "prompt"]);
  body["priority"] = static_cast<int>(priority);
  result.text = body.dump();
  return result;
}

}  // namespace coltsfootvane
