#ifndef COLTSFOOTVANE_DAEMON_SHUTDOWN_H_
#define COLTSFOOTVANE_DAEMON_SHUTDOWN_H_

#include <cstddef>

#include "base/clock.h"

namespace coltsfootvane::daemon {

/// The times of a graceful shutdown, which begins with a signal and ends before
/// the process would be killed.
struct Shutdown {
  TimePoint began;
  /// Requests that arrive later are taken only if their deadline passes before
  /// `last_answer_at`.
  TimePoint last_request_at;
  /// Requests that are still in progress get a final answer.
  TimePoint last_answer_at;
  TimePoint ends;  ///< At the latest.
  /// When a request was last in progress or arriving, or an answer unsent.
  TimePoint last_busy;
};

/// `stop_timeout` is the time from the signal until the process is killed.
Shutdown BeginShutdown(Milliseconds stop_timeout, TimePoint now);

/// Returns when the state of the shutdown next has to be examined, at most
/// `interval` from now.
TimePoint NextCheck(const Shutdown& shutdown,
                    TimePoint now,
                    Milliseconds interval);

/// What callers still wait for.
struct Pending {
  int requests = 0;           ///< In progress.
  std::size_t unsent = 0;     ///< Callers with unsent bytes of their answers.
  std::size_t receiving = 0;  ///< Requests that have begun to arrive.
};

/// Returns whether the process can end: callers have had the time to turn to
/// other daemons, and the last answers to reach them.
bool IsComplete(Shutdown* shutdown, const Pending& pending, TimePoint now);

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_SHUTDOWN_H_
