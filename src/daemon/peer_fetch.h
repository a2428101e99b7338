#ifndef COLTSFOOTVANE_DAEMON_PEER_FETCH_H_
#define COLTSFOOTVANE_DAEMON_PEER_FETCH_H_

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "net/http_client.h"

namespace coltsfootvane::daemon {

/// Time for the answer of another daemon that is short.
inline constexpr Milliseconds kFetchTimeout{1200};

/// Calls `done` with the body of another daemon's answer, or with nullptr if it
/// gives none.
void FetchFromDaemon(net::HttpClient* client,
                     std::uint32_t address,
                     unsigned short port,
                     const char* path,
                     Milliseconds timeout,
                     std::function<void(const std::string* body)> done);

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_PEER_FETCH_H_
