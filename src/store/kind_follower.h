#ifndef COLTSFOOTVANE_STORE_KIND_FOLLOWER_H_
#define COLTSFOOTVANE_STORE_KIND_FOLLOWER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>

#include "log/decision_log.h"
#include "net/timer.h"
#include "store/object_store.h"

namespace coltsfootvane::store {

/// What a follower follows.
struct FollowedKind {
  std::string name;
  /// Longest time that a watch waits for a change. If the answer to a watch is
  /// lost, changes go unnoticed until then.
  Milliseconds watch_wait{20'000};
  /// The same for watches of the latest state. Their answers show how far the
  /// view is complete, so that they have to come often.
  Milliseconds latest_watch_wait{20'000};
};

/// How closely a follower watches; see KindFollower::SetPace().
struct FollowerPace {
  /// Between two watches, so that changes in quick succession take one call.
  Milliseconds watch_pause{250};
  /// How often the time after a failed call doubles, and how often it is
  /// doubled from the first call on.
  int max_doublings = 2;
  int first_doublings = 0;
};

/// What a follower reports.
struct FollowerEvents {
  /// All objects of the kind; others no longer exist.
  std::function<void(const Listing&)> on_listing;
  /// Some objects of the kind, before the first listing is complete; others may
  /// exist. May be empty.
  std::function<void(const Listing&)> on_partial_listing;
  std::function<void(const Changes&)> on_changes;
  /// The store has answered after it had not, or the reverse.
  std::function<void(bool)> on_reachable;
  /// The store has shown its latest state; see KindFollower::ConfirmedAt().
  std::function<void()> on_confirmed;
};

/// Keeps up with the objects of one kind: lists them, then watches, and lists
/// again when the history is gone or after the store was away. A follower that
/// others tell of urgent changes may watch at little cost, see SetFreshness().
class KindFollower {
 public:
  KindFollower(boost::asio::io_context* io,
               const ObjectStore* store,
               FollowedKind kind,
               DecisionLog* log,
               FollowerEvents events);

  void Start();

  /// A view that may be late relies on CatchUp() and Confirm(). A change to the
  /// latest state has an effect at once: a watch in progress that may be late
  /// is replaced by one that is answered immediately.
  void SetFreshness(Freshness wanted);
  /// Others tell of all changes, see AdvanceTo(), so that no calls are made but
  /// a rare one of the low price while the store is unreachable.
  void SetPassive(bool wanted);
  /// Others have told all changes up to this place, and they are applied.
  void AdvanceTo(const Place& known);
  /// `latest_watch_wait` replaces the one given at the start.
  void SetPace(const FollowerPace& wanted, Milliseconds latest_watch_wait);
  /// Reads at once what has changed, if the follower is passive and makes no
  /// other call.
  void ReadChanges();
  /// Lists at once what has changed up to `known`, if that is news.
  void CatchUp(const Place& known);
  /// Another daemon has shown that no change of interest that was acknowledged
  /// before `at` is newer than `known`, a place in the era of the view.
  /// Failures before `at` no longer delay the calls of a passive follower that
  /// is to make some again.
  void Confirm(const Place& known, TimePoint at);
  /// The store has come back from a copy: lists within `max_delay`, at a random
  /// time, unless the view is of the latest era by then. A passive follower
  /// relies on others.
  void OnNewEra(Milliseconds max_delay);
  /// The view holds all changes of interest that were acknowledged before this
  /// time; TimePoint() before the first listing.
  TimePoint ConfirmedAt() const { return this->confirmed_at; }
  /// Lists and watches anew, since the answer to the watch may have been lost.
  void Refresh(CallCause cause = CallCause::kRetry);
  /// Up to which the view is complete.
  const Place& At() const { return this->place; }
  bool Reachable() const { return this->reachable; }
  const std::string& Kind() const { return this->kind.name; }
  /// When the last answer came that says what the store holds.
  TimePoint HeardAt() const { return this->heard_at; }

 private:
  void List();
  void SendList();
  bool OnListing(Listing listing, const Place& known_when_sent);
  void OnPartialListing(const Listing& listing);
  void Watch();
  void SendWatch(Milliseconds wait, bool latest);
  void SendTwiceIfSilent(Milliseconds max_silence,
                         const std::function<void()>& send);
  void AwaitAnswer(Milliseconds max_silence,
                   TimePoint heard,
                   const std::function<void()>& send);
  bool TakeAnswer(int sent_in, bool failed);
  void Probe();
  void Continue();
  Milliseconds Backoff();
  void OnWatched(Changes changes, TimePoint confirmed);
  void OnChanges(Changes changes);
  void OnFailure(const Error& error);
  void SetConfirmed(TimePoint at);
  void Later(Milliseconds pause, void (KindFollower::*step)());
  /// `reason` tells why it is not.
  void SetReachable(bool now_reachable, std::string_view reason = {});

  net::Timer timer;
  net::Timer silence_timer;  ///< Of the call in progress.
  net::Timer era_timer;
  const ObjectStore* store;
  FollowedKind kind;
  DecisionLog* log;
  FollowerEvents events;
  std::minstd_rand random;
  Freshness freshness = Freshness::kLatest;
  FollowerPace pace;
  bool passive = false;
  bool idle = false;         ///< No call or timer is pending.
  bool probing = false;      ///< A call of Probe() is in progress.
  bool backing_off = false;  ///< The timer counts from a failed call.
  bool watching = false;     ///< A watch is in progress.
  Freshness watched = Freshness::kLatest;  ///< Of the watch in progress.
  /// The next watch is answered at once, to show how far the view is complete.
  bool confirm_at_once = false;
  Place place;
  Place catching_up_to;  ///< Asked for and not yet answered.
  int generation = 0;    ///< Identifies answers to earlier calls.
  int unanswered = 0;    ///< Calls of this generation.
  int failures = 0;      ///< In a row.
  CallCause list_cause = CallCause::kStart;  ///< Of the next listing.
  bool reachable = false;
  TimePoint failed_at;  ///< The last call that failed.
  TimePoint heard_at;
  TimePoint confirmed_at;
};

}  // namespace coltsfootvane::store

#endif  // COLTSFOOTVANE_STORE_KIND_FOLLOWER_H_
