#ifndef COLTSFOOTVANE_ENTRY_EVENTS_H_
#define COLTSFOOTVANE_ENTRY_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane {

inline constexpr Event kListenerFailed{1401, Severity::kError,
                                       "listener-failed"};
inline constexpr Event kStreamNotCompleted{1402, Severity::kWarning,
                                           "stream-not-completed"};
inline constexpr Event kRequestInterrupted{1403, Severity::kWarning,
                                           "request-interrupted"};
inline constexpr Event kIrreversibleCallUnknown{1404, Severity::kWarning,
                                                "irreversible-call-unknown"};

inline constexpr Event kHeadersCut{1405, Severity::kWarning, "headers-cut"};
inline constexpr Event kCallersEnded{1406, Severity::kWarning, "callers-ended"};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_EVENTS_H_
