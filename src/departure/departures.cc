#include "departure/departures.h"

#include <iterator>
#include <utility>

namespace coltsfootvane::departure {
namespace {

/// Copies of the store are some seconds old.
constexpr Milliseconds kMemory{600'000};
/// Entries of processes that have ended lapse after three check-ins.
constexpr Milliseconds kLapseTime{10'000};
/// Processes that run have registered again by then.
constexpr Milliseconds kReturnTime{2500};

}  // namespace

void RecordDeparture(const gateway::EndpointEntry& entry,
                     Leaving how,
                     const store::Place& at,
                     TimePoint now,
                     Departures* departures) {
  Departure& departure = departures->left[entry.id];
  const bool has_said_so = departure.how == Leaving::kDraining &&
                           departure.incarnation == entry.incarnation &&
                           departure.at.IsKnown() && departure.at.era < at.era;
  if (how == Leaving::kRemoved && has_said_so)
    departure.forget_at = now + kMemory;
  else
    departure = {entry.incarnation, how, at, now + kMemory};
}

Verdict Judge(const gateway::EndpointEntry& entry,
              const store::Place& place,
              const Departures& departures) {
  const auto found = departures.left.find(entry.id);
  if (found == departures.left.end())
    return Verdict::kUse;
  const Departure& departure = found->second;
  if (departure.incarnation != entry.incarnation ||
      place.era <= departure.at.era)
    return Verdict::kUse;
  if (departure.how == Leaving::kRemoved)
    return Verdict::kHoldBack;
  return entry.draining ? Verdict::kUse : Verdict::kKeepDraining;
}

void HoldBack(const gateway::EndpointEntry& entry,
              TimePoint now,
              Departures* departures) {
  const HeldBack held{entry, now + kLapseTime};
  departures->held_back.try_emplace(entry.id, held).first->second.entry = entry;
}

void RecordUsed(const gateway::EndpointEntry& entry,
                const store::Place& place,
                TimePoint now,
                Departures* departures) {
  departures->held_back.erase(entry.id);
  if (entry.draining)
    RecordDeparture(entry, Leaving::kDraining, place, now, departures);
  else
    departures->left.erase(entry.id);
}

void RecordListed(const std::string& id, Departures* departures) {
  departures->missing.erase(id);
}

void RecordRemoved(const std::string& id, Departures* departures) {
  departures->missing.erase(id);
  departures->held_back.erase(id);
}

void KeepListed(const std::set<std::string>& listed, Departures* departures) {
  auto& held = departures->held_back;
  for (auto it = held.begin(); it != held.end();)
    it = listed.count(it->first) > 0 ? std::next(it) : held.erase(it);
}

void RecordMissing(std::set<std::string> ids,
                   TimePoint now,
                   Departures* departures) {
  departures->missing = std::move(ids);
  departures->missing_until = now + kReturnTime;
}

std::vector<HeldBack> TakeLive(TimePoint now, Departures* departures) {
  std::vector<HeldBack> live;
  auto& held = departures->held_back;
  for (auto it = held.begin(); it != held.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    departures->left.erase(it->first);
    live.push_back(std::move(it->second));
    it = held.erase(it);
  }
  return live;
}

std::set<std::string> TakeMissing(TimePoint now, Departures* departures) {
  if (now < departures->missing_until)
    return {};
  return std::exchange(departures->missing, {});
}

void ForgetOld(TimePoint now, Departures* departures) {
  auto& left = departures->left;
  for (auto it = left.begin(); it != left.end();)
    it = now < it->second.forget_at ? std::next(it) : left.erase(it);
}

}  // namespace coltsfootvane::departure
