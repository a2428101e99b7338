#ifndef COLTSFOOTVANE_AUDIT_AUDIT_H_
#define COLTSFOOTVANE_AUDIT_AUDIT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "objectapi/client.h"

namespace coltsfootvane {

/// One change: who changed which object from which version to which.
struct AuditEntry {
  std::string id;      ///< Name of the platform object; unique per change.
  std::string time;    ///< UTC, ISO 8601.
  std::string actor;   ///< Operator or daemon.
  std::string action;  ///< For instance `apply`, `load`, `take-lease`.
  std::string object;  ///< `kind/name`.
  std::int64_t from_version = 0;
  std::int64_t to_version = 0;
  std::string detail;
};

std::string FormatAuditEntry(const AuditEntry& entry);
Result<AuditEntry> ParseAuditEntry(std::string_view json);

/// Returns the current UTC time in ISO 8601 with milliseconds.
std::string CurrentTimeIso();

/// Writes `entry`. An entry with the same id that exists already is a success:
/// the write is idempotent. Errors as objectapi::CreateObject().
Result<bool> AppendAudit(const objectapi::Connection& connection,
                         const AuditEntry& entry,
                         TimePoint deadline);

/// Reads the trail, oldest first.
Result<std::vector<AuditEntry>> ReadAudit(
    const objectapi::Connection& connection,
    TimePoint deadline);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_AUDIT_AUDIT_H_
