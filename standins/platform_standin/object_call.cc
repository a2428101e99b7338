#include "standins/platform_standin/object_call.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>

#include "base/name_text.h"

namespace coltsfootvane::standin {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kPrefix = "/apis/coltsfootvane/v1/";

Error Malformed(const char* message) {
  return {ErrorCode::kInvalid, message};
}

std::int64_t ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

/// Decodes a part of the target. Clears `legal` if that is not possible.
std::string Decoded(std::string_view text, bool* legal) {
  Result<std::string> decoded = PercentDecode(text);
  *legal = *legal && decoded.has_value();
  return decoded ? std::move(decoded).value() : std::string();
}

/// Returns the value of `name` in a query, or an empty view.
std::string_view FindParameter(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const std::size_t equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == name)
      return pair.substr(equals + 1);
  }
  return {};
}

std::int64_t ReadVersion(const Json& parent) {
  const auto found = parent.find("resourceVersion");
  if (found == parent.end())
    return 0;
  if (found->is_number_integer())
    return found->get<std::int64_t>();
  return found->is_string() ? ParseNumber(found->get<std::string>()) : 0;
}

bool ReadWrittenObject(const std::string& body, objectapi::Object* object) {
  const Json value = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object() || !value.contains("spec") ||
      !value.contains("metadata") || !value["metadata"].is_object())
    return false;
  const Json& metadata = value["metadata"];
  const auto name = metadata.find("name");
  if (name == metadata.end() || !name->is_string())
    return false;
  // The name in the path of an update has to agree with the one in its body.
  if (!object->name.empty() && object->name != name->get<std::string>())
    return false;
  object->name = name->get<std::string>();
  object->resource_version = ReadVersion(metadata);
  object->spec = value["spec"].dump();
  return !object->name.empty();
}

bool ReadPrecondition(const std::string& body, objectapi::Object* object) {
  const Json value = Json::parse(body, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object() || !value.contains("preconditions") ||
      !value["preconditions"].is_object())
    return false;
  object->resource_version = ReadVersion(value["preconditions"]);
  return true;
}

/// Returns false if the method does not fit the path.
bool ReadVerb(const http::Request& request, bool has_name, Verb* verb) {
  if (request.method == "GET" && has_name)
    *verb = Verb::kGet;
  else if (request.method == "GET")
    *verb = FindParameter(request.query, "watch") == "1" ? Verb::kWatch
                                                         : Verb::kList;
  else if (request.method == "POST" && !has_name)
    *verb = Verb::kCreate;
  else if (request.method == "PUT" && has_name)
    *verb = Verb::kUpdate;
  else if (request.method == "DELETE" && has_name)
    *verb = Verb::kDelete;
  else
    return false;
  return true;
}

const char* ChangeTypeName(objectapi::ChangeType type) {
  switch (type) {
    case objectapi::ChangeType::kAdded:
      return "ADDED";
    case objectapi::ChangeType::kModified:
      return "MODIFIED";
    case objectapi::ChangeType::kDeleted:
      return "DELETED";
  }
  return "";
}

int StatusOf(ErrorCode code) {
  switch (code) {
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kConflict:
      return 409;
    case ErrorCode::kGone:
      return 410;
    case ErrorCode::kRateLimited:
      return 429;
    case ErrorCode::kInvalid:
      return 400;
    default:
      return 503;
  }
}

}  // namespace

Result<ObjectCall> ParseObjectCall(const http::Request& request) {
  std::string_view path = request.path;
  const bool has_query = !request.query.empty();
  bool legal =
      IsRequestTarget(path) && (!has_query || IsRequestTarget(request.query));
  if (path.substr(0, kPrefix.size()) != kPrefix)
    return Error{ErrorCode::kNotFound, "no such path"};
  path.remove_prefix(kPrefix.size());
  const std::size_t slash = path.find('/');
  ObjectCall call;
  call.object.kind = Decoded(path.substr(0, slash), &legal);
  if (slash != std::string_view::npos)
    call.object.name = Decoded(path.substr(slash + 1), &legal);
  if (call.object.kind.empty() ||
      !ReadVerb(request, !call.object.name.empty(), &call.verb))
    return Malformed("method does not fit the path");
  if (call.verb == Verb::kWatch) {
    call.object.resource_version =
        ParseNumber(FindParameter(request.query, "resourceVersion"));
    call.watch_time = std::chrono::seconds{
        ParseNumber(FindParameter(request.query, "timeoutSeconds"))};
  }
  if (call.verb == Verb::kList) {
    call.limit = static_cast<std::size_t>(std::max<std::int64_t>(
        0, ParseNumber(FindParameter(request.query, "limit"))));
    call.continue_token =
        Decoded(FindParameter(request.query, "continue"), &legal);
  }
  if (!legal)
    return Malformed("illegal target");
  const bool has_body =
      call.verb == Verb::kCreate || call.verb == Verb::kUpdate;
  if (has_body && !ReadWrittenObject(request.body, &call.object))
    return Malformed("malformed object");
  if (call.verb == Verb::kDelete &&
      !ReadPrecondition(request.body, &call.object))
    return Malformed("delete needs a precondition");
  return call;
}

const char* VerbName(Verb verb) {
  switch (verb) {
    case Verb::kGet:
      return "get";
    case Verb::kList:
      return "list";
    case Verb::kWatch:
      return "watch";
    case Verb::kCreate:
      return "create";
    case Verb::kUpdate:
      return "update";
    case Verb::kDelete:
      return "delete";
  }
  return "";
}

bool IsWrite(Verb verb) {
  return verb == Verb::kCreate || verb == Verb::kUpdate ||
         verb == Verb::kDelete;
}

void TakePage(const ObjectCall& call, objectapi::ObjectList* list) {
  std::vector<objectapi::Object>& items = list->items;
  const auto first = std::find_if(items.begin(), items.end(),
                                  [&call](const objectapi::Object& object) {
                                    return object.name > call.continue_token;
                                  });
  items.erase(items.begin(), first);
  if (call.limit == 0 || items.size() <= call.limit)
    return;
  items.resize(call.limit);
  list->continue_token = items.back().name;
}

std::string FormatStoredObject(const objectapi::Object& object) {
  // The spec is JSON as it was parsed, so it is not parsed once more.
  return R"({"metadata":{"name":)" + Json(object.name).dump() +
         R"(,"resourceVersion":")" + std::to_string(object.resource_version) +
         R"("},"spec":)" + object.spec + "}";
}

std::string FormatStoredList(const objectapi::ObjectList& list) {
  std::string text = R"({"metadata":{"resourceVersion":")" +
                     std::to_string(list.resource_version) +
                     R"(","continue":)" + Json(list.continue_token).dump() +
                     R"(},"items":[)";
  const char* separator = "";
  for (const objectapi::Object& object : list.items) {
    text += separator + FormatStoredObject(object);
    separator = ",";
  }
  return text + "]}";
}

std::string FormatWatchLines(const std::vector<objectapi::Change>& changes) {
  std::string lines;
  for (const objectapi::Change& change : changes) {
    lines += R"({"type":")";
    lines += ChangeTypeName(change.type);
    lines += R"(","object":)" + FormatStoredObject(change.object) + "}\n";
  }
  return lines;
}

http::Response JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

http::Response ErrorResponse(const Error& error) {
  const int status = StatusOf(error.code);
  const Json body = {
      {"kind", "Status"}, {"code", status}, {"message", error.message}};
  http::Response response = JsonResponse(status, body.dump());
  if (status == 429 || status == 503)
    response.headers.push_back({"Retry-After", "1"});
  return response;
}

}  // namespace coltsfootvane::standin
