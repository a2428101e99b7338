#include "objectapi/object_json.h"

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

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

bool ReadObjectValue(std::string_view kind, const Json& value, Object* object) {
  const Json* const metadata = FindMember(value, "metadata");
  const Json* const spec = FindMember(value, "spec");
  if (metadata == nullptr || spec == nullptr)
    return false;
  const Json* const name = FindMember(*metadata, "name");
  if (name == nullptr || !name->is_string())
    return false;
  object->kind = std::string(kind);
  object->name = name->get<std::string>();
  object->spec = DumpLossless(*spec);
  return ReadVersion(*metadata, &object->resource_version);
}

bool ReadChangeType(const Json& line, ChangeType* type) {
  const Json* const value = FindMember(line, "type");
  if (value == nullptr)
    return false;
  if (*value == "ADDED")
    *type = ChangeType::kAdded;
  else if (*value == "MODIFIED")
    *type = ChangeType::kModified;
  else if (*value == "DELETED")
    *type = ChangeType::kDeleted;
  else
    return false;
  return true;
}

bool IsGone(const Json& line) {
  const Json* const type = FindMember(line, "type");
  const Json* const object = FindMember(line, "object");
  if (type == nullptr || object == nullptr || *type != "ERROR")
    return false;
  const Json* const code = FindMember(*object, "code");
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
  if (!ReadObjectValue(kind, ParseJson(json), &object))
    return Error{ErrorCode::kInvalid, "malformed object"};
  return object;
}

Result<ObjectList> ParseObjectList(std::string_view kind,
                                   std::string_view json) {
  const Error malformed{ErrorCode::kInvalid, "malformed list"};
  const Json value = ParseJson(json);
  const Json* const metadata = FindMember(value, "metadata");
  const Json* const items = FindMember(value, "items");
  ObjectList list;
  if (metadata == nullptr || items == nullptr || !items->is_array() ||
      !ReadVersion(*metadata, &list.resource_version))
    return malformed;
  const Json* const token = FindMember(*metadata, "continue");
  if (token != nullptr && token->is_string())
    list.continue_token = token->get<std::string>();
  for (const Json& item : *items) {
    Object object;
    if (!ReadObjectValue(kind, item, &object))
      return malformed;
    list.items.push_back(std::move(object));
  }
  return list;
}

Result<Change> ParseWatchLine(std::string_view kind, std::string_view line) {
  const Json value = ParseJson(line);
  if (IsGone(value))
    return Error{ErrorCode::kGone, "version is too old"};
  Change change;
  const Json* const object = FindMember(value, "object");
  if (object == nullptr || !ReadChangeType(value, &change.type) ||
      !ReadObjectValue(kind, *object, &change.object))
    return Error{ErrorCode::kInvalid, "malformed watch line"};
  return change;
}

std::string FormatPrecondition(std::int64_t resource_version) {
  const Json value = {
      {"preconditions",
       {{"resourceVersion", std::to_string(resource_version)}}}};
  return value.dump();
}

std::string PercentEncode(std::string_view text) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  constexpr std::string_view kUnreserved =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
  std::string encoded;
  for (const char character : text) {
    if (kUnreserved.find(character) != std::string_view::npos) {
      encoded += character;
      continue;
    }
    const auto byte = static_cast<unsigned char>(character);
    encoded += '%';
    encoded += kDigits[byte >> 4U];
    encoded += kDigits[byte & 15U];
  }
  return encoded;
}

}  // namespace coltsfootvane::objectapi
