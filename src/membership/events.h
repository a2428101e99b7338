#ifndef COLTSFOOTVANE_MEMBERSHIP_EVENTS_H_
#define COLTSFOOTVANE_MEMBERSHIP_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::membership {

inline constexpr Event kMemberState{1801, Severity::kInfo, "member-state"};
inline constexpr Event kDuplicateDaemonId{1802, Severity::kError,
                                          "duplicate-daemon-id"};

}  // namespace coltsfootvane::membership

#endif  // COLTSFOOTVANE_MEMBERSHIP_EVENTS_H_
