#include <algorithm>

#include "store/kind_follower.h"

namespace coltsfootvane::store {
namespace {

constexpr Milliseconds kFirstBackoff{300};
/// Of a passive follower that has not reached the store; plus up to as much.
constexpr Milliseconds kProbeInterval{10'000};

}  // namespace

/// Sends a call that is to be answered at once, and once more over a new
/// connection if there is no answer within `max_silence`.
void KindFollower::SendTwiceIfSilent(Milliseconds max_silence,
                                     const std::function<void()>& send) {
  this->unanswered = 1;
  this->AwaitAnswer(max_silence, BootNow(), send);
  send();
}

/// Sends the call again once `max_silence` has passed since `heard` and since
/// the last bytes of an answer: one that comes in slowly is not silent.
void KindFollower::AwaitAnswer(Milliseconds max_silence,
                               TimePoint heard,
                               const std::function<void()>& send) {
  const TimePoint due = heard + max_silence;
  this->silence_timer.Set(
      TimeLeft(due, BootNow()),
      [this, max_silence, heard, send, current = this->generation] {
        if (current != this->generation)
          return;
        const TimePoint received = this->store->received_at
                                       ? this->store->received_at(this->Kind())
                                       : TimePoint();
        if (received > heard) {
          this->AwaitAnswer(max_silence, received, send);
          return;
        }
        ++this->unanswered;
        if (this->store->renew_connections)
          this->store->renew_connections();
        send();
      });
}

/// Returns whether an answer to a call of generation `sent_in` is the one to be
/// used: the first success, or a failure if no other call is unanswered.
bool KindFollower::TakeAnswer(int sent_in, bool failed) {
  if (sent_in != this->generation)
    return false;
  --this->unanswered;
  if (failed && this->unanswered > 0)
    return false;
  ++this->generation;
  this->silence_timer.Cancel();
  return true;
}

/// Returns the time from a failed call to the next one.
Milliseconds KindFollower::Backoff() {
  const int doublings =
      std::min(this->failures - 1 + this->pace.first_doublings,
               this->pace.max_doublings);
  Milliseconds backoff = kFirstBackoff * (1 << std::max(doublings, 0));
  auto spread = static_cast<std::uint64_t>(backoff.count() / 2);
  if (this->passive) {
    backoff = kProbeInterval;
    spread = static_cast<std::uint64_t>(backoff.count());
  } else if (this->pace.max_doublings > FollowerPace().max_doublings) {
    // Many daemons that were refused together must not return together.
    backoff /= 2;
    spread = static_cast<std::uint64_t>(backoff.count() * 2);
  }
  return backoff + Milliseconds(static_cast<std::int64_t>(
                       this->random() % std::max<std::uint64_t>(spread, 1)));
}

void KindFollower::Later(Milliseconds pause, void (KindFollower::*step)()) {
  this->timer.Set(pause, [this, step] { (this->*step)(); });
}

}  // namespace coltsfootvane::store
