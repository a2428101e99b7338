#include "daemon/shutdown.h"

namespace coltsfootvane::daemon {
namespace {

/// The load balancer asks once a second and turns away after two misses.
constexpr Milliseconds kTurnAwayTime{3500};
/// For the last answers to reach callers that read slowly.
constexpr Milliseconds kLastAnswer{600};
/// Streams that begin later in a shutdown are left to other daemons.
constexpr Milliseconds kLastStream{2800};
/// Left at the end of a shutdown for other requests that are in progress.
constexpr Milliseconds kLastRequests{2000};
/// Left for the end of the process before it would be killed.
constexpr Milliseconds kStopMargin{600};

}  // namespace

Shutdown BeginShutdown(Milliseconds stop_timeout, TimePoint now) {
  Shutdown shutdown;
  shutdown.began = now;
  shutdown.ends = now + stop_timeout - kStopMargin;
  shutdown.last_stream_at = now + kLastStream;
  shutdown.last_request_at = shutdown.ends - kLastRequests;
  return shutdown;
}

bool IsComplete(Shutdown* shutdown, int requests_in_progress, TimePoint now) {
  if (now >= shutdown->ends)
    return true;
  if (requests_in_progress > 0)
    shutdown->last_busy = now;
  return now >= shutdown->began + kTurnAwayTime &&
         now >= shutdown->last_busy + kLastAnswer;
}

}  // namespace coltsfootvane::daemon
