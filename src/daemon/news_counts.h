#ifndef COLTSFOOTVANE_DAEMON_NEWS_COUNTS_H_
#define COLTSFOOTVANE_DAEMON_NEWS_COUNTS_H_

#include <cstdint>

#include "base/clock.h"

namespace coltsfootvane::daemon {

/// Counts of what daemons tell each other about the store.
struct NewsCounts {
  std::uint64_t pushed = 0;    ///< Batches and configurations told to all.
  std::uint64_t applied = 0;   ///< Batches and configurations from others.
  std::uint64_t gaps = 0;      ///< Times at which changes were missing.
  std::uint64_t asked = 0;     ///< Requests to others for changes.
  std::uint64_t answered = 0;  ///< Such requests of others.
  std::uint64_t fetched = 0;   ///< Snapshots and configurations from others.
  std::uint64_t config_bytes_received = 0;  ///< From other daemons.
  std::uint64_t config_bytes_sent = 0;
  std::uint64_t config_faults =
      0;                        ///< Changes that did not fit or were damaged.
  Microseconds config_busy{0};  ///< Of the event loop, with configurations.
  Milliseconds config_longest_turn{0};  ///< Of the event loop, the same.
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_NEWS_COUNTS_H_
