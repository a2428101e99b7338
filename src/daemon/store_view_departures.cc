#include <utility>

#include "daemon/store_view.h"
#include "fleet/codec.h"

namespace coltsfootvane::daemon {

namespace gen = fleet::gen;

DepartureTarget StoreView::TargetOfDepartures() {
  DepartureTarget target;
  target.remembered = [this] { return this->RememberedDepartures(); };
  target.learn = [this](const gen::Departures& told) {
    this->LearnDepartures(told);
  };
  return target;
}

gen::Departures StoreView::RememberedDepartures() const {
  const TimePoint now = BootNow();
  gen::Departures all;
  for (const auto& [id, departure] : this->departed.left) {
    if (all.left.size() == fleet::kMaxDepartures)
      break;
    gen::Departure one;
    one.id = id;
    one.incarnation = departure.incarnation;
    one.removed = departure.how == departure::Leaving::kRemoved;
    one.revision = departure.at.revision;
    if (departure.at.era != 0)
      one.__set_era(departure.at.era);
    one.remaining_ms =
        static_cast<std::int32_t>(TimeLeft(departure.forget_at, now).count());
    all.left.push_back(std::move(one));
  }
  return all;
}

void StoreView::LearnDepartures(const gen::Departures& told) {
  for (const gen::Departure& one : told.left)
    this->LearnDeparture(one);
  gateway::UpdateEndpointList(this->gateway);
  this->RecordChanges(this->endpoints.At());
}

/// Treats an entry that this daemon has listed as if it had known of the
/// departure before.
void StoreView::LearnDeparture(const gen::Departure& told) {
  const TimePoint now = BootNow();
  const store::Place left_at(told.revision, told.era);
  const store::Place& at = this->endpoints.At();
  const auto found = this->gateway->endpoints.endpoints.find(told.id);
  const bool is_in_use = found != this->gateway->endpoints.endpoints.end() &&
                         found->second->entry.incarnation == told.incarnation;
  // The process has come back since.
  if (is_in_use && left_at.era == at.era && left_at <= at)
    return;
  const departure::Departure departure{
      told.incarnation,
      told.removed ? departure::Leaving::kRemoved
                   : departure::Leaving::kDraining,
      left_at, now + Milliseconds(told.remaining_ms)};
  if (!departure::LearnDeparture(told.id, departure, &this->departed) ||
      !is_in_use)
    return;
  gateway::EndpointEntry entry = found->second->entry;
  switch (departure::Judge(entry, at, now, this->departed)) {
    case departure::Verdict::kHoldBack:
      departure::HoldBack(entry, at, now, &this->departed);
      this->TakeOutOfUse(told.id, kDeleted);
      break;
    case departure::Verdict::kKeepDraining:
      entry.draining = true;
      this->UseEntry(std::move(entry), at);
      break;
    case departure::Verdict::kUse:
      break;
  }
}

}  // namespace coltsfootvane::daemon
