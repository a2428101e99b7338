#ifndef COLTSFOOTVANE_STORE_EVENTS_H_
#define COLTSFOOTVANE_STORE_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::store {

inline constexpr Event kStoreLost{2301, Severity::kWarning, "store-lost"};
inline constexpr Event kStoreRegained{2302, Severity::kInfo, "store-regained"};
inline constexpr Event kHistoryGone{2303, Severity::kInfo, "history-gone"};
inline constexpr Event kStoreBehind{2304, Severity::kWarning, "store-behind"};
inline constexpr Event kStoreCallFailed{2305, Severity::kWarning,
                                        "store-call-failed"};

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_EVENTS_H_
