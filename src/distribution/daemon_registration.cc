#include "distribution/daemon_registration.h"

#include <algorithm>
#include <exception>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>
#include <utility>

#include "base/name_text.h"
#include "distribution/events.h"
#include "log/event.h"
#include "objectapi/retry.h"

namespace coltsfootvane {
namespace {

constexpr objectapi::Backoff kRegistrationBackoff{Milliseconds{100},
                                                  Milliseconds{5000}};
constexpr Milliseconds kCancelInterval{50};

http::Address ReadAddress(const nlohmann::json& json, const char* name) {
  return http::ParseAddress(json.at(name).get<std::string>());
}

bool IsSame(const DaemonRecord& a, const DaemonRecord& b) {
  return FormatDaemonRecord(a) == FormatDaemonRecord(b);
}

/// One attempt after another to store a record.
class Registration {
 public:
  Registration(const objectapi::Connection& connection,
               const DaemonRecord& wanted,
               Milliseconds call_timeout,
               TimePoint deadline)
      : connection(&connection),
        wanted(&wanted),
        call_timeout(call_timeout),
        deadline(deadline) {}

  /// Reads, and writes if that is to be done. Returns false if a read has to
  /// show whether the write took effect.
  Result<bool> Attempt();

 private:
  /// Reads the stored object and record; nothing if there is no object.
  Result<bool> ReadStored();
  Result<bool> Write() const;
  TimePoint CallDeadline() const {
    return std::min(this->deadline, Clock::now() + this->call_timeout);
  }

  const objectapi::Connection* connection;
  const DaemonRecord* wanted;
  Milliseconds call_timeout;
  TimePoint deadline;
  std::optional<std::string> first_seen;
  std::optional<DaemonRecord> stored;
  std::int64_t stored_version = 0;
};

Result<bool> Registration::ReadStored() {
  const Result<objectapi::Object> object =
      objectapi::ReadObject(*this->connection, objectapi::kDaemonKind,
                            this->wanted->daemon_id, this->CallDeadline());
  if (!object && object.error().code != ErrorCode::kNotFound)
    return object.error();
  this->stored.reset();
  this->stored_version = 0;
  if (object) {
    Result<DaemonRecord> record =
        ParseDaemonRecord(this->wanted->daemon_id, object.value().spec);
    // A malformed record is replaced as one without an incarnation.
    this->stored = record ? std::move(record).value() : DaemonRecord();
    this->stored_version = object.value().resource_version;
  }
  if (!this->first_seen)
    this->first_seen = this->stored ? this->stored->incarnation : "";
  return true;
}

Result<bool> Registration::Write() const {
  objectapi::Object object;
  object.kind = objectapi::kDaemonKind;
  object.name = this->wanted->daemon_id;
  object.spec = FormatDaemonRecord(*this->wanted);
  object.resource_version = this->stored_version;
  const Result<objectapi::Object> written =
      this->stored ? objectapi::UpdateObject(*this->connection, object,
                                             this->CallDeadline())
                   : objectapi::CreateObject(*this->connection, object,
                                             this->CallDeadline());
  if (!written)
    return written.error();
  return true;
}

Result<bool> Registration::Attempt() {
  const Result<bool> read = this->ReadStored();
  if (!read)
    return read.error();
  const RegistrationStep step = NextRegistrationStep(
      *this->wanted, this->stored ? &*this->stored : nullptr,
      *this->first_seen);
  if (step == RegistrationStep::kDone)
    return true;
  if (step == RegistrationStep::kReplaced)
    return Error{ErrorCode::kConflict, "a later start has registered"};
  const Result<bool> written = this->Write();
  if (written)
    return true;
  const ErrorCode code = written.error().code;
  // The next read tells who won, or whether the write took effect.
  if (code == ErrorCode::kConflict || code == ErrorCode::kNotFound ||
      code == ErrorCode::kUnknown)
    return false;
  return written.error();
}

/// Returns false if cancelled or past the deadline.
bool WaitForRetry(Milliseconds delay,
                  TimePoint deadline,
                  const std::function<bool()>& cancelled) {
  const TimePoint end = Clock::now() + delay;
  while (Clock::now() < end) {
    if (Clock::now() >= deadline || (cancelled && cancelled()))
      return false;
    std::this_thread::sleep_for(kCancelInterval);
  }
  return Clock::now() < deadline;
}

}  // namespace

std::string FormatDaemonRecord(const DaemonRecord& record) {
  const nlohmann::json json = {{"incarnation", record.incarnation},
                               {"data_centre", record.data_centre},
                               {"entry", http::FormatAddress(record.entry)},
                               {"admin", http::FormatAddress(record.admin)},
                               {"peer", http::FormatAddress(record.peer)},
                               {"state", record.leaving ? "leaving" : "live"}};
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<DaemonRecord> ParseDaemonRecord(std::string_view daemon_id,
                                       std::string_view json) {
  try {
    const nlohmann::json value = nlohmann::json::parse(json);
    DaemonRecord record;
    record.daemon_id = std::string(daemon_id);
    value.at("incarnation").get_to(record.incarnation);
    value.at("data_centre").get_to(record.data_centre);
    record.entry = ReadAddress(value, "entry");
    record.admin = ReadAddress(value, "admin");
    record.peer = ReadAddress(value, "peer");
    record.leaving = value.at("state").get<std::string>() == "leaving";
    if (!record.incarnation.empty() && record.peer.port != 0)
      return record;
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
  return Error{ErrorCode::kInvalid, "no incarnation or no peer address"};
}

RegistrationStep NextRegistrationStep(const DaemonRecord& wanted,
                                      const DaemonRecord* stored,
                                      std::string_view first_seen) {
  if (stored == nullptr)
    return RegistrationStep::kWrite;
  if (IsSame(wanted, *stored))
    return RegistrationStep::kDone;
  if (stored->incarnation == wanted.incarnation)
    return RegistrationStep::kWrite;
  if (wanted.leaving || stored->incarnation != first_seen)
    return RegistrationStep::kReplaced;
  return RegistrationStep::kWrite;
}

Result<bool> WriteDaemonRecord(const objectapi::Connection& connection,
                               const DaemonRecord& record,
                               Milliseconds call_timeout,
                               TimePoint deadline,
                               const std::function<bool()>& cancelled) {
  Registration registration(connection, record, call_timeout, deadline);
  for (int attempt = 1;; ++attempt) {
    const Result<bool> done = registration.Attempt();
    if (done && done.value()) {
      LogEvent(distribution::kDaemonRegistered,
               "daemon=" + Printable(record.daemon_id) +
                   " incarnation=" + record.incarnation +
                   " state=" + (record.leaving ? "leaving" : "live"));
      return true;
    }
    if (!done && done.error().code == ErrorCode::kConflict)
      return done.error();
    const int retry_after_ms = done ? 0 : done.error().retry_after_ms;
    const Milliseconds delay =
        objectapi::BackoffDelay(kRegistrationBackoff, attempt,
                                objectapi::RandomFraction(), retry_after_ms);
    if (!WaitForRetry(delay, deadline, cancelled))
      return done ? Error{ErrorCode::kUnknown, "write is not confirmed"}
                  : done.error();
  }
}

Result<std::vector<DaemonRecord>> ReadDaemonRecords(
    const objectapi::Connection& connection,
    TimePoint deadline) {
  const Result<objectapi::ObjectList> list =
      objectapi::ListObjects(connection, objectapi::kDaemonKind, deadline);
  if (!list)
    return list.error();
  std::vector<DaemonRecord> records;
  for (const objectapi::Object& object : list.value().items) {
    Result<DaemonRecord> record = ParseDaemonRecord(object.name, object.spec);
    if (record)
      records.push_back(std::move(record).value());
    else
      LogEvent(distribution::kDaemonRecordMalformed,
               "daemon=" + Printable(object.name) + " message=\"" +
                   record.error().message + "\"");
  }
  return records;
}

}  // namespace coltsfootvane
