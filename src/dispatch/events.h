#ifndef COLTSFOOTVANE_DISPATCH_EVENTS_H_
#define COLTSFOOTVANE_DISPATCH_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::dispatch {

inline constexpr Event kPoolTaken{1601, Severity::kInfo, "pool-taken"};
inline constexpr Event kPoolLeft{1602, Severity::kInfo, "pool-left"};
inline constexpr Event kSlotsExpired{1603, Severity::kWarning, "slots-expired"};
inline constexpr Event kFallbackShare{1604, Severity::kWarning,
                                      "fallback-share"};
inline constexpr Event kDispatcherSilent{1605, Severity::kWarning,
                                         "dispatcher-silent"};

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_EVENTS_H_
