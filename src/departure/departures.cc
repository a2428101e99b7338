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

bool HasLeft(const gateway::EndpointEntry& entry,
             const Departures& departures) {
  const auto found = departures.left.find(entry.id);
  return found != departures.left.end() &&
         found->second.incarnation == entry.incarnation;
}

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

bool LearnDeparture(const std::string& id,
                    const Departure& told,
                    Departures* departures) {
  const auto [known, inserted] = departures->left.emplace(id, told);
  if (inserted)
    return true;
  if (told.at <= known->second.at)
    return false;
  known->second = told;
  return true;
}

Verdict Judge(const gateway::EndpointEntry& entry,
              const store::Place& place,
              TimePoint now,
              const Departures& departures) {
  if (!HasLeft(entry, departures))
    return Verdict::kUse;
  const Departure& departure = departures.left.at(entry.id);
  const bool may_be_rewritten = now < departures.rewritten_until;
  if (place.era <= departure.at.era && !may_be_rewritten)
    return Verdict::kUse;
  if (departure.how == Leaving::kRemoved)
    return Verdict::kHoldBack;
  return entry.draining ? Verdict::kUse : Verdict::kKeepDraining;
}

void HoldBack(const gateway::EndpointEntry& entry,
              const store::Place& place,
              TimePoint now,
              Departures* departures) {
  HeldBack& held = departures->held_back[entry.id];
  // Each copy shows entries that have lapsed since.
  if (held.until == TimePoint() || held.era < place.era)
    held.until = now + kLapseTime;
  held.era = place.era;
  held.entry = entry;
}

void RecordUsed(const gateway::EndpointEntry& entry,
                const store::Place& place,
                TimePoint now,
                Departures* departures) {
  departures->held_back.erase(entry.id);
  if (entry.draining)
    RecordDeparture(entry, Leaving::kDraining, place, now, departures);
  else if (HasLeft(entry, *departures))
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

void BeginEra(TimePoint now, Departures* departures) {
  departures->missing.clear();
  departures->missing_until = now + kReturnTime;
  departures->rewritten_until = now + kLapseTime;
}

bool AwaitsReturns(TimePoint now, const Departures& departures) {
  return now < departures.missing_until;
}

void RecordMissing(const std::string& id, Departures* departures) {
  departures->missing.insert(id);
}

std::vector<HeldBack> TakeLive(TimePoint confirmed_at, Departures* departures) {
  std::vector<HeldBack> live;
  auto& held = departures->held_back;
  for (auto it = held.begin(); it != held.end();) {
    if (confirmed_at < it->second.until) {
      ++it;
      continue;
    }
    departures->left.erase(it->first);
    live.push_back(std::move(it->second));
    it = held.erase(it);
  }
  return live;
}

bool LacksConfirmation(TimePoint confirmed_at,
                       TimePoint now,
                       const Departures& departures) {
  return !departures.missing.empty() && now >= departures.missing_until &&
         confirmed_at < departures.missing_until;
}

std::set<std::string> TakeMissing(TimePoint confirmed_at,
                                  Departures* departures) {
  if (confirmed_at < departures->missing_until)
    return {};
  return std::exchange(departures->missing, {});
}

void ForgetRemoval(const std::string& id, Departures* departures) {
  const auto found = departures->left.find(id);
  if (found != departures->left.end() && found->second.how == Leaving::kRemoved)
    departures->left.erase(found);
}

void ForgetOld(TimePoint now, Departures* departures) {
  auto& left = departures->left;
  for (auto it = left.begin(); it != left.end();)
    it = now < it->second.forget_at ? std::next(it) : left.erase(it);
}

}  // namespace coltsfootvane::departure
