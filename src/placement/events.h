#ifndef COLTSFOOTVANE_PLACEMENT_EVENTS_H_
#define COLTSFOOTVANE_PLACEMENT_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane {

inline constexpr Event kLeaseTaken{1701, Severity::kInfo, "lease-taken"};
inline constexpr Event kLeaseLost{1702, Severity::kWarning, "lease-lost"};
inline constexpr Event kLeaseReleased{1703, Severity::kInfo, "lease-released"};
inline constexpr Event kCommandDone{1704, Severity::kInfo, "command-done"};
inline constexpr Event kCommandFailed{1705, Severity::kWarning,
                                      "command-failed"};
inline constexpr Event kEndpointDown{1706, Severity::kWarning, "endpoint-down"};
inline constexpr Event kEndpointRestarted{1707, Severity::kWarning,
                                          "endpoint-restarted"};
inline constexpr Event kLedgerConflict{1708, Severity::kWarning,
                                       "ledger-conflict"};
inline constexpr Event kLedgerInvalid{1709, Severity::kError, "ledger-invalid"};
inline constexpr Event kAuditDropped{1710, Severity::kWarning,
                                     "placement-audit-dropped"};
inline constexpr Event kNumberOutdated{1711, Severity::kWarning,
                                       "number-outdated"};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_EVENTS_H_
