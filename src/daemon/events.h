#ifndef COLTSFOOTVANE_DAEMON_EVENTS_H_
#define COLTSFOOTVANE_DAEMON_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::daemon {

inline constexpr Event kDaemonStarted{2401, Severity::kInfo, "daemon-started"};
inline constexpr Event kDaemonStopped{2402, Severity::kInfo, "daemon-stopped"};
inline constexpr Event kShutdownBegan{2403, Severity::kInfo, "shutdown-began"};
inline constexpr Event kSettingsReloaded{2404, Severity::kInfo,
                                         "settings-reloaded"};
inline constexpr Event kSettingsRejected{2405, Severity::kError,
                                         "settings-rejected"};
inline constexpr Event kConfigUnreadable{2406, Severity::kError,
                                         "config-unreadable"};
inline constexpr Event kEndpointUnreadable{2407, Severity::kWarning,
                                           "endpoint-unreadable"};

inline constexpr Event kQuarantineNotRecorded{2408, Severity::kWarning,
                                              "quarantine-not-recorded"};

inline constexpr Event kViewUnconfirmed{2409, Severity::kInfo,
                                        "view-unconfirmed"};

inline constexpr Event kStoreCalls{2410, Severity::kInfo, "store-calls"};

inline constexpr Event kStoreReader{2411, Severity::kInfo, "store-reader"};

inline constexpr Event kAnswersCutOff{2412, Severity::kWarning,
                                      "answers-cut-off"};

inline constexpr Event kStoreEra{2414, Severity::kWarning, "store-era"};

inline constexpr Event kStoreEraInvalid{2415, Severity::kWarning,
                                        "store-era-invalid"};

inline constexpr Event kLoopLate{2413, Severity::kWarning, "loop-late"};

inline constexpr Event kConfigFetched{2416, Severity::kInfo, "config-fetched"};

inline constexpr Event kConfigFetchFailed{2417, Severity::kWarning,
                                          "config-fetch-failed"};

inline constexpr Event kConfigApplied{2418, Severity::kInfo, "config-applied"};

inline constexpr Event kConfigDamaged{2419, Severity::kWarning,
                                      "config-damaged"};

inline constexpr Event kDeparturesLearned{2420, Severity::kInfo,
                                          "departures-learned"};

inline constexpr Event kListenFailed{2421, Severity::kWarning, "listen-failed"};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_EVENTS_H_
