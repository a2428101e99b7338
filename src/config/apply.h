#ifndef COLTSFOOTVANE_CONFIG_APPLY_H_
#define COLTSFOOTVANE_CONFIG_APPLY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "config/bundle.h"
#include "objectapi/client.h"

namespace coltsfootvane {

struct ApplyOptions {
  /// Version that the change is based on; by default the head's, as read.
  std::optional<std::int64_t> based_on;
  std::string changed_by;
  TimePoint deadline;
};

enum class ApplyOutcome {
  kApplied,    ///< This call created a new version.
  kUnchanged,  ///< The newest version has the same content already.
  kConflict,   ///< Another change came first; nothing was applied.
};

struct ApplyReport {
  ApplyOutcome outcome = ApplyOutcome::kApplied;
  /// The version that was applied, or the newest one.
  std::int64_t version = 0;
  std::string changed_by;  ///< Of that version.
  /// After a conflict: from the newest configuration to the one to apply.
  std::vector<std::string> difference;
  /// Why the audit entry could not be written; the next apply writes it. Empty
  /// if it was written.
  std::string audit_error;
};

/// Makes `bundle`, which must have passed ParseConfiguration(), the newest
/// configuration. Errors as objectapi::CreateObject() and ReadStoredHead();
/// only after kUnknown the change may have taken effect or may still do so; the
/// call may be repeated. kConflict if another change came first, or may have,
/// that could not be read until the deadline.
Result<ApplyReport> ApplyBundle(const objectapi::Connection& connection,
                                const Bundle& bundle,
                                const ApplyOptions& options);

/// Returns the lines that lead from the configuration of `head` to `bundle`.
/// Errors as ReadStoredBundle().
Result<std::vector<std::string>> DiffWithStored(
    const objectapi::Connection& connection,
    const ConfigurationHead& head,
    const Bundle& bundle,
    TimePoint deadline);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_APPLY_H_
