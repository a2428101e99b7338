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
                     const store::ObjectStore* store,
                     gateway::Gateway* own_gateway,
                     fleet::Fleet* own_fleet,
                     DecisionLog* decision_log,
                     Milliseconds change_limit,
                     net::HttpClient* client,
                     unsigned short peer_port)
    : deployment(own_deployment),
      gateway(own_gateway),
      fleet(own_fleet),
      log(decision_log),
      config(io,
             store,
             {own_deployment->config_kind, kConfigWatchWait,
              LatestWatchWait(change_limit)},
             decision_log,
             this->ConfigEvents()),
      endpoints(io,
                store,
                {own_deployment->endpoint_kind, kEndpointWatchWait,
                 LatestWatchWait(change_limit)},
                decision_log,
                this->EndpointEvents()),
      skipped_entries(&prometheus::BuildCounter()
                           .Name("coltsfootvane_store_entries_skipped_total")
                           .Help("Versions of entries that name no endpoint or "
                                 "cannot be read")
                           .Register(own_gateway->registry)),
      in_force_limit(change_limit),
      check_counter(
          &prometheus::BuildCounter()
               .Name("coltsfootvane_store_view_checks_total")
               .Help("Reads of the latest state because no daemon had shown "
                     "for too long that the view is complete")
               .Register(own_gateway->registry)
               .Add({})),
      news(io, own_gateway, own_fleet, client, peer_port, this->Target()) {}

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

void StoreView::CatchUp(const fleet::SeenRevisions& seen) {
  if (this->large) {
    if (seen.config_revision > this->fleet->seen_revisions.config_revision)
      this->news.WantConfig(seen.config_revision, seen.reporter);
    // Before the first listing any daemon that has one knows more.
    const std::int64_t told_of = this->endpoints_known
                                     ? seen.endpoints_revision
                                     : seen.max_departure_revision;
    if (told_of > this->endpoints.Revision())
      this->news.WantEndpoints(told_of, seen.reporter);
  } else {
    this->config.CatchUp(seen.config_revision);
    this->endpoints.CatchUp(seen.endpoints_revision);
  }
  const TimePoint before = this->endpoints.ConfirmedAt();
  this->config.Confirm(seen.config_revision, seen.confirmed_at);
  this->endpoints.Confirm(seen.max_departure_revision, seen.confirmed_at);
  // Whom this daemon confirms in turn must have the same departures.
  if (this->large && this->endpoints.ConfirmedAt() > before)
    this->RaiseMaxDeparture(seen.max_departure_revision);
  this->UpdateConfirmation();
}

/// Returns whether the view is known to be complete for longer than before.
bool StoreView::UpdateConfirmation() {
  const TimePoint at =
      std::min(this->config.ConfirmedAt(), this->endpoints.ConfirmedAt());
  const bool is_news = at > this->check.confirmed_at;
  RecordConfirmation(at, this->in_force_limit, &this->gateway->random,
                     &this->check);
  this->fleet->seen_revisions.confirmed_at = this->check.confirmed_at;
  this->gateway->view_confirmed_at = this->check.confirmed_at;
  return is_news;
}

/// Called when the store has shown its latest state to this daemon.
void StoreView::OnConfirmed() {
  if (!this->UpdateConfirmation())
    return;
  // Others can be confirmed only if they know the same departures.
  const std::int64_t departures_to =
      this->fleet->seen_revisions.max_departure_revision;
  if (this->Tells() && departures_to > this->news.LoggedTo())
    this->RecordChanges({});
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
          " config_revision=" + std::to_string(this->config.Revision()) +
          " endpoints_revision=" + std::to_string(this->endpoints.Revision()));
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
                         this->config.Revision() > 0 && this->endpoints_known;
  this->config.SetFreshness(freshness);
  this->endpoints.SetFreshness(freshness);
  this->config.SetPassive(this->relies_on_news);
  this->endpoints.SetPassive(this->relies_on_news);
}

void StoreView::OnConfig(const store::Object& object) {
  if (object.name != this->deployment->config_name)
    return;
  if (object.revision > this->fleet->seen_revisions.config_revision) {
    this->fleet->seen_revisions.config_revision = object.revision;
    this->news_to_send = true;
    if (object.fault.empty())
      this->news.RecordConfig(object.revision, object.spec, this->Tells());
  }
  Result<gateway::RoutingTable> table =
      object.fault.empty() ? this->deployment->read_config(object.spec)
                           : Error{ErrorCode::kInvalid, object.fault};
  if (!table) {
    this->log->Write(kConfigUnreadable, "",
                     "reason=\"" + table.error().message + "\"");
    return;
  }
  gateway::ApplyRoutingTable(this->gateway, std::move(table).value());
}

void StoreView::OnEndpointListing(const store::Listing& listing) {
  std::set<std::string> listed;
  this->listed_ahead.clear();
  for (const store::Object& object : listing.objects) {
    listed.insert(object.name);
    if (object.revision > listing.revision)
      this->listed_ahead.insert(object.name);
    this->UpsertEndpoint(object);
  }
  const bool gone = this->RemoveOthers(listed);
  for (auto it = this->skipped_revisions.begin();
       it != this->skipped_revisions.end();)
    it = listed.count(it->first) == 0 ? this->skipped_revisions.erase(it)
                                      : std::next(it);
  if (gone)
    this->NoteDeparture(listing.revision);
  // Endpoints may have come and gone unseen since the view was last complete.
  // One that lives for less than the time for changes is not waited for.
  if (BootNow() - this->check.confirmed_at > this->in_force_limit)
    this->RaiseMaxDeparture(listing.revision);
  gateway::UpdateEndpointList(this->gateway);
  if (!std::exchange(this->endpoints_known, true)) {
    this->changes.clear();
    this->news.BeginLog(listing.revision);
  } else {
    fleet::gen::StoreBatch batch;
    batch.base_until = listing.since;
    fleet::OrderListed(&this->changes);
    this->RecordChanges(batch);
  }
  this->SendNews();
}

void StoreView::OnEndpointChanges(const store::Changes& changes) {
  for (const store::Change& change : changes.changes)
    this->ApplyChange(change, changes.revision);
  gateway::UpdateEndpointList(this->gateway);
  this->RecordChanges({});
  this->SendNews();
}

void StoreView::UpsertEndpoint(const store::Object& object) {
  Result<gateway::EndpointEntry> entry =
      object.fault.empty()
          ? this->deployment->read_endpoint(object.name, object.spec)
          : Error{ErrorCode::kInvalid, object.fault};
  if (!entry) {
    // kNotFound: it cannot be told which start of the endpoint the entry is
    // about, so that a known endpoint stays as it is.
    if (entry.error().code != ErrorCode::kNotFound)
      this->RemoveEndpoint(object.name, object.revision);
    this->SkipEndpoint(object, entry.error().message);
    return;
  }
  this->skipped_revisions.erase(object.name);
  this->UpsertEntry(std::move(entry).value(), object.revision);
}

void StoreView::UpsertEntry(gateway::EndpointEntry entry,
                            std::int64_t revision) {
  const auto found = this->gateway->endpoints.endpoints.find(entry.id);
  const bool is_known = found != this->gateway->endpoints.endpoints.end();
  const bool news = !is_known ||
                    found->second->entry.draining != entry.draining ||
                    found->second->entry.incarnation != entry.incarnation;
  const fleet::gen::EndpointFields fields = fleet::ToWire(entry);
  if (!is_known || fields != fleet::ToWire(found->second->entry)) {
    fleet::gen::EndpointNews change;
    change.id = entry.id;
    change.revision = revision;
    change.__set_fields(fields);
    this->changes.push_back(std::move(change));
  }
  if (news && entry.draining)
    this->NoteDeparture(revision);
  if (news) {
    this->log->Write(gateway::kEndpointChanged, "",
                     "endpoint=" + entry.id + " service=" + entry.service +
                         " state=" + (entry.draining ? "draining" : "ready") +
                         " revision=" + std::to_string(revision));
  }
  gateway::UpsertEndpoint(&this->gateway->endpoints, std::move(entry));
}

/// Counts and logs an entry that names no usable endpoint, once for each of its
/// revisions, however often it is listed.
void StoreView::SkipEndpoint(const store::Object& object,
                             const std::string& reason) {
  const auto [known, inserted] =
      this->skipped_revisions.emplace(object.name, object.revision);
  if (!inserted && known->second == object.revision)
    return;
  known->second = object.revision;
  this->skipped_entries->Add({{"kind", this->deployment->endpoint_kind}})
      .Increment();
  this->log->Write(kEndpointUnreadable, "",
                   "endpoint=" + Printable(object.name) + " reason=\"" +
                       reason +
                       "\" revision=" + std::to_string(object.revision));
}

void StoreView::RaiseMaxDeparture(std::int64_t revision) {
  std::int64_t& highest = this->fleet->seen_revisions.max_departure_revision;
  highest = std::max(highest, revision);
}

/// Endpoints that leave are urgent news: they get no new work.
void StoreView::NoteDeparture(std::int64_t revision) {
  this->RaiseMaxDeparture(revision);
  this->departures = true;
  // The others are to rely on what this daemon tells them.
  if (this->large && !this->Tells() && !this->relies_on_news)
    return;
  if (revision <= this->fleet->seen_revisions.endpoints_revision)
    return;
  this->fleet->seen_revisions.endpoints_revision = revision;
  this->news_to_send = true;
}

void StoreView::SendNews() {
  const bool reachable =
      this->config.Reachable() && this->endpoints.Reachable();
  const bool was_reachable =
      std::exchange(this->fleet->seen_revisions.reachable, reachable);
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

void StoreView::RemoveEndpoint(const std::string& id, std::int64_t unusable) {
  if (this->gateway->endpoints.endpoints.count(id) == 0)
    return;
  this->log->Write(gateway::kEndpointGone, "", "endpoint=" + id);
  gateway::RemoveEndpoint(&this->gateway->endpoints, id);
  this->TellRemoval(id, unusable);
}

bool StoreView::RemoveOthers(const std::set<std::string>& listed) {
  std::vector<std::string> gone;
  for (const auto& [id, endpoint] : this->gateway->endpoints.endpoints) {
    if (listed.count(id) == 0)
      gone.push_back(id);
  }
  for (const std::string& id : gone)
    this->RemoveEndpoint(id, kDeleted);
  return !gone.empty();
}

}  // namespace coltsfootvane::daemon
