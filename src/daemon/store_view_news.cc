#include <algorithm>
#include <utility>

#include "daemon/events.h"
#include "daemon/store_view.h"

namespace coltsfootvane::daemon {
namespace {

namespace gen = fleet::gen;

/// The first reads the store for all, the next ones stand by.
constexpr std::size_t kReaders = 3;
// Shares of the time within which changes must be in force.
/// Of the reader between two watches, and of a watch without a change. News
/// are then so frequent that a single lost datagram makes nobody read itself.
constexpr double kReaderShare = 0.1;
/// After which the first standby reads, as nobody has confirmed its view; the
/// next ones follow after another kStandbyStep each.
constexpr double kStandbyShare = 0.42;
constexpr double kStandbyStep = 0.04;
/// For which a standby goes on reading, unless a reader before it reads again.
constexpr double kActingShare = 3;
/// What a daemon has read may come back to it in the report of another one,
/// later by up to this time.
constexpr Milliseconds kMaxEcho{100};
/// Refused daemons come back after 0.6 to 14 s, at different times. The readers
/// come back sooner and bring the news; if they cannot, the first of the others
/// to come back does, which takes some 100 ms in a fleet of 100.
constexpr int kFirstFollowerDoublings = 2;
constexpr int kMaxFollowerDoublings = 5;

Milliseconds Share(Milliseconds limit, double share) {
  return Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(limit.count()) * share));
}

}  // namespace

NewsTarget StoreView::Target() {
  NewsTarget target;
  target.endpoints_place = [this] {
    return this->endpoints_known ? this->endpoints.At() : store::Place();
  };
  target.apply_batch = [this](const gen::StoreBatch& batch) {
    this->ApplyBatch(batch);
  };
  target.apply_snapshot = [this](const gen::StoreBatch& all) {
    this->ApplySnapshot(all);
  };
  target.make_snapshot = [this] { return this->MakeSnapshot(); };
  target.read_endpoint_changes = [this] { this->endpoints.ReadChanges(); };
  target.list_endpoints = [this] {
    this->endpoints.Refresh(store::CallCause::kGap);
  };
  return target;
}

ConfigTarget StoreView::TargetOfConfig() {
  ConfigTarget target;
  target.tells = [this] { return this->Tells(); };
  target.list = [this] { this->config.Refresh(store::CallCause::kGap); };
  target.on_known = [this](const store::Place& place) {
    this->OnConfigKnown(place);
  };
  return target;
}

bool StoreView::Tells() const {
  return this->large &&
         (this->rank == 0 || this->checking || BootNow() < this->reads_until);
}

/// Records the changes that lead from views up to `base_until` to the present
/// one, and tells them. What cannot be told at a later place than before stays
/// for the next time.
void StoreView::RecordChanges(const store::Place& base_until) {
  const store::Place& at = this->endpoints.At();
  const store::Place& from = this->news.LoggedTo();
  const bool has_news =
      !this->changes.empty() || this->fleet->seen.max_departure > from;
  if (!has_news || at <= from)
    return;
  if (from.era != base_until.era) {
    this->changes.clear();
    this->news.BeginLog(at);
    return;
  }
  fleet::gen::StoreBatch batch;
  batch.changes = std::exchange(this->changes, {});
  const bool urgent = std::exchange(this->departures, false);
  fleet::SetRange({from, base_until, at}, &batch);
  this->news.Record(batch, this->Tells(), urgent);
}

/// Applies a change from a watch and records it for the other daemons. The
/// later pages of a listing may show changes that are newer than its revision.
/// The watch that follows brings these again: they no longer change anything in
/// this daemon, but the others still have to be told.
void StoreView::ApplyChange(const store::Change& change,
                            const store::Place& place) {
  const std::string& id = change.object.name;
  const std::size_t recorded = this->changes.size();
  if (change.deleted) {
    this->skipped.erase(id);
    this->RemoveEndpoint(id, kDeleted);
    if (this->changes.size() == recorded)
      this->TellRemoval(id, kDeleted);
    this->NoteDeparture(place);
    return;
  }
  this->UpsertEndpoint(change.object);
  const auto found = this->gateway->endpoints.endpoints.find(id);
  if (this->changes.size() > recorded || this->listed_ahead.count(id) == 0 ||
      found == this->gateway->endpoints.endpoints.end())
    return;
  const gateway::EndpointEntry& entry = found->second->entry;
  fleet::gen::EndpointNews repeated;
  repeated.id = id;
  repeated.revision = change.object.place.revision;
  repeated.__set_fields(fleet::ToWire(entry));
  this->changes.push_back(std::move(repeated));
  if (entry.draining)
    this->NoteDeparture(change.object.place);
}

/// Records for the other daemons that the endpoint is deleted or unusable.
void StoreView::TellRemoval(const std::string& id,
                            const store::Place& unusable) {
  fleet::gen::EndpointNews change;
  change.id = id;
  change.deleted = unusable == kDeleted;
  change.revision = unusable.revision;
  this->changes.push_back(std::move(change));
}

void StoreView::ApplyBatch(const gen::StoreBatch& batch) {
  const store::Place known = this->endpoints.At();
  const store::Place to = fleet::RangeOf(batch).to;
  store::LearnEra(to.era, this->store->eras.get());
  for (std::size_t i = 0; i < batch.changes.size(); ++i) {
    const gen::EndpointNews& change = batch.changes[i];
    if (!fleet::IsNews(batch, i, known))
      continue;
    const store::Place place = fleet::PlaceOf(change, batch);
    Result<gateway::EndpointEntry> entry =
        change.__isset.fields ? fleet::FromWire(change.id, change.fields)
                              : Error{ErrorCode::kInvalid, "no entry"};
    if (entry || change.deleted)
      this->skipped.erase(change.id);
    if (entry) {
      this->UpsertEntry(std::move(entry).value(), place);
      continue;
    }
    if (change.__isset.fields)
      this->SkipEndpoint(change.id, place, entry.error().message);
    this->RemoveEndpoint(change.id, change.deleted ? kDeleted : place);
    if (change.deleted)
      this->NoteDeparture(to);
  }
  // The first listing of an era may hide departures.
  if (to.era != known.era)
    this->RaiseMaxDeparture(to);
  this->AdvanceTo(to);
}

void StoreView::ApplySnapshot(const gen::StoreBatch& all) {
  const store::Place to = fleet::RangeOf(all).to;
  store::LearnEra(to.era, this->store->eras.get());
  std::set<std::string> listed;
  for (const gen::EndpointNews& change : all.changes) {
    Result<gateway::EndpointEntry> entry =
        fleet::FromWire(change.id, change.fields);
    const store::Place place = fleet::PlaceOf(change, all);
    if (!entry) {
      this->SkipEndpoint(change.id, place, entry.error().message);
      continue;
    }
    listed.insert(change.id);
    this->UpsertEntry(std::move(entry).value(), place);
  }
  this->RemoveOthers(listed);
  // It does not tell when endpoints have left, nor of those that came and went.
  this->RaiseMaxDeparture(to);
  this->endpoints_known = true;
  this->AdvanceTo(to);
}

/// Ends the application of what another daemon has told.
void StoreView::AdvanceTo(const store::Place& place) {
  this->changes.clear();
  this->departures = false;
  this->endpoints.AdvanceTo(place);
  gateway::UpdateEndpointList(this->gateway);
  this->SendNews();
}

gen::StoreBatch StoreView::MakeSnapshot() const {
  const store::Place& at = this->endpoints.At();
  gen::StoreBatch all;
  fleet::SetRange({store::Place(0, at.era), store::Place(0, at.era), at}, &all);
  for (const auto& [id, endpoint] : this->gateway->endpoints.endpoints) {
    gen::EndpointNews change;
    change.id = id;
    change.revision = at.revision;
    change.__set_fields(fleet::ToWire(endpoint->entry));
    all.changes.push_back(std::move(change));
  }
  return all;
}

bool StoreView::IsStandbyDue(TimePoint now) const {
  if (this->rank == 0 || this->rank >= static_cast<int>(kReaders) ||
      this->check.confirmed_at == TimePoint())
    return false;
  const double share = kStandbyShare + kStandbyStep * this->rank;
  return now - this->check.confirmed_at > Share(this->in_force_limit, share);
}

void StoreView::YieldTo(const fleet::SeenChanges& told) {
  const TimePoint now = BootNow();
  if (!this->large || this->rank == 0 || now >= this->reads_until)
    return;
  const auto own = std::find(this->readers.begin(), this->readers.end(),
                             this->fleet->OwnAddress());
  const bool is_before =
      std::find(this->readers.begin(), own, told.reporter) != own;
  if (is_before && told.reachable &&
      told.confirmed_at > this->check.confirmed_at + kMaxEcho)
    this->reads_until = now;
}

/// Finds out whether this daemon reads for the others.
void StoreView::UpdateRole(TimePoint now) {
  const bool was_reader = this->large && this->rank == 0;
  this->large = this->fleet->IsLarge();
  this->check.latest_share =
      this->large ? ViewCheck::kLargeFleetShare : ViewCheck::kUsualShare;
  this->readers = this->large ? this->fleet->Readers(kReaders)
                              : std::vector<std::uint32_t>();
  const std::vector<std::uint32_t>& readers = this->readers;
  const auto own =
      std::find(readers.begin(), readers.end(), this->fleet->OwnAddress());
  this->rank = static_cast<int>(own - readers.begin());
  if (this->large && this->IsStandbyDue(now))
    this->reads_until = now + Share(this->in_force_limit, kActingShare);
  store::FollowerPace pace;
  Milliseconds latest_wait = LatestWatchWait(this->in_force_limit);
  if (this->large) {
    latest_wait = Share(this->in_force_limit, kReaderShare);
    pace.watch_pause = latest_wait;
    if (this->rank >= static_cast<int>(readers.size())) {
      pace.first_doublings = kFirstFollowerDoublings;
      pace.max_doublings = kMaxFollowerDoublings;
    }
  }
  this->config.SetPace(pace, latest_wait);
  this->endpoints.SetPace(pace, latest_wait);
  // What has lapsed without an event while nobody read is seen by a listing.
  if (this->large && this->rank == 0 && !was_reader && this->relies_on_news)
    this->endpoints.Refresh(store::CallCause::kCheck);
  std::string role = "all";
  if (this->large)
    role = this->rank == 0                                 ? "reader"
           : this->rank < static_cast<int>(readers.size()) ? "standby"
                                                           : "follower";
  std::string state = "role=" + role;
  if (this->large)
    state +=
        " reader=" + boost::asio::ip::address_v4(readers.front()).to_string();
  if (state == this->logged_role)
    return;
  this->logged_role = state;
  this->log->Write(
      kStoreReader, "",
      state + " daemons=" + std::to_string(this->fleet->CountLiveDaemons()));
}

}  // namespace coltsfootvane::daemon
