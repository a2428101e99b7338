#include "idempotency/record.h"

#include <array>
#include <boost/algorithm/hex.hpp>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

#include "base/digest.h"

namespace coltsfootvane {
namespace {

using nlohmann::json;

constexpr std::array<RecordState, 4> kAllStates = {
    RecordState::kReserved, RecordState::kSending, RecordState::kDone,
    RecordState::kNotRun};

std::optional<RecordState> ParseState(std::string_view name) {
  for (const RecordState state : kAllStates) {
    if (RecordStateName(state) == name)
      return state;
  }
  return std::nullopt;
}

std::string ToHex(std::string_view data) {
  std::string text;
  boost::algorithm::hex_lower(data.begin(), data.end(),
                              std::back_inserter(text));
  return text;
}

std::string FromHex(const std::string& text) {
  std::string data;
  boost::algorithm::unhex(text.begin(), text.end(), std::back_inserter(data));
  return data;
}

std::string ReadBody(const json& spec) {
  if (spec.contains("body_hex"))
    return FromHex(spec.at("body_hex").get<std::string>());
  return spec.value("body", std::string());
}

}  // namespace

std::string_view RecordStateName(RecordState state) {
  switch (state) {
    case RecordState::kReserved:
      return "reserved";
    case RecordState::kSending:
      return "sending";
    case RecordState::kDone:
      return "done";
    case RecordState::kNotRun:
      return "not_run";
  }
  return "";
}

std::string FormatRecord(const Record& record) {
  json spec = {{"state", RecordStateName(record.state)},
               {"attempt", record.attempt},
               {"body_digest", record.body_digest},
               {"target_digest", record.target_digest},
               {"time_ms", record.time_ms}};
  if (record.state != RecordState::kDone)
    return spec.dump();
  spec["status"] = record.status;
  spec["content_type"] = record.content_type;
  spec["body_stored"] = record.body_stored;
  spec["body"] = record.body;
  try {
    return spec.dump();
  } catch (const json::exception&) {
    spec.erase("body");
    spec["body_hex"] = ToHex(record.body);
  }
  return spec.dump(-1, ' ', false, json::error_handler_t::replace);
}

Result<Record> ParseRecord(std::string_view text) {
  try {
    const json spec = json::parse(text);
    const std::optional<RecordState> state =
        ParseState(spec.at("state").get<std::string>());
    if (!state)
      return Error{ErrorCode::kInvalid, "unknown record state"};
    Record record;
    record.state = *state;
    record.attempt = spec.at("attempt").get<std::string>();
    record.body_digest = spec.at("body_digest").get<std::string>();
    record.target_digest = spec.value("target_digest", std::string());
    record.time_ms = spec.value("time_ms", std::int64_t{0});
    if (record.state != RecordState::kDone)
      return record;
    record.status = spec.at("status").get<int>();
    record.content_type = spec.value("content_type", std::string());
    record.body_stored = spec.at("body_stored").get<bool>();
    record.body = ReadBody(spec);
    return record;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

std::string RecordName(std::string_view caller,
                       std::string_view path,
                       std::string_view key) {
  // The length prefixes make the text unambiguous for each triple.
  std::string text =
      std::to_string(caller.size()) + ' ' + std::to_string(path.size()) + ' ';
  text.append(caller).append(path).append(key);
  return DigestHex(text);
}

std::string TargetDigest(std::string_view method, std::string_view query) {
  // A method contains no space, so that the text is unambiguous.
  return DigestHex(std::string(method).append(" ").append(query));
}

Record MakeDone(const Record& record,
                int status,
                std::string_view content_type,
                std::string_view body) {
  Record done = record;
  done.state = RecordState::kDone;
  done.status = status;
  done.content_type = content_type;
  done.body_stored = body.size() <= kMaxStoredBodyBytes;
  done.body = done.body_stored ? std::string(body) : std::string();
  return done;
}

}  // namespace coltsfootvane
