#ifndef COLTSFOOTVANE_IDEMPOTENCY_RECORD_H_
#define COLTSFOOTVANE_IDEMPOTENCY_RECORD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace coltsfootvane {

enum class RecordState { kReserved, kSending, kDone, kNotRun };

/// The stored state of one irreversible call; the spec of a `records` object.
struct Record {
  RecordState state = RecordState::kReserved;
  std::string attempt;      ///< Id of the attempt that wrote the record last.
  std::string body_digest;  ///< DigestHex() of the request's body.
  /// TargetDigest() of the request; empty in records of versions that did not
  /// compare method and query.
  std::string target_digest;
  std::int64_t time_ms = 0;  ///< UTC of the last write; informational only.
  int status = 0;  ///< Of the response, like the fields below; kDone only.
  std::string content_type;
  bool body_stored = false;
  std::string body;
};

/// Larger response bodies are not stored: an object holds at most 1 MB, and
/// escaping can double the size of a body.
inline constexpr std::size_t kMaxStoredBodyBytes = std::size_t{256} * 1024;

std::string_view RecordStateName(RecordState state);

/// Returns `record` as JSON. A body that is not UTF-8 is stored in hexadecimal.
std::string FormatRecord(const Record& record);

/// Errors: kInvalid.
Result<Record> ParseRecord(std::string_view json);

/// Returns the record's object name for a key in the scope of caller and path.
std::string RecordName(std::string_view caller,
                       std::string_view path,
                       std::string_view key);

/// Returns the digest of the parts of a request that are compared in addition
/// to the body.
std::string TargetDigest(std::string_view method, std::string_view query);

/// Returns `record` as done, without the body if that is too large.
Record MakeDone(const Record& record,
                int status,
                std::string_view content_type,
                std::string_view body);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_H_
