#ifndef COLTSFOOTVANE_ORDERS_EVENTS_H_
#define COLTSFOOTVANE_ORDERS_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::orders {

inline constexpr Event kLeaseTaken{2501, Severity::kInfo, "lease-taken"};
inline constexpr Event kLeaseLost{2502, Severity::kWarning, "lease-lost"};
inline constexpr Event kOrderGiven{2503, Severity::kInfo, "order-given"};
inline constexpr Event kOrderAnswered{2504, Severity::kInfo, "order-answered"};
inline constexpr Event kEngineReportMissing{2505, Severity::kWarning,
                                            "engine-report-missing"};
inline constexpr Event kCopyPlanned{2506, Severity::kInfo, "copy-planned"};
inline constexpr Event kPlacementState{2507, Severity::kInfo,
                                       "placement-state"};
inline constexpr Event kLeaseUnreadable{2508, Severity::kWarning,
                                        "lease-unreadable"};

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_EVENTS_H_
