#include "daemon/shutdown.h"

#include <algorithm>

namespace coltsfootvane::daemon {
namespace {

/// The load balancer asks once a second and turns away after two misses.
constexpr Milliseconds kTurnAwayTime{3500};
/// For the kernel to send the last bytes.
constexpr Milliseconds kLastAnswer{600};
/// Until then callers may not know better than to come here.
constexpr Milliseconds kLastRequest{2800};
/// Left for requests that are in progress, however short the shutdown is.
constexpr Milliseconds kLeftForRequests{2000};
/// Left for the final answers, and for the end of the process before it would
/// be killed.
constexpr Milliseconds kFinalAnswers{200};
constexpr Milliseconds kStopMargin{400};

}  // namespace

Shutdown BeginShutdown(Milliseconds stop_timeout, TimePoint now) {
  Shutdown shutdown;
  shutdown.began = now;
  shutdown.ends = now + stop_timeout - kStopMargin;
  shutdown.last_answer_at = shutdown.ends - kFinalAnswers;
  shutdown.last_request_at =
      std::min(now + kLastRequest, shutdown.last_answer_at - kLeftForRequests);
  return shutdown;
}

TimePoint NextCheck(const Shutdown& shutdown,
                    TimePoint now,
                    Milliseconds interval) {
  TimePoint next = now + interval;
  for (const TimePoint due : {shutdown.last_answer_at, shutdown.ends}) {
    if (due > now)
      next = std::min(next, due);
  }
  return next;
}

bool IsComplete(Shutdown* shutdown, const Pending& pending, TimePoint now) {
  if (now >= shutdown->ends)
    return true;
  if (pending.requests > 0 || pending.unsent > 0 || pending.receiving > 0)
    shutdown->last_busy = now;
  return now >= shutdown->began + kTurnAwayTime &&
         now >= shutdown->last_busy + kLastAnswer;
}

}  // namespace coltsfootvane::daemon
