#include "quarantine/suspicion.h"

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane::quarantine {
namespace {

/// Adds the observers that are not listed yet, as far as there is room.
bool MergeObservers(gsl::span<const Observer> theirs,
                    std::vector<Observer>* observers) {
  bool changed = false;
  for (const Observer observer : theirs) {
    const bool known = std::find(observers->begin(), observers->end(),
                                 observer) != observers->end();
    if (known || observers->size() >= kMaxObservers)
      continue;
    observers->push_back(observer);
    changed = true;
  }
  return changed;
}

/// Merges two accounts of the same crash.
bool MergeInvolvement(const Involvement& theirs, Involvement* known) {
  bool changed = MergeObservers(theirs.observers, &known->observers);
  changed = changed || (theirs.answering && !known->answering) ||
            (theirs.cleared && !known->cleared);
  known->answering = known->answering || theirs.answering;
  known->cleared = known->cleared || theirs.cleared;
  return changed;
}

/// Returns how dispensable a suspect is: the number of crashes that speak
/// against it, and when the last one was.
std::pair<int, TimePoint> Weight(const Suspect& suspect) {
  const TimePoint last = suspect.involvements.empty()
                             ? TimePoint()
                             : suspect.involvements.back().at;
  return {CountOpen(suspect), last};
}

/// Removes the suspect with the least against it.
void RemoveLeastSuspect(Ledger* ledger) {
  const auto least =
      std::min_element(ledger->suspects.begin(), ledger->suspects.end(),
                       [](const auto& a, const auto& b) {
                         return Weight(a.second) < Weight(b.second);
                       });
  if (least != ledger->suspects.end())
    ledger->suspects.erase(least);
}

}  // namespace

CrashKey KeyOfCrash(std::string_view endpoint_id, std::int64_t incarnation) {
  return static_cast<CrashKey>(
      Hash64(endpoint_id, static_cast<std::uint64_t>(incarnation)));
}

int CountOpen(const Suspect& suspect) {
  return static_cast<int>(
      std::count_if(suspect.involvements.begin(), suspect.involvements.end(),
                    [](const Involvement& one) { return !one.cleared; }));
}

bool AddInvolvement(Ledger* ledger, PartId part, const Involvement& seen) {
  std::vector<Involvement>& list = ledger->suspects[part].involvements;
  const auto known = std::find_if(
      list.begin(), list.end(),
      [&seen](const Involvement& one) { return one.crash == seen.crash; });
  if (known != list.end())
    return MergeInvolvement(seen, &*known);
  const auto later = std::upper_bound(
      list.begin(), list.end(), seen,
      [](const Involvement& a, const Involvement& b) { return a.at < b.at; });
  const bool is_oldest = later == list.begin();
  if (list.size() >= kMaxInvolvements && is_oldest)
    return false;
  list.insert(later, seen);
  if (list.size() > kMaxInvolvements)
    list.erase(list.begin());
  if (ledger->suspects.size() > kMaxSuspects)
    RemoveLeastSuspect(ledger);
  return true;
}

bool MergeSuspect(Ledger* ledger, PartId part, const Suspect& theirs) {
  bool changed = false;
  for (const Involvement& involvement : theirs.involvements)
    changed = AddInvolvement(ledger, part, involvement) || changed;
  const auto known = ledger->suspects.find(part);
  if (known == ledger->suspects.end() || !theirs.answered_before)
    return changed;
  changed = changed || !known->second.answered_before;
  known->second.answered_before = true;
  return changed;
}

std::vector<PartId> RecordAnswer(Ledger* ledger,
                                 gsl::span<const PartId> parts) {
  std::vector<PartId> changed;
  for (const PartId part : parts) {
    const auto known = ledger->suspects.find(part);
    if (known == ledger->suspects.end())
      continue;
    bool clears = false;
    for (Involvement& involvement : known->second.involvements) {
      clears = clears || !involvement.cleared;
      involvement.cleared = true;
    }
    if (clears)
      changed.push_back(part);
  }
  return changed;
}

bool RemoveExpired(Ledger* ledger, TimePoint now) {
  bool removed = false;
  for (auto it = ledger->suspects.begin(); it != ledger->suspects.end();) {
    std::vector<Involvement>& list = it->second.involvements;
    const auto expired = std::remove_if(
        list.begin(), list.end(), [now](const Involvement& involvement) {
          return now - involvement.at > kEvidenceRetention;
        });
    removed = removed || expired != list.end();
    list.erase(expired, list.end());
    it = list.empty() ? ledger->suspects.erase(it) : std::next(it);
  }
  return removed;
}

void AnsweredParts::Add(PartId part) {
  if (this->recent.size() >= kMaxAnsweredParts / 2) {
    this->older = std::move(this->recent);
    this->recent.clear();
  }
  this->recent.insert(part);
}

bool AnsweredParts::Contains(PartId part) const {
  return this->recent.count(part) > 0 || this->older.count(part) > 0;
}

}  // namespace coltsfootvane::quarantine
