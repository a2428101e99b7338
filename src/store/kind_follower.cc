#include "store/kind_follower.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "store/events.h"

namespace coltsfootvane::store {
namespace {

/// Of a watch that is answered whether there is a change or not.
constexpr Milliseconds kNoWait{1};
/// Time without an answer after which a call that the store answers at once is
/// sent a second time. The store takes a few ms; a connection that a partition
/// has made silent times out after 1.5 s only, which is half of the time for
/// changes.
constexpr Milliseconds kMaxSilence{350};
/// The same for a listing, which takes a call for each page.
constexpr Milliseconds kMaxListSilence{700};

}  // namespace

KindFollower::KindFollower(boost::asio::io_context* io,
                           const ObjectStore* object_store,
                           FollowedKind followed_kind,
                           DecisionLog* decision_log,
                           FollowerEvents follower_events)
    : timer(io),
      silence_timer(io),
      era_timer(io),
      store(object_store),
      kind(std::move(followed_kind)),
      log(decision_log),
      events(std::move(follower_events)),
      random(std::random_device()()) {}

void KindFollower::Start() {
  this->List();
}

void KindFollower::SetFreshness(Freshness wanted) {
  if (wanted == this->freshness)
    return;
  this->freshness = wanted;
  const bool is_answered_soon =
      this->watching && this->watched == Freshness::kLatest;
  this->confirm_at_once = wanted == Freshness::kLatest && !is_answered_soon;
  if (!this->confirm_at_once || !this->watching)
    return;
  ++this->generation;
  this->Watch();
}

void KindFollower::SetPassive(bool wanted) {
  if (wanted == this->passive)
    return;
  this->passive = wanted;
  if (wanted) {
    if (this->backing_off)
      this->Later(this->Backoff(), &KindFollower::Probe);
    return;
  }
  if (this->idle || this->probing) {
    ++this->generation;
    this->probing = false;
    this->Watch();
  } else if (this->backing_off) {
    const TimePoint next = this->failed_at + this->Backoff();
    this->Later(TimeLeft(next, BootNow()), &KindFollower::List);
  }
}

void KindFollower::AdvanceTo(const Place& known) {
  this->place = std::max(this->place, known);
}

void KindFollower::SetPace(const FollowerPace& wanted,
                           Milliseconds latest_watch_wait) {
  this->pace = wanted;
  this->kind.latest_watch_wait = latest_watch_wait;
}

/// Goes on after an answer.
void KindFollower::Continue() {
  if (this->passive) {
    this->idle = true;
    return;
  }
  this->Later(this->pace.watch_pause, &KindFollower::Watch);
}

void KindFollower::List() {
  this->idle = false;
  this->backing_off = false;
  this->watching = false;
  // When a fleet starts, all daemons list and the store may be slow: a second
  // call would add to its load.
  if (this->list_cause == CallCause::kStart) {
    this->unanswered = 1;
    this->SendList();
  } else {
    this->SendTwiceIfSilent(kMaxListSilence, [this] { this->SendList(); });
  }
}

void KindFollower::SendList() {
  CountCall(*this->store, this->list_cause, Freshness::kLatest);
  ListRequest request;
  request.is_wanted = [this, current = this->generation] {
    return current == this->generation;
  };
  request.on_partial = [this](const Listing& listing) {
    this->OnPartialListing(listing);
  };
  this->store->list(
      this->kind.name, request,
      [this, current = this->generation, known = this->place,
       start = BootNow()](const Result<Listing>& listing) {
        if (!this->TakeAnswer(current, !listing))
          return;
        if (!listing) {
          this->OnFailure(listing.error());
          return;
        }
        if (!this->OnListing(listing.value(), known)) {
          this->OnFailure({ErrorCode::kUnknown, "listing of the past"});
          return;
        }
        this->SetReachable(true);
        this->confirm_at_once = false;
        this->SetConfirmed(start);
        this->Continue();
      });
}

/// Returns whether the view is now at least as new as the store was when the
/// call was made. What others have told may have overtaken the listing, but not
/// what was known before.
bool KindFollower::OnListing(Listing listing, const Place& known_when_sent) {
  if (listing.place < known_when_sent || listing.place.era < this->place.era) {
    this->log->Write(kStoreBehind, "",
                     "kind=" + this->kind.name +
                         " revision=" + FormatPlace(this->place) +
                         " shown=" + FormatPlace(listing.place));
    return false;
  }
  if (listing.place < this->place)
    return true;
  listing.since = std::exchange(this->place, listing.place);
  this->events.on_listing(listing);
  return true;
}

/// Without any view, what a listing has shown before it failed is better than
/// nothing.
void KindFollower::OnPartialListing(const Listing& listing) {
  if (!this->place.IsKnown() && this->events.on_partial_listing)
    this->events.on_partial_listing(listing);
}

void KindFollower::CatchUp(const Place& known) {
  if (!known.IsKnown() || known <= std::max(this->place, this->catching_up_to))
    return;
  this->catching_up_to = known;
  CountCall(*this->store, CallCause::kGap, Freshness::kLatest);
  ListRequest request;
  request.is_wanted = [this, known] { return this->place < known; };
  this->store->list(
      this->kind.name, request,
      [this, known_when_sent = this->place,
       start = BootNow()](const Result<Listing>& listing) {
        this->catching_up_to = Place();
        if (listing && this->OnListing(listing.value(), known_when_sent))
          this->SetConfirmed(start);
      });
}

void KindFollower::Confirm(const Place& known, TimePoint at) {
  // Another daemon has reached the store since the last failure of this one, so
  // that a passive follower may call it again soon. An active one keeps its
  // back-off.
  if (this->passive && at > this->failed_at)
    this->failures = std::min(this->failures, 1);
  // What another daemon knows of another era says nothing about this view.
  if (this->place.IsKnown() && known.era == this->place.era &&
      this->place >= known)
    this->confirmed_at = std::max(this->confirmed_at, at);
}

void KindFollower::OnNewEra(Milliseconds max_delay) {
  const auto spread = static_cast<std::uint64_t>(max_delay.count()) + 1;
  const Milliseconds delay(static_cast<std::int64_t>(this->random() % spread));
  this->era_timer.Set(delay, [this] {
    const bool is_current = this->place.era >= this->store->eras->latest;
    if (!is_current && this->place.IsKnown() && !this->passive)
      this->Refresh(CallCause::kEra);
  });
}

void KindFollower::SetConfirmed(TimePoint at) {
  if (at <= this->confirmed_at)
    return;
  this->confirmed_at = at;
  if (this->events.on_confirmed)
    this->events.on_confirmed();
}

void KindFollower::Refresh(CallCause cause) {
  ++this->generation;
  this->timer.Cancel();
  this->list_cause = cause;
  this->List();
}

/// Finds out whether the store answers, without waiting.
void KindFollower::Probe() {
  this->backing_off = false;
  this->probing = true;
  CountCall(*this->store, CallCause::kRetry, Freshness::kStale);
  this->store->watch(
      this->kind.name, Place(this->place.revision, this->store->eras->latest),
      kNoWait, Freshness::kStale,
      [this, current = this->generation](Result<Changes> answer) {
        if (current != this->generation)
          return;
        this->probing = false;
        // History that is gone matters only once it watches again.
        if (!answer && answer.error().code != ErrorCode::kGone) {
          this->OnFailure(answer.error());
          return;
        }
        this->SetReachable(true);
        this->Continue();
      });
}

void KindFollower::ReadChanges() {
  if (!this->passive || !this->idle)
    return;
  this->idle = false;
  ++this->generation;
  this->watching = true;
  this->watched = Freshness::kLatest;
  this->SendTwiceIfSilent(kMaxSilence,
                          [this] { this->SendWatch(kNoWait, true); });
}

void KindFollower::Watch() {
  if (this->passive) {
    this->idle = true;
    return;
  }
  this->idle = false;
  this->backing_off = false;
  const bool latest = this->freshness == Freshness::kLatest;
  const Milliseconds wait =
      latest ? this->kind.latest_watch_wait : this->kind.watch_wait;
  const bool at_once = latest && std::exchange(this->confirm_at_once, false);
  this->watching = true;
  this->watched = this->freshness;
  if (at_once) {
    this->SendTwiceIfSilent(kMaxSilence,
                            [this] { this->SendWatch(kNoWait, true); });
  } else {
    this->unanswered = 1;
    this->SendWatch(wait, latest);
  }
}

void KindFollower::SendWatch(Milliseconds wait, bool latest) {
  CountCall(*this->store,
            wait == kNoWait ? CallCause::kCheck : CallCause::kWatch,
            this->watched);
  this->store->watch(this->kind.name, this->place, wait, this->watched,
                     [this, current = this->generation, start = BootNow(), wait,
                      latest](Result<Changes> changes) {
                       if (!this->TakeAnswer(current, !changes))
                         return;
                       this->watching = false;
                       if (!changes) {
                         this->OnFailure(changes.error());
                         return;
                       }
                       // An answer may be long on its way. An empty one shows
                       // that nothing had changed until its wait was over.
                       TimePoint confirmed;
                       if (latest)
                         confirmed = changes.value().changes.empty()
                                         ? std::min(BootNow(), start + wait)
                                         : start;
                       this->OnWatched(std::move(changes).value(), confirmed);
                     });
}

void KindFollower::OnWatched(Changes changes, TimePoint confirmed) {
  if (changes.place.era != this->place.era) {
    this->OnFailure({ErrorCode::kGone, "changes of another era"});
    return;
  }
  this->SetReachable(true);
  this->OnChanges(std::move(changes));
  this->SetConfirmed(confirmed);
  this->Continue();
}

void KindFollower::OnChanges(Changes changes) {
  // A listing may have overtaken the watch.
  if (changes.place <= this->place)
    return;
  std::vector<Change> news;
  std::set<std::string> known;
  for (auto it = changes.changes.rbegin(); it != changes.changes.rend(); ++it) {
    // An entry that is known to have returned was removed before.
    if (!it->deleted && it->object.place <= this->place)
      known.insert(it->object.name);
    else if (!it->deleted || known.count(it->object.name) == 0)
      news.push_back(std::move(*it));
  }
  std::reverse(news.begin(), news.end());
  changes.changes = std::move(news);
  changes.since = std::exchange(this->place, changes.place);
  if (!changes.changes.empty())
    this->events.on_changes(changes);
}

void KindFollower::OnFailure(const Error& error) {
  if (error.code == ErrorCode::kGone) {
    this->log->Write(
        kHistoryGone, "",
        "kind=" + this->kind.name + " revision=" + FormatPlace(this->place));
    this->list_cause = CallCause::kGap;
    this->List();
    return;
  }
  this->SetReachable(false, error.message);
  this->list_cause = CallCause::kRetry;
  ++this->failures;
  this->failed_at = BootNow();
  this->backing_off = true;
  // Entries may have lapsed or changed without an event meanwhile.
  this->Later(this->Backoff(),
              this->passive ? &KindFollower::Probe : &KindFollower::List);
}

void KindFollower::SetReachable(bool now_reachable, std::string_view reason) {
  if (now_reachable) {
    this->failures = 0;
    this->heard_at = BootNow();
  }
  if (this->reachable == now_reachable)
    return;
  this->reachable = now_reachable;
  this->log->Write(
      now_reachable ? kStoreRegained : kStoreLost, "",
      "kind=" + this->kind.name + " revision=" + FormatPlace(this->place) +
          (reason.empty() ? "" : " reason=\"" + std::string(reason) + "\""));
  if (this->events.on_reachable)
    this->events.on_reachable(now_reachable);
}

}  // namespace coltsfootvane::store
