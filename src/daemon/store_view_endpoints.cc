#include <prometheus/counter.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "base/name_text.h"
#include "daemon/events.h"
#include "daemon/store_view.h"

namespace coltsfootvane::daemon {

void StoreView::OnEndpointListing(const store::Listing& listing) {
  this->fleet->seen.era = this->store->eras->latest;
  std::set<std::string> listed;
  this->listed_ahead.clear();
  for (const store::Object& object : listing.objects) {
    listed.insert(object.name);
    if (object.place > listing.place)
      this->listed_ahead.insert(object.name);
    this->UpsertEndpoint(object);
  }
  const bool gone = this->RemoveOthers(listed);
  for (auto it = this->skipped.begin(); it != this->skipped.end();)
    it = listed.count(*it) == 0 ? this->skipped.erase(it) : std::next(it);
  if (gone)
    this->NoteDeparture(listing.place);
  // Endpoints may have come and gone unseen since the view was last complete.
  // One that lives for less than the time for changes is not waited for.
  if (departure::AwaitsReturns(BootNow(), this->departed) ||
      BootNow() - this->check.confirmed_at > this->in_force_limit)
    this->RaiseMaxDeparture(listing.place);
  gateway::UpdateEndpointList(this->gateway);
  // A log that ends in another era than the view began in has no way to here.
  const bool continues_log = this->news.LoggedTo().era == listing.since.era;
  if (!std::exchange(this->endpoints_known, true) || !continues_log) {
    this->changes.clear();
    this->news.BeginLog(listing.place);
  } else {
    fleet::OrderListed(&this->changes);
    this->RecordChanges(listing.since);
  }
  this->SendNews();
}

/// Uses what a daemon without any view could read. Nothing counts as removed,
/// and nobody is told, since the others may know more.
void StoreView::OnPartialEndpointListing(const store::Listing& listing) {
  if (this->endpoints_known)
    return;
  for (const store::Object& object : listing.objects)
    this->UpsertEndpoint(object);
  this->changes.clear();
  this->some_endpoints_known = !this->gateway->endpoints.endpoints.empty();
  gateway::UpdateEndpointList(this->gateway);
}

void StoreView::OnEndpointChanges(const store::Changes& changes) {
  for (const store::Change& change : changes.changes)
    this->ApplyChange(change, changes.place);
  gateway::UpdateEndpointList(this->gateway);
  this->RecordChanges(this->endpoints.At());
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
      this->RemoveEndpoint(object.name, object.place);
    this->SkipEndpoint(object.name, object.place, entry.error().message);
    return;
  }
  this->skipped.erase(object.name);
  this->UpsertEntry(std::move(entry).value(), object.place);
}

/// Applies an entry, but for what an older copy of the store undoes.
void StoreView::UpsertEntry(gateway::EndpointEntry entry,
                            const store::Place& place) {
  departure::RecordListed(entry.id, &this->departed);
  switch (departure::Judge(entry, place, BootNow(), this->departed)) {
    case departure::Verdict::kHoldBack:
      departure::HoldBack(entry, place, BootNow(), &this->departed);
      return;
    case departure::Verdict::kKeepDraining:
      entry.draining = true;
      break;
    case departure::Verdict::kUse:
      departure::RecordUsed(entry, place, BootNow(), &this->departed);
      break;
  }
  this->UseEntry(std::move(entry), place);
}

void StoreView::UseEntry(gateway::EndpointEntry entry,
                         const store::Place& place) {
  const auto found = this->gateway->endpoints.endpoints.find(entry.id);
  const bool is_known = found != this->gateway->endpoints.endpoints.end();
  if (is_known && found->second->entry.incarnation != entry.incarnation)
    departure::RecordDeparture(found->second->entry,
                               departure::Leaving::kRemoved, place, BootNow(),
                               &this->departed);
  const bool news = !is_known ||
                    found->second->entry.draining != entry.draining ||
                    found->second->entry.incarnation != entry.incarnation;
  const fleet::gen::EndpointFields fields = fleet::ToWire(entry);
  if (!is_known || fields != fleet::ToWire(found->second->entry)) {
    fleet::gen::EndpointNews change;
    change.id = entry.id;
    change.revision = place.revision;
    change.__set_fields(fields);
    this->changes.push_back(std::move(change));
  }
  if (news && entry.draining)
    this->NoteDeparture(place);
  if (news) {
    this->log->Write(gateway::kEndpointChanged, "",
                     "endpoint=" + Printable(entry.id) +
                         " service=" + Printable(entry.service) +
                         " state=" + (entry.draining ? "draining" : "ready") +
                         " revision=" + store::FormatPlace(place));
  }
  gateway::UpsertEndpoint(&this->gateway->endpoints, std::move(entry));
}

/// Counts and logs an entry that names no usable endpoint, once for all of its
/// revisions: another writer may renew it with each heartbeat.
void StoreView::SkipEndpoint(const std::string& name,
                             const store::Place& place,
                             const std::string& reason) {
  if (!this->skipped.insert(name).second)
    return;
  this->skipped_entries->Add({{"kind", this->deployment->endpoint_kind}})
      .Increment();
  this->log->Write(kEndpointUnreadable, "",
                   "endpoint=" + Printable(name) + " reason=\"" + reason +
                       "\" revision=" + store::FormatPlace(place));
}

void StoreView::RaiseMaxDeparture(const store::Place& place) {
  store::Place& highest = this->fleet->seen.max_departure;
  highest = std::max(highest, place);
}

/// Endpoints that leave are urgent news: they get no new work.
void StoreView::NoteDeparture(const store::Place& place) {
  this->RaiseMaxDeparture(place);
  this->departures = true;
  // The others are to rely on what this daemon tells them.
  if (this->large && !this->Tells() && !this->relies_on_news)
    return;
  if (place <= this->fleet->seen.departure)
    return;
  this->fleet->seen.departure = place;
  this->news_to_send = true;
}

void StoreView::RemoveEndpoint(const std::string& id,
                               const store::Place& unusable) {
  departure::RecordRemoved(id, &this->departed);
  const auto found = this->gateway->endpoints.endpoints.find(id);
  if (found == this->gateway->endpoints.endpoints.end())
    return;
  departure::RecordDeparture(found->second->entry, departure::Leaving::kRemoved,
                             this->endpoints.At(), BootNow(), &this->departed);
  this->TakeOutOfUse(id, unusable);
}

void StoreView::TakeOutOfUse(const std::string& id,
                             const store::Place& unusable) {
  this->log->Write(gateway::kEndpointGone, "", "endpoint=" + Printable(id));
  gateway::RemoveEndpoint(&this->gateway->endpoints, id);
  this->TellRemoval(id, unusable);
}

bool StoreView::RemoveOthers(const std::set<std::string>& listed) {
  departure::KeepListed(listed, &this->departed);
  std::vector<std::string> others;
  for (const auto& [id, endpoint] : this->gateway->endpoints.endpoints) {
    if (listed.count(id) == 0)
      others.push_back(id);
  }
  const bool awaits_returns =
      departure::AwaitsReturns(BootNow(), this->departed);
  bool gone = false;
  for (const std::string& id : others) {
    if (awaits_returns) {
      departure::RecordMissing(id, &this->departed);
    } else if (this->departed.missing.count(id) == 0) {
      this->RemoveEndpoint(id, kDeleted);
      gone = true;
    }
  }
  return gone;
}

void StoreView::EndWaits(TimePoint now) {
  departure::ForgetOld(now, &this->departed);
  const TimePoint confirmed_at = this->endpoints.ConfirmedAt();
  const bool lacks_confirmation =
      departure::LacksConfirmation(confirmed_at, now, this->departed);
  if (!lacks_confirmation)
    this->reads_missing = false;
  else if (!this->relies_on_news && !std::exchange(this->reads_missing, true))
    this->endpoints.Refresh(store::CallCause::kEra);
  const std::set<std::string> missing =
      departure::TakeMissing(confirmed_at, &this->departed);
  const std::vector<departure::HeldBack> live =
      departure::TakeLive(confirmed_at, &this->departed);
  if (missing.empty() && live.empty())
    return;
  for (const std::string& id : missing) {
    this->RemoveEndpoint(id, kDeleted);
    departure::ForgetRemoval(id, &this->departed);
  }
  for (const departure::HeldBack& one : live)
    this->UseEntry(one.entry, this->endpoints.At());
  if (!missing.empty())
    this->NoteDeparture(this->endpoints.At());
  gateway::UpdateEndpointList(this->gateway);
  this->RecordChanges(this->endpoints.At());
}

}  // namespace coltsfootvane::daemon
