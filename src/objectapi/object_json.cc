#include "objectapi/object_json.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/json_text.h"
#include "base/name_text.h"
#include "log/decision_log.h"
#include "objectapi/events.h"

namespace coltsfootvane::objectapi {
namespace {

using Json = nlohmann::json;

Json ParseJson(std::string_view text) {
  return Json::parse(text, nullptr, /*allow_exceptions=*/false);
}

/// Returns the member `name` of `parent`, or null.
const Json* FindMember(const Json& parent, const char* name) {
  if (!parent.is_object())
    return nullptr;
  const auto found = parent.find(name);
  return found == parent.end() ? nullptr : &*found;
}

bool ReadVersion(const Json& metadata, std::int64_t* version) {
  const Json* const value = FindMember(metadata, "resourceVersion");
  if (value == nullptr)
    return false;
  if (value->is_number_integer()) {
    *version = value->get<std::int64_t>();
    return true;
  }
  if (!value->is_string())
    return false;
  const auto& text = value->get_ref<const std::string&>();
  const char* const end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, *version);
  return error == std::errc() && stop == end;
}

std::string DumpLossless(const Json& value) {
  // ParseJson() has refused text that is not UTF-8, so nothing is replaced.
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// Returns the spec as it is handed to the readers of its kind. One that cannot
/// be read is null, so that they refuse it and the other objects hold.
std::string ReadSpec(const Object& object, std::string_view text) {
  const Result<Json> spec = ParseUntrustedJson(text);
  if (spec)
    return DumpLossless(spec.assume_value());
  LogEvent(kObjectUnreadable, "kind=" + object.kind +
                                  " name=" + Printable(object.name) +
                                  " reason=\"" + spec.error().message + "\"");
  return "null";
}

bool ReadObjectValue(std::string_view kind,
                     std::string_view text,
                     Object* object) {
  const Result<JsonMembers> members = SplitJsonObject(text);
  if (!members)
    return false;
  const Result<Json> metadata =
      ParseUntrustedJson(FindJsonMember(members.assume_value(), "metadata"));
  const std::string_view spec = FindJsonMember(members.assume_value(), "spec");
  if (!metadata || spec.empty())
    return false;
  const Json* const name = FindMember(metadata.assume_value(), "name");
  if (name == nullptr || !name->is_string() ||
      !ReadVersion(metadata.assume_value(), &object->resource_version))
    return false;
  object->kind = std::string(kind);
  object->name = name->get<std::string>();
  object->spec = ReadSpec(*object, spec);
  return true;
}

bool ReadChangeType(const Json& value, ChangeType* type) {
  if (value == "ADDED")
    *type = ChangeType::kAdded;
  else if (value == "MODIFIED")
    *type = ChangeType::kModified;
  else if (value == "DELETED")
    *type = ChangeType::kDeleted;
  else
    return false;
  return true;
}

/// Returns the value of a member, or null if it is missing or unreadable.
Json MemberValue(const JsonMembers& members, std::string_view name) {
  const Result<Json> value = ParseUntrustedJson(FindJsonMember(members, name));
  return value ? value.assume_value() : Json();
}

bool IsGone(const JsonMembers& line) {
  if (MemberValue(line, "type") != "ERROR")
    return false;
  const Json status = MemberValue(line, "object");
  const Json* const code = FindMember(status, "code");
  return code != nullptr && *code == 410;
}

}  // namespace

Result<std::string> FormatObject(const Object& object) {
  Json spec = ParseJson(object.spec);
  if (spec.is_discarded())
    return Error{ErrorCode::kInvalid, "spec is not JSON"};
  Json metadata = {{"name", object.name}};
  if (object.resource_version != 0)
    metadata["resourceVersion"] = std::to_string(object.resource_version);
  const Json value = {{"metadata", std::move(metadata)},
                      {"spec", std::move(spec)}};
  return DumpLossless(value);
}

Result<Object> ParseObject(std::string_view kind, std::string_view json) {
  Object object;
  if (!ReadObjectValue(kind, json, &object))
    return Error{ErrorCode::kInvalid, "malformed object"};
  return object;
}

Result<ObjectList> ParseObjectList(std::string_view kind,
                                   std::string_view json) {
  const Error malformed{ErrorCode::kInvalid, "malformed list"};
  const Result<JsonMembers> members = SplitJsonObject(json);
  if (!members)
    return malformed;
  const Json metadata = MemberValue(members.assume_value(), "metadata");
  const auto items =
      SplitJsonArray(FindJsonMember(members.assume_value(), "items"));
  ObjectList list;
  if (!items || !ReadVersion(metadata, &list.resource_version))
    return malformed;
  const Json* const token = FindMember(metadata, "continue");
  if (token != nullptr && token->is_string())
    list.continue_token = token->get<std::string>();
  for (const std::string_view item : items.assume_value()) {
    Object object;
    if (!ReadObjectValue(kind, item, &object))
      return malformed;
    list.items.push_back(std::move(object));
  }
  return list;
}

Result<Change> ParseWatchLine(std::string_view kind, std::string_view line) {
  const Error malformed{ErrorCode::kInvalid, "malformed watch line"};
  const Result<JsonMembers> members = SplitJsonObject(line);
  if (!members)
    return malformed;
  if (IsGone(members.assume_value()))
    return Error{ErrorCode::kGone, "version is too old"};
  Change change;
  const std::string_view object =
      FindJsonMember(members.assume_value(), "object");
  if (!ReadChangeType(MemberValue(members.assume_value(), "type"),
                      &change.type) ||
      !ReadObjectValue(kind, object, &change.object))
    return malformed;
  return change;
}

std::string FormatPrecondition(std::int64_t resource_version) {
  const Json value = {
      {"preconditions",
       {{"resourceVersion", std::to_string(resource_version)}}}};
  return value.dump();
}

}  // namespace coltsfootvane::objectapi
