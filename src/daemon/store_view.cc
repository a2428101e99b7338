#include "daemon/store_view.h"

#include <prometheus/counter.h>
#include <prometheus/registry.h>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>
#include <vector>

#include "daemon/events.h"

namespace coltsfootvane::daemon {
namespace {

/// Configurations are rare, and other daemons tell of them.
constexpr Milliseconds kConfigWatchWait{20'000};
/// Endpoints announce themselves again and again: a watch without an answer has
/// lost it, or the store is away.
constexpr Milliseconds kEndpointWatchWait{2000};
/// Daemons that do not read the store for others list within this time after it
/// has come back from a copy.
constexpr Milliseconds kNewEraSpread{1000};

store::FollowerEvents Events(
    std::function<void(const store::Listing&)> on_listing,
    std::function<void(const store::Changes&)> on_changes) {
  store::FollowerEvents events;
  events.on_listing = std::move(on_listing);
  events.on_changes = std::move(on_changes);
  return events;
}

}  // namespace

StoreView::StoreView(boost::asio::io_context* io,
                     const Deployment* own_deployment,
                     const store::ObjectStore* object_store,
                     gateway::Gateway* own_gateway,
                     fleet::Fleet* own_fleet,
                     DecisionLog* decision_log,
                     Milliseconds change_limit,
                     net::HttpClient* client,
                     unsigned short peer_port)
    : deployment(own_deployment),
      store(object_store),
      gateway(own_gateway),
      fleet(own_fleet),
      log(decision_log),
      config(io,
             object_store,
             {own_deployment->config_kind, kConfigWatchWait,
              LatestWatchWait(change_limit)},
             decision_log,
             this->ConfigEvents()),
      endpoints(io,
                object_store,
                {own_deployment->endpoint_kind, kEndpointWatchWait,
                 LatestWatchWait(change_limit)},
                decision_log,
                this->EndpointEvents()),
      skipped_entries(&prometheus::BuildCounter()
                           .Name("coltsfootvane_store_entries_skipped_total")
                           .Help("Entries that name no endpoint or cannot be "
                                 "read, each once until it is deleted or does")
                           .Register(own_gateway->registry)),
      in_force_limit(change_limit),
      check_counter(
          &prometheus::BuildCounter()
               .Name("coltsfootvane_store_view_checks_total")
               .Help("Reads of the latest state because no daemon had shown "
                     "for too long that the view is complete")
               .Register(own_gateway->registry)
               .Add({})),
      news(io,
           own_gateway,
           own_fleet,
           client,
           peer_port,
           &this->counts,
           this->Target()),
      config_sync(io,
                  own_deployment,
                  own_gateway,
                  own_fleet,
                  client,
                  peer_port,
                  &this->counts,
                  this->TargetOfConfig()),
      departure_sync(own_fleet,
                     client,
                     peer_port,
                     decision_log,
                     this->TargetOfDepartures()) {
  this->store->eras->observers.push_back(
      [this](const store::EraChange& change) { this->OnNewEra(change.to); });
}

store::FollowerEvents StoreView::ConfigEvents() {
  store::FollowerEvents events = Events(
      [this](const store::Listing& listing) {
        for (const store::Object& object : listing.objects)
          this->OnConfig(object);
        this->SendNews();
      },
      [this](const store::Changes& changes) {
        for (const store::Change& change : changes.changes) {
          if (!change.deleted)
            this->OnConfig(change.object);
        }
        this->SendNews();
      });
  events.on_partial_listing = events.on_listing;
  events.on_confirmed = [this] { this->OnConfirmed(); };
  return events;
}

store::FollowerEvents StoreView::EndpointEvents() {
  store::FollowerEvents events = Events(
      [this](const store::Listing& listing) {
        this->OnEndpointListing(listing);
      },
      [this](const store::Changes& changes) {
        this->OnEndpointChanges(changes);
      });
  events.on_partial_listing = [this](const store::Listing& listing) {
    this->OnPartialEndpointListing(listing);
  };
  events.on_reachable = [this](bool reachable) {
    this->OnEndpointsReachable(reachable);
  };
  events.on_confirmed = [this] { this->OnConfirmed(); };
  return events;
}

/// What has kept the answer of one watch may have kept that of the other.
void StoreView::OnEndpointsReachable(bool reachable) {
  if (!reachable)
    this->endpoints_lost_at = BootNow();
  else if (!this->relies_on_news && this->config.Reachable() &&
           this->config.HeardAt() < this->endpoints_lost_at)
    this->config.Refresh();
}

void StoreView::Start() {
  this->config.Start();
  this->endpoints.Start();
}

void StoreView::CatchUp(const fleet::SeenChanges& told) {
  store::LearnEra(told.era, this->store->eras.get());
  if (this->large) {
    if (told.config > this->fleet->seen.config)
      this->config_sync.Want(told.config, told.reporter);
    // Before the first listing of an era any daemon that has one knows more.
    const store::Place& own = this->endpoints.At();
    const bool is_listed = this->endpoints_known && told.era <= own.era;
    const store::Place& wanted =
        is_listed ? told.departure : told.max_departure;
    if (wanted > own)
      this->news.WantEndpoints(wanted, told.reporter);
  } else {
    this->config.CatchUp(told.config);
    this->endpoints.CatchUp(told.departure);
  }
  this->YieldTo(told);
  const TimePoint before = this->endpoints.ConfirmedAt();
  this->config.Confirm(told.config, told.confirmed_at);
  this->endpoints.Confirm(told.max_departure, told.confirmed_at);
  // Whom this daemon confirms in turn must have the same departures.
  if (this->large && this->endpoints.ConfirmedAt() > before)
    this->RaiseMaxDeparture(told.max_departure);
  this->UpdateConfirmation();
}

/// What was listed in an earlier era stays in force until it is listed anew.
void StoreView::OnNewEra(std::int64_t era) {
  this->fleet->seen.era = era;
  // Processes that run register again after the return of the store, whenever
  // this daemon lists them.
  if (this->endpoints_known)
    departure::BeginEra(BootNow(), &this->departed);
  this->departure_sync.AskAgain(BootNow());
  const bool reads =
      this->large ? this->rank == 0 : this->fleet->ReadsLatestState();
  const Milliseconds max_delay = reads ? Milliseconds(0) : kNewEraSpread;
  this->config.OnNewEra(max_delay);
  this->endpoints.OnNewEra(max_delay);
}

/// Returns whether the view is known to be complete for longer than before.
bool StoreView::UpdateConfirmation() {
  const TimePoint at =
      std::min(this->config.ConfirmedAt(), this->endpoints.ConfirmedAt());
  const bool is_news = at > this->check.confirmed_at;
  RecordConfirmation(at, this->in_force_limit, &this->gateway->random,
                     &this->check);
  this->fleet->seen.confirmed_at = this->check.confirmed_at;
  this->gateway->view_confirmed_at = this->check.confirmed_at;
  this->gateway->view_valid_until =
      this->check.confirmed_at + this->in_force_limit;
  return is_news;
}

/// Called when the store has shown its latest state to this daemon.
void StoreView::OnConfirmed() {
  if (!this->UpdateConfirmation())
    return;
  // Others can be confirmed only if they know the same departures.
  const bool are_untold = !this->changes.empty();
  if (are_untold)
    this->RaiseMaxDeparture(this->endpoints.At());
  const store::Place& departures_to = this->fleet->seen.max_departure;
  if (are_untold || (this->Tells() && departures_to > this->news.LoggedTo()))
    this->RecordChanges(this->endpoints.At());
  // The others are about to check as well, unless they hear of this.
  const bool checked = std::exchange(this->checking, false);
  if (checked && !this->large)
    this->fleet->ReportNow();
  else if (this->large || this->fleet->ReadsLatestState())
    this->fleet->SpreadConfirmation();
}

void StoreView::BeginCheck(TimePoint now) {
  this->checking = true;
  this->check_counter->Increment();
  const auto age =
      std::chrono::duration_cast<Milliseconds>(now - this->check.confirmed_at);
  this->log->Write(
      kViewUnconfirmed, "",
      "age_ms=" + std::to_string(age.count()) +
          " config_revision=" + store::FormatPlace(this->config.At()) +
          " endpoints_revision=" + store::FormatPlace(this->endpoints.At()));
}

void StoreView::Refresh() {
  if (this->relies_on_news)
    return;
  this->config.Refresh();
  this->endpoints.Refresh();
}

void StoreView::Tick() {
  this->SendNews();
  const TimePoint now = BootNow();
  this->EndWaits(now);
  if (this->endpoints_known)
    this->departure_sync.Tick(now);
  this->UpdateRole(now);
  const bool due =
      IsCheckDue(this->check, now) || (this->large && this->IsStandbyDue(now));
  const bool reads_latest = this->large
                                ? this->rank == 0 || now < this->reads_until
                                : this->fleet->ReadsLatestState();
  if (this->large && !due)
    this->checking = false;
  if (due && !reads_latest && !this->checking && this->endpoints_known)
    this->BeginCheck(now);
  const auto freshness = reads_latest || due ? store::Freshness::kLatest
                                             : store::Freshness::kStale;
  this->relies_on_news = this->large && freshness == store::Freshness::kStale &&
                         this->config.At().IsKnown() && this->endpoints_known;
  this->config.SetFreshness(freshness);
  this->endpoints.SetFreshness(freshness);
  this->config.SetPassive(this->relies_on_news);
  this->endpoints.SetPassive(this->relies_on_news);
}

void StoreView::OnConfig(const store::Object& object) {
  if (object.name != this->deployment->config_name)
    return;
  if (object.fault.empty()) {
    this->config_sync.OnStoreText(object.place, object.text);
    return;
  }
  this->log->Write(kConfigUnreadable, "", "reason=\"" + object.fault + "\"");
  this->OnConfigKnown(object.place);
}

void StoreView::OnConfigKnown(const store::Place& place) {
  store::LearnEra(place.era, this->store->eras.get());
  if (place > this->fleet->seen.config) {
    this->fleet->seen.era = this->store->eras->latest;
    this->fleet->seen.config = place;
    this->news_to_send = true;
  }
  this->config.AdvanceTo(place);
  this->SendNews();
}

gateway::HealthAnswer StoreView::Answer(std::string_view path) {
  constexpr int kNotFound = 404;
  gateway::HealthAnswer answer = this->config_sync.Answer(path);
  if (answer.status == kNotFound)
    answer = this->departure_sync.Answer(path);
  return answer.status == kNotFound ? this->news.Answer(path) : answer;
}

void StoreView::SendNews() {
  const bool reachable =
      this->config.Reachable() && this->endpoints.Reachable();
  const bool was_reachable =
      std::exchange(this->fleet->seen.reachable, reachable);
  const bool urgent = std::exchange(this->news_to_send, false);
  if (this->large) {
    // The others choose another reader.
    if (was_reachable && !reachable && this->Tells())
      this->fleet->SpreadConfirmation();
    return;
  }
  if (urgent && (this->checking || this->fleet->ReadsLatestState()))
    this->fleet->ReportNow();
}

}  // namespace coltsfootvane::daemon
