#ifndef COLTSFOOTVANE_APP_EVENTS_H_
#define COLTSFOOTVANE_APP_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane {

inline constexpr Event kDaemonStarted{1001, Severity::kInfo, "daemon-started"};
inline constexpr Event kDaemonLeaving{1002, Severity::kInfo, "daemon-leaving"};
inline constexpr Event kDaemonStopped{1003, Severity::kInfo, "daemon-stopped"};
inline constexpr Event kStopDeadlinePassed{1004, Severity::kWarning,
                                           "stop-deadline-passed"};
inline constexpr Event kRegistrationDelayed{1005, Severity::kWarning,
                                            "registration-delayed"};
inline constexpr Event kDaemonReady{1006, Severity::kInfo, "daemon-ready"};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_EVENTS_H_
