#ifndef COLTSFOOTVANE_ENDPOINT_EVENTS_H_
#define COLTSFOOTVANE_ENDPOINT_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::endpoint {

inline constexpr Event kForeignResponse{2101, Severity::kError,
                                        "foreign-response"};
inline constexpr Event kStreamGap{2102, Severity::kError, "stream-gap"};

}  // namespace coltsfootvane::endpoint

#endif  // COLTSFOOTVANE_ENDPOINT_EVENTS_H_
