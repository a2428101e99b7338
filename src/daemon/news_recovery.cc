#include "daemon/news_recovery.h"

#include <algorithm>
#include <utility>

namespace coltsfootvane::daemon {
namespace {

constexpr int kAsks = 2;
constexpr int kFetches = 4;
/// From the second round on: a daemon to which no other one can give the
/// changes must not load the others for long.
constexpr int kLaterFetches = 1;
/// A daemon answers in a few ms; one that shares a core with others, later.
constexpr Milliseconds kAskTimeout{120};
/// From one fetch of a small state to the next, which goes to another daemon
/// while the first may still respond. A configuration of 100 KB that four
/// daemons fetch at once over 10 Mbit/s takes 330 ms.
constexpr Milliseconds kFetchInterval{450};
/// From a read of the changes to the first fetch. The store answers in a few
/// ms.
constexpr Milliseconds kReadTimeout{450};
constexpr int kMsPerEntry = 1;
constexpr int kMinFetchPauseMs = 60;
constexpr int kMaxFetchPauseMs = 200;
/// From one listing to the next, with as much at random.
constexpr int kListPauseMs = 2000;
/// From a listing, or from the end of a round without one, to the next round.
constexpr int kMinRoundPauseMs = 200;
constexpr int kMaxRoundPauseMs = 300;

Milliseconds Between(int least, int most, std::mt19937_64* random) {
  return Milliseconds(std::uniform_int_distribution<int>(least, most)(*random));
}

void BeginRound(int fetches, NewsRecovery* recovery) {
  recovery->asks_left = recovery->kind == RecoveryKind::kChanges ? kAsks : 0;
  recovery->fetches_left = fetches;
  recovery->reads_changes = recovery->kind == RecoveryKind::kChanges;
}

}  // namespace

Milliseconds TransferTime(int entries) {
  return Milliseconds(kMsPerEntry) * entries;
}

void Want(const store::Place& place,
          std::uint32_t source,
          RecoveryKind kind,
          TimePoint now,
          Milliseconds delay,
          NewsRecovery* recovery) {
  if (!place.IsKnown() || place <= recovery->wanted)
    return;
  const bool is_first = !recovery->wanted.IsKnown();
  recovery->wanted = place;
  recovery->source = source;
  if (!is_first)
    return;
  recovery->kind = kind;
  BeginRound(kFetches, recovery);
  recovery->next_at = now + delay;
}

RecoveryStep NextStep(const store::Place& own,
                      TimePoint now,
                      std::mt19937_64* random,
                      NewsRecovery* recovery) {
  if (recovery->wanted <= own)
    recovery->wanted = store::Place();
  if (!recovery->wanted.IsKnown() || now < recovery->next_at)
    return RecoveryStep::kNone;
  if (recovery->asks_left > 0) {
    --recovery->asks_left;
    recovery->next_at = now + kAskTimeout;
    return RecoveryStep::kAsk;
  }
  // The store has no changes that lead from one era to the next.
  if (std::exchange(recovery->reads_changes, false) &&
      recovery->wanted.era == own.era && recovery->entries > kMaxSmallState) {
    recovery->next_at = now + kReadTimeout;
    return RecoveryStep::kReadChanges;
  }
  if (recovery->fetches_left > 0) {
    --recovery->fetches_left;
    recovery->next_at = now + kFetchInterval + TransferTime(recovery->entries);
    return RecoveryStep::kFetch;
  }
  // The store may not respond either, so the next round asks daemons again.
  BeginRound(kLaterFetches, recovery);
  recovery->next_at = now + Between(kMinRoundPauseMs, kMaxRoundPauseMs, random);
  if (now < recovery->list_at)
    return RecoveryStep::kNone;
  recovery->list_at = now + Between(kListPauseMs, kListPauseMs * 2, random);
  return RecoveryStep::kList;
}

void SkipAsks(TimePoint now, NewsRecovery* recovery) {
  if (!recovery->wanted.IsKnown() || recovery->asks_left == 0)
    return;
  recovery->asks_left = 0;
  recovery->next_at = now;
}

void PostponeFetch(TimePoint now, NewsRecovery* recovery) {
  recovery->next_at = std::max(recovery->next_at, now + kFetchInterval);
}

void EndFetch(TimePoint now, std::mt19937_64* random, NewsRecovery* recovery) {
  recovery->next_at =
      std::min(recovery->next_at,
               now + Between(kMinFetchPauseMs, kMaxFetchPauseMs, random));
}

}  // namespace coltsfootvane::daemon
