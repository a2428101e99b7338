#include "gateway/part_quarantine.h"

#include <algorithm>
#include <cinttypes>
#include <cstdio>
#include <utility>

#include "gateway/exchange.h"
#include "gateway/gateway.h"

namespace coltsfootvane::gateway {
namespace {

using quarantine::Involvement;
using quarantine::PartId;
using quarantine::Quarantine;
using quarantine::Suspect;

constexpr std::size_t kMaxSharedParts = 32;

void LogQuarantine(Gateway* gateway, const Quarantine& one) {
  gateway->metrics.CountQuarantine("begun");
  gateway->log->Write(
      kPartQuarantined, "",
      "parts=" + PartList(one.parts) +
          " crashes=" + std::to_string(one.crashes) +
          " observers=" + std::to_string(one.observers) + " hold_ms=" +
          std::to_string(TimeLeft(one.until, one.last_crash).count()));
}

void LogRelease(Gateway* gateway, PartId part, TimePoint since) {
  gateway->metrics.CountQuarantine("ended");
  gateway->log->Write(
      kPartReleased, "",
      "parts=" + PartList(gsl::span<const PartId>(&part, 1)) +
          " after_ms=" + std::to_string(TimeLeft(BootNow(), since).count()));
}

/// Ends the requests in progress that have become subject to a quarantine.
void EndQuarantinedRequests(Gateway* gateway) {
  for (const std::shared_ptr<Exchange>& exchange : OpenExchanges(*gateway))
    exchange->OnQuarantineChanged();
}

/// Decides anew after the ledger has changed.
void UpdateQuarantines(Gateway* gateway) {
  PartQuarantine& state = gateway->quarantine;
  std::vector<Quarantine> decided =
      quarantine::Decide(state.ledger, state.self);
  std::map<PartId, TimePoint> since;
  bool added = false;
  for (const Quarantine& one : decided) {
    const PartId first = one.parts.front();
    const auto known = state.since.find(first);
    since[first] = known == state.since.end() ? BootNow() : known->second;
    if (known != state.since.end())
      continue;
    added = true;
    LogQuarantine(gateway, one);
  }
  for (const auto& [part, begun] : state.since) {
    if (since.count(part) == 0)
      LogRelease(gateway, part, begun);
  }
  state.since = std::move(since);
  state.quarantines = std::move(decided);
  if (added)
    EndQuarantinedRequests(gateway);
}

void Announce(Gateway* gateway,
              gsl::span<const PartId> parts,
              SuspectSource source) {
  if (gateway->quarantine.on_news)
    gateway->quarantine.on_news(parts, source);
}

}  // namespace

std::vector<PartId> SharedParts(const RequestInfo& request) {
  std::vector<PartId> parts;
  for (std::size_t i = 0; i + 1 < request.prompt.size(); ++i) {
    const PartId part = request.prompt[i].id;
    const bool listed =
        std::find(parts.begin(), parts.end(), part) != parts.end();
    if (!listed && parts.size() < kMaxSharedParts)
      parts.push_back(part);
  }
  return parts;
}

void RecordAnsweredParts(Gateway* gateway, gsl::span<const PartId> parts) {
  PartQuarantine& state = gateway->quarantine;
  for (const PartId part : parts)
    state.answered.Add(part);
  if (state.ledger.suspects.empty())
    return;
  const std::vector<PartId> changed =
      quarantine::RecordAnswer(&state.ledger, parts);
  if (changed.empty())
    return;
  UpdateQuarantines(gateway);
  Announce(gateway, changed, SuspectSource::kAnswer);
}

void RecordCrash(Gateway* gateway,
                 gsl::span<const PartId> parts,
                 const Involvement& involvement) {
  PartQuarantine& state = gateway->quarantine;
  std::vector<PartId> changed;
  for (const PartId part : parts) {
    Suspect suspect;
    suspect.answered_before = state.answered.Contains(part);
    suspect.involvements = {involvement};
    if (quarantine::MergeSuspect(&state.ledger, part, suspect))
      changed.push_back(part);
  }
  if (changed.empty())
    return;
  UpdateQuarantines(gateway);
  Announce(gateway, changed, SuspectSource::kCrash);
}

void MergeSuspects(Gateway* gateway, const std::map<PartId, Suspect>& theirs) {
  PartQuarantine& state = gateway->quarantine;
  std::vector<PartId> changed;
  for (const auto& [part, suspect] : theirs) {
    Suspect merged = suspect;
    merged.answered_before =
        merged.answered_before || state.answered.Contains(part);
    if (quarantine::MergeSuspect(&state.ledger, part, merged))
      changed.push_back(part);
  }
  if (changed.empty())
    return;
  UpdateQuarantines(gateway);
  Announce(gateway, changed, SuspectSource::kOthers);
}

bool IsUnsuspected(const PartQuarantine& state, gsl::span<const PartId> parts) {
  return std::all_of(parts.begin(), parts.end(), [&state](PartId part) {
    const auto suspect = state.ledger.suspects.find(part);
    const int open = suspect == state.ledger.suspects.end()
                         ? 0
                         : quarantine::CountOpen(suspect->second);
    return open <= 1 && state.answered.Contains(part);
  });
}

const Quarantine* FindActiveQuarantine(const PartQuarantine& state,
                                       gsl::span<const PartId> parts,
                                       int daemons,
                                       TimePoint now) {
  const Quarantine* const found =
      quarantine::FindQuarantine(state.quarantines, parts);
  if (found == nullptr)
    return nullptr;
  const PartId first = found->parts.front();
  const auto trial = state.trials.find(first);
  const bool on_trial = trial != state.trials.end() && trial->second > 0;
  const auto place = (static_cast<PartId>(state.rank) + first) %
                     static_cast<PartId>(std::max(1, daemons));
  const TimePoint usable =
      found->until + kTrialInterval * static_cast<int>(place);
  return on_trial || now < usable ? found : nullptr;
}

void ExpireSuspects(Gateway* gateway, TimePoint now) {
  if (quarantine::RemoveExpired(&gateway->quarantine.ledger, now))
    UpdateQuarantines(gateway);
}

std::string PartList(gsl::span<const PartId> parts) {
  constexpr std::size_t kMaxListed = 6;
  std::string list;
  for (const PartId part : parts.first(std::min(parts.size(), kMaxListed))) {
    char id[20];
    std::snprintf(id, sizeof(id), "%s%" PRIx64, list.empty() ? "" : ",", part);
    list += id;
  }
  return list;
}

}  // namespace coltsfootvane::gateway
