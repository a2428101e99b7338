#include "store/kind_follower.h"

#include <algorithm>
#include <utility>

#include "store/events.h"

namespace coltsfootvane::store {
namespace {

using BoostError = boost::system::error_code;

/// Between two watches, so that changes in quick succession take one call.
constexpr Milliseconds kWatchPause{250};
/// Of a watch that is answered whether there is a change or not.
constexpr Milliseconds kNoWait{1};
constexpr Milliseconds kFirstBackoff{300};
constexpr int kMostDoublings = 2;

}  // namespace

KindFollower::KindFollower(boost::asio::io_context* io,
                           const ObjectStore* object_store,
                           FollowedKind followed_kind,
                           DecisionLog* decision_log,
                           FollowerEvents follower_events)
    : timer(*io),
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

void KindFollower::List() {
  this->watching = false;
  CountCall(*this->store, this->list_cause, Freshness::kLatest);
  this->store->list(this->kind.name, Freshness::kLatest,
                    [this, current = this->generation,
                     start = BootNow()](const Result<Listing>& listing) {
                      if (current != this->generation)
                        return;
                      if (!listing) {
                        this->OnFailure(listing.error());
                        return;
                      }
                      this->SetReachable(true);
                      this->OnListing(listing.value());
                      this->confirm_at_once = false;
                      this->SetConfirmed(start);
                      this->Later(kWatchPause, &KindFollower::Watch);
                    });
}

void KindFollower::OnListing(const Listing& listing) {
  if (listing.revision < this->revision)
    return;
  this->revision = listing.revision;
  this->events.on_listing(listing);
}

void KindFollower::CatchUp(std::int64_t known_revision) {
  if (known_revision <= std::max(this->revision, this->catching_up_to))
    return;
  this->catching_up_to = known_revision;
  CountCall(*this->store, CallCause::kGap, Freshness::kLatest);
  this->store->list(this->kind.name, Freshness::kLatest,
                    [this, start = BootNow()](const Result<Listing>& listing) {
                      this->catching_up_to = 0;
                      if (!listing)
                        return;
                      this->OnListing(listing.value());
                      this->SetConfirmed(start);
                    });
}

void KindFollower::Confirm(std::int64_t known_revision, TimePoint at) {
  if (this->revision > 0 && this->revision >= known_revision)
    this->confirmed_at = std::max(this->confirmed_at, at);
}

void KindFollower::SetConfirmed(TimePoint at) {
  if (at <= this->confirmed_at)
    return;
  this->confirmed_at = at;
  if (this->events.on_confirmed)
    this->events.on_confirmed();
}

void KindFollower::Refresh() {
  ++this->generation;
  this->timer.cancel();
  this->list_cause = CallCause::kRetry;
  this->List();
}

void KindFollower::Watch() {
  const bool latest = this->freshness == Freshness::kLatest;
  Milliseconds wait =
      latest ? this->kind.latest_watch_wait : this->kind.watch_wait;
  const bool at_once = latest && std::exchange(this->confirm_at_once, false);
  if (at_once)
    wait = kNoWait;
  CountCall(*this->store, at_once ? CallCause::kCheck : CallCause::kWatch,
            this->freshness);
  this->watching = true;
  this->watched = this->freshness;
  this->store->watch(this->kind.name, this->revision, wait, this->freshness,
                     [this, current = this->generation, start = BootNow(), wait,
                      latest](Result<Changes> changes) {
                       if (current != this->generation)
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
  this->SetReachable(true);
  this->OnChanges(std::move(changes));
  this->SetConfirmed(confirmed);
  this->Later(kWatchPause, &KindFollower::Watch);
}

void KindFollower::OnChanges(Changes changes) {
  // A listing may have overtaken the watch.
  if (changes.revision <= this->revision)
    return;
  const auto known = std::remove_if(
      changes.changes.begin(), changes.changes.end(),
      [this](const Change& change) {
        return !change.deleted && change.object.revision <= this->revision;
      });
  changes.changes.erase(known, changes.changes.end());
  this->revision = changes.revision;
  if (!changes.changes.empty())
    this->events.on_changes(changes);
}

void KindFollower::OnFailure(const Error& error) {
  if (error.code == ErrorCode::kGone) {
    this->log->Write(kHistoryGone, "",
                     "kind=" + this->kind.name +
                         " revision=" + std::to_string(this->revision));
    this->list_cause = CallCause::kGap;
    this->List();
    return;
  }
  this->SetReachable(false, error.message);
  this->list_cause = CallCause::kRetry;
  const int doublings = std::min(this->failures++, kMostDoublings);
  const auto backoff = kFirstBackoff * (1 << doublings);
  const auto jitter = static_cast<std::int64_t>(
      this->random() % static_cast<std::uint64_t>(backoff.count() / 2));
  // Entries may have lapsed or changed without an event meanwhile.
  this->Later(backoff + Milliseconds(jitter), &KindFollower::List);
}

void KindFollower::Later(Milliseconds pause, void (KindFollower::*step)()) {
  this->timer.expires_after(pause);
  this->timer.async_wait([this, step](const BoostError& ec) {
    if (!ec)
      (this->*step)();
  });
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
      "kind=" + this->kind.name +
          " revision=" + std::to_string(this->revision) +
          (reason.empty() ? "" : " reason=\"" + std::string(reason) + "\""));
  if (this->events.on_reachable)
    this->events.on_reachable(now_reachable);
}

}  // namespace coltsfootvane::store
