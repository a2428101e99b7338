#ifndef COLTSFOOTVANE_DISTRIBUTION_EVENTS_H_
#define COLTSFOOTVANE_DISTRIBUTION_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::distribution {

inline constexpr Event kConfigurationInForce{1301, Severity::kInfo,
                                             "configuration-in-force"};
inline constexpr Event kConfigurationRefused{1302, Severity::kError,
                                             "configuration-refused"};
inline constexpr Event kLowerVersionIgnored{1303, Severity::kWarning,
                                            "lower-version-ignored"};
inline constexpr Event kVersionDigestDiffers{1304, Severity::kError,
                                             "version-digest-differs"};
inline constexpr Event kPartsIncomplete{1305, Severity::kWarning,
                                        "configuration-parts-incomplete"};
inline constexpr Event kPeerFetchFailed{1306, Severity::kWarning,
                                        "peer-fetch-failed"};
inline constexpr Event kPlacementMalformed{1307, Severity::kError,
                                           "placement-malformed"};
inline constexpr Event kHeadMalformed{1308, Severity::kError,
                                      "configuration-head-malformed"};
inline constexpr Event kDaemonRegistered{1309, Severity::kInfo,
                                         "daemon-registered"};
inline constexpr Event kDaemonRecordMalformed{1310, Severity::kWarning,
                                              "daemon-record-malformed"};

}  // namespace coltsfootvane::distribution

#endif  // COLTSFOOTVANE_DISTRIBUTION_EVENTS_H_
