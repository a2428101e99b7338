#ifndef COLTSFOOTVANE_DAEMON_NEWS_RECOVERY_H_
#define COLTSFOOTVANE_DAEMON_NEWS_RECOVERY_H_

#include <cstdint>
#include <random>

#include "base/clock.h"
#include "store/place.h"

namespace coltsfootvane::daemon {

/// What to do about changes that others have seen and this daemon has not.
enum class RecoveryStep {
  kNone,
  kAsk,          ///< Ask a daemon for the changes, by datagram.
  kReadChanges,  ///< Read the changes from the store.
  kFetch,        ///< Fetch the whole state from a daemon.
  kList,         ///< List the kind in the store.
};

/// Whether daemons answer requests for single changes of the kind.
enum class RecoveryKind { kChanges, kWhole };

/// The whole state of more entries is fetched only if the store does not give
/// the changes: each has some 300 bytes, so that hundreds of daemons that fetch
/// at the same time fill the links of all.
inline constexpr int kMaxSmallState = 256;

/// Time for which the transfer of the whole state may take longer than that of
/// a small one: 300 bytes each, when four daemons fetch at once over 10 Mbit/s.
Milliseconds TransferTime(int entries);

/// Recovers the changes of one kind that the news have not brought. Daemons are
/// asked first, so that a lost datagram costs no call to the store. No step
/// waits for the end of the one before: a daemon or the store may be silent.
struct NewsRecovery {
  store::Place wanted;       ///< To reach; unknown if nothing is missing.
  std::uint32_t source = 0;  ///< A daemon that has it.
  /// The daemon that was fetched from last; it may be silent.
  std::uint32_t fetched_from = 0;
  RecoveryKind kind = RecoveryKind::kChanges;
  int entries = 0;    ///< Of the whole state, which a fetch transfers.
  int asks_left = 0;  ///< Of this round, as are the fetches.
  int fetches_left = 0;
  bool reads_changes = false;  ///< Before the fetches of this round.
  TimePoint next_at;
  TimePoint list_at;  ///< No listing before, whatever is wanted.
};

/// Records that `source` has seen `place`. The first step is due after
/// `delay`, which gives news that are on their way time to arrive.
void Want(const store::Place& place,
          std::uint32_t source,
          RecoveryKind kind,
          TimePoint now,
          Milliseconds delay,
          NewsRecovery* recovery);

/// Returns the step that is due for a view that holds `own`, and schedules the
/// next one.
RecoveryStep NextStep(const store::Place& own,
                      TimePoint now,
                      std::mt19937_64* random,
                      NewsRecovery* recovery);

/// Records that daemons cannot answer with single changes any more.
void SkipAsks(TimePoint now, NewsRecovery* recovery);
/// Records that a fetch comes in, so that no other one begins beside it.
void PostponeFetch(TimePoint now, NewsRecovery* recovery);
/// Records that a fetch has ended. A failed one is repeated soon, from another
/// daemon.
void EndFetch(TimePoint now, std::mt19937_64* random, NewsRecovery* recovery);

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_NEWS_RECOVERY_H_
