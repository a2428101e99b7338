#ifndef COLTSFOOTVANE_GATEWAY_EVENTS_H_
#define COLTSFOOTVANE_GATEWAY_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::gateway {

inline constexpr Event kRequestSent{2201, Severity::kInfo, "request-sent"};
inline constexpr Event kRequestAnswered{2202, Severity::kInfo,
                                        "request-answered"};
inline constexpr Event kRequestRefused{2203, Severity::kWarning,
                                       "request-refused"};
inline constexpr Event kRequestFailed{2204, Severity::kWarning,
                                      "request-failed"};
inline constexpr Event kSendFailed{2205, Severity::kWarning, "send-failed"};
inline constexpr Event kCallerLeft{2206, Severity::kInfo, "caller-left"};
inline constexpr Event kInputRejected{2207, Severity::kWarning,
                                      "input-rejected"};
inline constexpr Event kTableInForce{2208, Severity::kInfo, "table-in-force"};
inline constexpr Event kEndpointChanged{2209, Severity::kInfo,
                                        "endpoint-changed"};
inline constexpr Event kEndpointGone{2210, Severity::kInfo, "endpoint-gone"};
inline constexpr Event kStreamResumed{2211, Severity::kInfo, "stream-resumed"};
inline constexpr Event kAdapterAwaited{2212, Severity::kInfo,
                                       "adapter-awaited"};

inline constexpr Event kEndpointLeaving{2213, Severity::kInfo,
                                        "endpoint-leaving"};
inline constexpr Event kEndpointPaused{2214, Severity::kInfo,
                                       "endpoint-paused"};
inline constexpr Event kEndpointCrashed{2215, Severity::kWarning,
                                        "endpoint-crashed"};
inline constexpr Event kPartQuarantined{2216, Severity::kError,
                                        "part-quarantined"};
inline constexpr Event kPartReleased{2217, Severity::kInfo, "part-released"};
inline constexpr Event kQuarantineTried{2218, Severity::kInfo,
                                        "quarantine-tried"};
inline constexpr Event kQuotaOwnerSilent{2219, Severity::kWarning,
                                         "quota-owner-silent"};
inline constexpr Event kStreamMoved{2230, Severity::kInfo, "stream-moved"};
inline constexpr Event kEndpointSilent{2231, Severity::kWarning,
                                       "endpoint-silent"};
inline constexpr Event kSilenceUnexplained{2233, Severity::kWarning,
                                           "silence-unexplained"};
inline constexpr Event kRequestCut{2232, Severity::kWarning, "request-cut"};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_EVENTS_H_
