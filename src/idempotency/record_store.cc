#include "idempotency/record_store.h"

#include <chrono>

namespace coltsfootvane {
namespace {

objectapi::Object MakeObject(const std::string& name,
                             const Record& record,
                             std::int64_t version) {
  objectapi::Object object;
  object.kind = objectapi::kRecordKind;
  object.name = name;
  object.resource_version = version;
  object.spec = FormatRecord(record);
  return object;
}

StepOutcome FromWrite(const Result<objectapi::Object>& written) {
  StepOutcome outcome;
  if (!written) {
    outcome.event = EventForWriteError(written.error().code);
    return outcome;
  }
  outcome.event = StepEvent::kWritten;
  outcome.version = written.value().resource_version;
  return outcome;
}

StepOutcome FromRead(const Result<objectapi::Object>& object) {
  StepOutcome outcome;
  if (!object) {
    const bool missing = object.error().code == ErrorCode::kNotFound;
    outcome.event = missing ? StepEvent::kMissing : StepEvent::kReadFailed;
    return outcome;
  }
  Result<Record> record = ParseRecord(object.value().spec);
  if (!record) {
    outcome.event = StepEvent::kReadFailed;
    return outcome;
  }
  outcome.event = StepEvent::kRead;
  outcome.version = object.value().resource_version;
  outcome.record = std::move(record.value());
  return outcome;
}

}  // namespace

StepEvent EventForWriteError(ErrorCode error) {
  switch (error) {
    case ErrorCode::kConflict:
      return StepEvent::kConflict;
    case ErrorCode::kNotFound:
      return StepEvent::kMissing;
    case ErrorCode::kNotSent:
    case ErrorCode::kTimeout:
    case ErrorCode::kRateLimited:
      return StepEvent::kNotWritten;
    case ErrorCode::kInvalid:
    case ErrorCode::kGone:
    case ErrorCode::kUnknown:
    case ErrorCode::kRefused:
      // An answer that was not understood does not show whether the write took
      // effect.
      return StepEvent::kLost;
  }
  return StepEvent::kLost;
}

std::int64_t CurrentTimeMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<Milliseconds>(now).count();
}

RecordStore MakeRecordStore(const objectapi::Connection& connection) {
  RecordStore store;
  store.read = [connection](const std::string& name, TimePoint deadline) {
    return FromRead(objectapi::ReadObject(connection, objectapi::kRecordKind,
                                          name, deadline));
  };
  store.create = [connection](const std::string& name, const Record& record,
                              TimePoint deadline) {
    return FromWrite(objectapi::CreateObject(
        connection, MakeObject(name, record, 0), deadline));
  };
  store.update = [connection](const std::string& name, const Record& record,
                              std::int64_t version, TimePoint deadline) {
    return FromWrite(objectapi::UpdateObject(
        connection, MakeObject(name, record, version), deadline));
  };
  return store;
}

}  // namespace coltsfootvane
