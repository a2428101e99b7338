#ifndef COLTSFOOTVANE_DISTRIBUTION_DAEMON_REGISTRATION_H_
#define COLTSFOOTVANE_DISTRIBUTION_DAEMON_REGISTRATION_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "http/message.h"
#include "objectapi/client.h"

namespace coltsfootvane {

/// The spec of the platform object `daemons/<daemon id>`.
struct DaemonRecord {
  std::string daemon_id;
  std::string incarnation;  ///< A new RandomId() for each start.
  std::string data_centre;
  http::Address entry;
  http::Address admin;
  http::Address peer;
  bool leaving = false;
};

/// Without the daemon id, which is the name of the object.
std::string FormatDaemonRecord(const DaemonRecord& record);

/// Errors: kInvalid.
Result<DaemonRecord> ParseDaemonRecord(std::string_view daemon_id,
                                       std::string_view json);

/// What to do about `wanted` when the platform has `stored`.
enum class RegistrationStep {
  kDone,      ///< Stored as wanted.
  kWrite,     ///< To be created or updated.
  kReplaced,  ///< A later start of the daemon has registered.
};

/// `stored` is null if there is no object. `first_seen` is the incarnation
/// that was stored when the registration began: any other one but that of
/// `wanted` has come since, from a later start.
RegistrationStep NextRegistrationStep(const DaemonRecord& wanted,
                                      const DaemonRecord* stored,
                                      std::string_view first_seen);

/// Writes `record` by create or conditional update and repeats it until it is
/// known to be stored. A record with `leaving` only replaces one of the same
/// incarnation. Each call to the platform ends within `call_timeout`.
/// `cancelled`, asked between attempts, may be empty.
/// Errors: kConflict if a later start of the daemon has registered; otherwise
/// the last error at `deadline` or when cancelled.
Result<bool> WriteDaemonRecord(const objectapi::Connection& connection,
                               const DaemonRecord& record,
                               Milliseconds call_timeout,
                               TimePoint deadline,
                               const std::function<bool()>& cancelled = {});

/// Reads the records of all daemons; malformed ones are logged and left out.
Result<std::vector<DaemonRecord>> ReadDaemonRecords(
    const objectapi::Connection& connection,
    TimePoint deadline);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_DAEMON_REGISTRATION_H_
