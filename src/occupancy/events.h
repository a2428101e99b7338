#ifndef COLTSFOOTVANE_OCCUPANCY_EVENTS_H_
#define COLTSFOOTVANE_OCCUPANCY_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::occupancy {

inline constexpr Event kTrackingChanged{2601, Severity::kInfo,
                                        "load-tracking-changed"};
inline constexpr Event kTrackerSilent{2602, Severity::kWarning,
                                      "load-tracker-silent"};
inline constexpr Event kCallWaits{2603, Severity::kInfo, "call-waits"};

}  // namespace coltsfootvane::occupancy

#endif  // COLTSFOOTVANE_OCCUPANCY_EVENTS_H_
