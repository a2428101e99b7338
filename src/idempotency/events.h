#ifndef COLTSFOOTVANE_IDEMPOTENCY_EVENTS_H_
#define COLTSFOOTVANE_IDEMPOTENCY_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane {

inline constexpr Event kRecordWriteAbandoned{1501, Severity::kError,
                                             "record-write-abandoned"};
inline constexpr Event kRecordWriteDelayed{1502, Severity::kWarning,
                                           "record-write-delayed"};
inline constexpr Event kRecordOverwritten{1503, Severity::kWarning,
                                          "record-overwritten"};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_EVENTS_H_
