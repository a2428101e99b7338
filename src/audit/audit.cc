#include "audit/audit.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <nlohmann/json.hpp>
#include <tuple>
#include <utility>

#include "objectapi/object.h"

namespace coltsfootvane {
namespace {

AuditEntry EntryFromJson(const nlohmann::json& json) {
  AuditEntry entry;
  entry.id = json.at("id").get<std::string>();
  entry.time = json.at("time").get<std::string>();
  entry.actor = json.at("actor").get<std::string>();
  entry.action = json.at("action").get<std::string>();
  entry.object = json.at("object").get<std::string>();
  entry.from_version = json.at("from_version").get<std::int64_t>();
  entry.to_version = json.at("to_version").get<std::int64_t>();
  entry.detail = json.at("detail").get<std::string>();
  return entry;
}

/// A malformed entry stays visible in the trail.
AuditEntry EntryFromObject(const objectapi::Object& object) {
  Result<AuditEntry> entry = ParseAuditEntry(object.spec);
  if (entry)
    return std::move(entry).value();
  AuditEntry malformed;
  malformed.id = object.name;
  malformed.action = "malformed";
  malformed.detail = entry.error().message;
  return malformed;
}

}  // namespace

std::string FormatAuditEntry(const AuditEntry& entry) {
  const nlohmann::json json = {{"id", entry.id},
                               {"time", entry.time},
                               {"actor", entry.actor},
                               {"action", entry.action},
                               {"object", entry.object},
                               {"from_version", entry.from_version},
                               {"to_version", entry.to_version},
                               {"detail", entry.detail}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<AuditEntry> ParseAuditEntry(std::string_view json) {
  try {
    return EntryFromJson(nlohmann::json::parse(json));
  } catch (const nlohmann::json::exception& error) {
    return Error{ErrorCode::kInvalid,
                 std::string("malformed audit entry: ") + error.what()};
  }
}

std::string CurrentTimeIso() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto ms = std::chrono::duration_cast<Milliseconds>(since_epoch).count();
  const auto seconds = static_cast<std::time_t>(ms / 1000);
  std::tm utc{};
  ::gmtime_r(&seconds, &utc);
  char date[32];
  std::strftime(date, sizeof(date), "%Y-%m-%dT%H:%M:%S", &utc);
  char text[48];
  std::snprintf(text, sizeof(text), "%s.%03dZ", date,
                static_cast<int>(ms % 1000));
  return text;
}

Result<bool> AppendAudit(const objectapi::Connection& connection,
                         const AuditEntry& entry,
                         TimePoint deadline) {
  const objectapi::Object object{objectapi::kAuditKind, entry.id, 0,
                                 FormatAuditEntry(entry)};
  const Result<objectapi::Object> created =
      objectapi::CreateObject(connection, object, deadline);
  if (created || created.error().code == ErrorCode::kConflict)
    return true;
  return created.error();
}

Result<std::vector<AuditEntry>> ReadAudit(
    const objectapi::Connection& connection,
    TimePoint deadline) {
  const Result<objectapi::ObjectList> list =
      objectapi::ListObjects(connection, objectapi::kAuditKind, deadline);
  if (!list)
    return list.error();
  std::vector<AuditEntry> entries;
  for (const objectapi::Object& object : list.value().items)
    entries.push_back(EntryFromObject(object));
  std::sort(entries.begin(), entries.end(),
            [](const AuditEntry& left, const AuditEntry& right) {
              return std::tie(left.time, left.to_version, left.id) <
                     std::tie(right.time, right.to_version, right.id);
            });
  return entries;
}

}  // namespace coltsfootvane
