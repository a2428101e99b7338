#include "config/apply.h"

#include <algorithm>
#include <set>
#include <utility>

#include "audit/audit.h"
#include "config/part.h"
#include "config/stored_configuration.h"

namespace coltsfootvane {
namespace {

constexpr char kApplyAction[] = "apply";

std::string AuditId(std::int64_t version) {
  return "apply-" + std::to_string(version);
}

std::string AuditDetail(const ConfigurationHead& head) {
  return "digest=" + head.digest;
}

/// Writes the audit entry of `head` unless it exists.
Result<bool> WriteAudit(const objectapi::Connection& connection,
                        const ConfigurationHead& head,
                        TimePoint deadline) {
  AuditEntry entry;
  entry.id = AuditId(head.version);
  entry.time = CurrentTimeIso();
  entry.actor = head.changed_by;
  entry.action = kApplyAction;
  entry.object = std::string(objectapi::kConfigKind) + "/" +
                 std::string(objectapi::kConfigHeadName);
  entry.from_version = head.based_on;
  entry.to_version = head.version;
  entry.detail = AuditDetail(head);
  return RetryUntil(deadline,
                    [&connection, &entry](TimePoint attempt_deadline) {
                      return AppendAudit(connection, entry, attempt_deadline);
                    });
}

Result<bool> WritePart(const objectapi::Connection& connection,
                       const BundlePart& part,
                       TimePoint deadline) {
  Result<std::string> spec = FormatPart(part.text);
  if (!spec)
    return spec.error();
  const objectapi::Object object{objectapi::kConfigPartKind, part.digest, 0,
                                 std::move(spec).value()};
  const Result<objectapi::Object> created =
      RetryUntil(deadline, [&connection, &object](TimePoint attempt_deadline) {
        return objectapi::CreateObject(connection, object, attempt_deadline);
      });
  // Parts are named by their digest, so an existing one has the same text.
  if (created || created.error().code == ErrorCode::kConflict)
    return true;
  return created.error();
}

/// Writes the parts that `stored` does not name.
Result<bool> WriteParts(const objectapi::Connection& connection,
                        const ConfigurationHead& stored,
                        const Bundle& bundle,
                        TimePoint deadline) {
  std::set<std::string> present;
  for (const PartReference& part : stored.parts)
    present.insert(part.digest);
  for (const BundlePart& part : bundle.parts) {
    if (!present.insert(part.digest).second)
      continue;
    Result<bool> written = WritePart(connection, part, deadline);
    if (!written)
      return written;
  }
  return true;
}

ConfigurationHead MakeNextHead(const ConfigurationHead& stored,
                               const Bundle& bundle,
                               const std::string& changed_by) {
  ConfigurationHead next;
  next.version = stored.version + 1;
  next.digest = bundle.digest;
  for (const BundlePart& part : bundle.parts)
    next.parts.push_back({part.name, part.digest});
  next.changed_by = changed_by;
  next.based_on = stored.version;
  return next;
}

/// Returns whether `next` took effect, given a `newest` head of its version or
/// a later one. If a later change has replaced it, the audit entry tells: each
/// apply writes the entry of the version before it, before its own head.
Result<bool> TookEffect(const objectapi::Connection& connection,
                        const ConfigurationHead& next,
                        const ConfigurationHead& newest,
                        TimePoint deadline) {
  if (newest.version == next.version)
    return newest.digest == next.digest && newest.changed_by == next.changed_by;
  const Result<objectapi::Object> object =
      RetryUntil(deadline, [&connection, &next](TimePoint attempt_deadline) {
        return objectapi::ReadObject(connection, objectapi::kAuditKind,
                                     AuditId(next.version), attempt_deadline);
      });
  if (!object && object.error().code == ErrorCode::kNotFound)
    return false;
  if (!object)
    return object.error();
  const Result<AuditEntry> entry = ParseAuditEntry(object.value().spec);
  return entry && entry.value().actor == next.changed_by &&
         entry.value().detail == AuditDetail(next);
}

/// Returns `error` of a step before the change itself. The change was not sent,
/// whatever became of the step.
Error BeforeChange(Error error) {
  if (error.code == ErrorCode::kUnknown)
    error.code = ErrorCode::kNotSent;
  error.message += "; the change was not sent";
  return error;
}

/// Returns the newest head. Any read may return an older head, which only a
/// conditional write can tell, so this writes back what it read.
Result<StoredHead> ReadNewestHead(const objectapi::Connection& connection,
                                  TimePoint deadline) {
  for (int attempt = 1;; ++attempt) {
    Result<StoredHead> stored = ReadStoredHead(connection, deadline);
    if (!stored || stored.value().head.version == 0)
      return stored;
    const objectapi::Object same{
        objectapi::kConfigKind, objectapi::kConfigHeadName,
        stored.value().resource_version, stored.value().spec};
    const Result<objectapi::Object> written =
        objectapi::UpdateObject(connection, same, AttemptDeadline(deadline));
    if (written) {
      stored.value().resource_version = written.value().resource_version;
      return stored;
    }
    const ErrorCode code = written.error().code;
    const bool repeat = code == ErrorCode::kConflict || IsTransient(code);
    if (!repeat || !WaitForRetry(attempt, written.error(), deadline))
      return Error{code, "cannot confirm that version " +
                             std::to_string(stored.value().head.version) +
                             " is the newest: " + written.error().message};
  }
}

/// Reads until the head has at least `version`, which is known to exist.
Result<StoredHead> ReadHeadFrom(const objectapi::Connection& connection,
                                std::int64_t version,
                                TimePoint deadline) {
  for (int attempt = 1;; ++attempt) {
    Result<StoredHead> stored = ReadStoredHead(connection, deadline);
    if (!stored || stored.value().head.version >= version)
      return stored;
    const Error stale{ErrorCode::kConflict, "the platform returns an old head"};
    if (!WaitForRetry(attempt, stale, deadline))
      return stale;
  }
}

/// Writes `next` over the head with `resource_version`. Returns whether it took
/// effect. The write is conditional, so repeating it after a lost response is
/// safe: only one of the attempts can succeed.
Result<bool> WriteHead(const objectapi::Connection& connection,
                       const ConfigurationHead& next,
                       std::int64_t resource_version,
                       TimePoint deadline) {
  objectapi::Object object{objectapi::kConfigKind, objectapi::kConfigHeadName,
                           resource_version, FormatHead(next)};
  bool may_be_written = false;
  for (int attempt = 1;; ++attempt) {
    const TimePoint attempt_deadline = AttemptDeadline(deadline);
    const Result<objectapi::Object> written =
        object.resource_version == 0
            ? objectapi::CreateObject(connection, object, attempt_deadline)
            : objectapi::UpdateObject(connection, object, attempt_deadline);
    if (written)
      return true;
    Error error = written.error();
    may_be_written = may_be_written || error.code == ErrorCode::kUnknown;
    if (error.code == ErrorCode::kConflict || may_be_written) {
      const Result<StoredHead> newest = ReadStoredHead(connection, deadline);
      // A reader may see a head that is older than the one just written over.
      if (newest && newest.value().head.version >= next.version)
        return TookEffect(connection, next, newest.value().head, deadline);
      // ReadNewestHead() of another apply changes only the resource version.
      if (newest && newest.value().head.version == next.based_on)
        object.resource_version =
            std::max(object.resource_version, newest.value().resource_version);
    }
    const bool repeat =
        error.code == ErrorCode::kConflict || IsTransient(error.code);
    if (!repeat || !WaitForRetry(attempt, error, deadline)) {
      if (may_be_written)
        error.code = ErrorCode::kUnknown;
      return error;
    }
  }
}

ApplyReport MakeReport(ApplyOutcome outcome, const ConfigurationHead& head) {
  ApplyReport report;
  report.outcome = outcome;
  report.version = head.version;
  report.changed_by = head.changed_by;
  return report;
}

ApplyReport ReportWithAudit(const objectapi::Connection& connection,
                            ApplyOutcome outcome,
                            const ConfigurationHead& head,
                            TimePoint deadline) {
  ApplyReport report = MakeReport(outcome, head);
  const Result<bool> audited = WriteAudit(connection, head, deadline);
  if (!audited)
    report.audit_error = audited.error().message;
  return report;
}

ApplyReport ReportConflict(const objectapi::Connection& connection,
                           const ConfigurationHead& newest,
                           const Bundle& bundle,
                           TimePoint deadline) {
  ApplyReport report = MakeReport(ApplyOutcome::kConflict, newest);
  Result<std::vector<std::string>> difference =
      DiffWithStored(connection, newest, bundle, deadline);
  if (difference)
    report.difference = std::move(difference).value();
  else
    report.difference = {"the difference is not available: " +
                         difference.error().message};
  return report;
}

/// Decides what to report after another change became version `version`.
Result<ApplyReport> ReportOvertaken(const objectapi::Connection& connection,
                                    const Bundle& bundle,
                                    std::int64_t version,
                                    TimePoint deadline) {
  Result<StoredHead> newest = ReadHeadFrom(connection, version, deadline);
  if (newest && newest.value().head.digest == bundle.digest)
    newest = ReadNewestHead(connection, deadline);
  if (!newest)
    return Error{ErrorCode::kConflict,
                 "another change came first and cannot be read: " +
                     newest.error().message};
  const ConfigurationHead& head = newest.value().head;
  if (head.digest == bundle.digest)
    return ReportWithAudit(connection, ApplyOutcome::kUnchanged, head,
                           deadline);
  return ReportConflict(connection, head, bundle, deadline);
}

/// Reads the head that a change of `bundle` is based on.
Result<StoredHead> ReadBase(const objectapi::Connection& connection,
                            const Bundle& bundle,
                            const ApplyOptions& options) {
  Result<StoredHead> stored = ReadStoredHead(connection, options.deadline);
  if (!stored)
    return stored;
  const ConfigurationHead& head = stored.value().head;
  // In these cases nothing is written that would fail on an old head.
  const bool confirm = head.digest == bundle.digest ||
                       (options.based_on && *options.based_on > head.version);
  return confirm && head.version > 0
             ? ReadNewestHead(connection, options.deadline)
             : stored;
}

}  // namespace

Result<std::vector<std::string>> DiffWithStored(
    const objectapi::Connection& connection,
    const ConfigurationHead& head,
    const Bundle& bundle,
    TimePoint deadline) {
  const Result<Bundle> stored = ReadStoredBundle(connection, head, deadline);
  if (!stored)
    return stored.error();
  Findings ignored;
  return DiffConfigurations(ParseConfiguration(stored.value(), &ignored),
                            ParseConfiguration(bundle, &ignored));
}

Result<ApplyReport> ApplyBundle(const objectapi::Connection& connection,
                                const Bundle& bundle,
                                const ApplyOptions& options) {
  const Result<StoredHead> read = ReadBase(connection, bundle, options);
  if (!read)
    return BeforeChange(read.error());
  const StoredHead& stored = read.value();
  const ConfigurationHead& head = stored.head;
  if (head.version > 0 && head.digest == bundle.digest)
    return ReportWithAudit(connection, ApplyOutcome::kUnchanged, head,
                           options.deadline);
  if (options.based_on && *options.based_on != head.version)
    return ReportConflict(connection, head, bundle, options.deadline);
  if (head.version > 0) {
    const Result<bool> repaired =
        WriteAudit(connection, head, options.deadline);
    if (!repaired)
      return BeforeChange(repaired.error());
  }
  const Result<bool> parts =
      WriteParts(connection, head, bundle, options.deadline);
  if (!parts)
    return BeforeChange(parts.error());
  const ConfigurationHead next = MakeNextHead(head, bundle, options.changed_by);
  const Result<bool> applied =
      WriteHead(connection, next, stored.resource_version, options.deadline);
  if (!applied)
    return applied.error();
  if (!applied.value())
    return ReportOvertaken(connection, bundle, next.version, options.deadline);
  return ReportWithAudit(connection, ApplyOutcome::kApplied, next,
                         options.deadline);
}

}  // namespace coltsfootvane
