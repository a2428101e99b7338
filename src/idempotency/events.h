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

inline constexpr Event kRecordsExpired{1504, Severity::kInfo,
                                       "records-expired"};
inline constexpr Event kExpiryRestarted{1505, Severity::kWarning,
                                        "record-expiry-restarted"};

inline constexpr Event kRecordStoreSilent{1506, Severity::kWarning,
                                          "record-store-silent"};
inline constexpr Event kRecordStoreAnswers{1507, Severity::kInfo,
                                           "record-store-answers"};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_EVENTS_H_
