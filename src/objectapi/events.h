#ifndef COLTSFOOTVANE_OBJECTAPI_EVENTS_H_
#define COLTSFOOTVANE_OBJECTAPI_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::objectapi {

inline constexpr Event kPlatformCallsFail{1201, Severity::kWarning,
                                          "platform-calls-fail"};
inline constexpr Event kPlatformCallsSucceed{1202, Severity::kInfo,
                                             "platform-calls-succeed"};
inline constexpr Event kWatchTooOld{1203, Severity::kInfo,
                                    "watch-version-too-old"};

inline constexpr Event kObjectUnreadable{1204, Severity::kWarning,
                                         "object-unreadable"};

}  // namespace coltsfootvane::objectapi

#endif  // COLTSFOOTVANE_OBJECTAPI_EVENTS_H_
