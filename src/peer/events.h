#ifndef COLTSFOOTVANE_PEER_EVENTS_H_
#define COLTSFOOTVANE_PEER_EVENTS_H_

#include "log/event.h"

namespace coltsfootvane::peer {

inline constexpr Event kPeerStarted{1901, Severity::kInfo, "peer-started"};
inline constexpr Event kMalformedDatagrams{1902, Severity::kWarning,
                                           "malformed-datagrams"};
inline constexpr Event kConfigPeerStopped{1903, Severity::kError,
                                          "config-peer-stopped"};
inline constexpr Event kPeerOverloaded{1904, Severity::kWarning,
                                       "peer-overloaded"};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_EVENTS_H_
