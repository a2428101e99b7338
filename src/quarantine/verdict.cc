#include "quarantine/verdict.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace coltsfootvane::quarantine {
namespace {

/// What speaks against a part, apart from explained crashes.
struct Evidence {
  bool answered_before = false;  ///< As of the suspect.
  int amount = 0;
  std::vector<CrashKey> crashes;  ///< That count, by time.
  std::set<Observer> observers;
  TimePoint last_crash;
};

/// Returns whether the crash counts, and charges it to an observer if only one
/// other daemon has reported it.
bool IsCredible(const Involvement& involvement,
                Observer self,
                std::map<Observer, int>* reported) {
  const std::vector<Observer>& observers = involvement.observers;
  const bool is_own =
      std::find(observers.begin(), observers.end(), self) != observers.end();
  if (is_own || observers.size() != 1)
    return is_own || observers.size() > 1;
  return ++(*reported)[observers.front()] <= kMaxCrashesOnOneWord;
}

Evidence Weigh(const Suspect& suspect,
               Observer self,
               const std::set<CrashKey>& explained) {
  Evidence evidence;
  evidence.answered_before = suspect.answered_before;
  std::map<Observer, int> reported;
  int last_amount = 0;
  for (const Involvement& involvement : suspect.involvements) {
    if (involvement.cleared || explained.count(involvement.crash) > 0 ||
        !IsCredible(involvement, self, &reported))
      continue;
    const int amount =
        involvement.answering ? kAnsweringEvidence : kWaitingEvidence;
    const bool same_cause = !evidence.crashes.empty() &&
                            involvement.at - evidence.last_crash < kSameCause;
    if (same_cause) {
      // The stronger of the two remains.
      evidence.amount += std::max(0, amount - last_amount);
      last_amount = std::max(amount, last_amount);
      continue;
    }
    evidence.amount += amount;
    last_amount = amount;
    evidence.crashes.push_back(involvement.crash);
    evidence.observers.insert(involvement.observers.begin(),
                              involvement.observers.end());
    evidence.last_crash = involvement.at;
  }
  return evidence;
}

int EvidenceNeeded(bool answered_before) {
  return answered_before ? kEvidenceNeededIfAnswered : kEvidenceNeeded;
}

/// Returns whether the crashes of the suspect may be enough. Spares the others
/// a closer look.
bool MayBeEnough(const Suspect& suspect) {
  const auto crashes = static_cast<int>(suspect.involvements.size());
  return crashes * kAnsweringEvidence >=
         EvidenceNeeded(suspect.answered_before);
}

/// Returns whether nothing tells the two parts apart.
bool IsSame(const Evidence& a, const Evidence& b) {
  return a.answered_before == b.answered_before && a.amount == b.amount &&
         a.crashes == b.crashes;
}

std::chrono::minutes HoldAfter(int crashes) {
  constexpr int kMaxDoublings = 4;
  constexpr int kLeastCrashes = kEvidenceNeeded / kAnsweringEvidence;
  const int doublings = std::clamp(crashes - kLeastCrashes, 0, kMaxDoublings);
  return std::min(kMaxHold, kFirstHold * (1 << doublings));
}

std::map<PartId, Evidence> Guilty(const Ledger& ledger,
                                  Observer self,
                                  const std::set<CrashKey>& explained) {
  std::map<PartId, Evidence> guilty;
  for (const auto& [part, suspect] : ledger.suspects) {
    if (!MayBeEnough(suspect))
      continue;
    Evidence evidence = Weigh(suspect, self, explained);
    if (evidence.amount >= EvidenceNeeded(suspect.answered_before))
      guilty[part] = std::move(evidence);
  }
  return guilty;
}

/// Returns the strongest evidence. That against parts with which no endpoint
/// has ever answered comes first.
const Evidence* FindMost(const std::map<PartId, Evidence>& guilty) {
  const Evidence* most = nullptr;
  for (const auto& [part, evidence] : guilty) {
    const bool is_stronger =
        most == nullptr ||
        (most->answered_before && !evidence.answered_before) ||
        (most->answered_before == evidence.answered_before &&
         evidence.amount > most->amount);
    if (is_stronger)
      most = &evidence;
  }
  return most;
}

Quarantine MakeQuarantine(const Evidence& evidence) {
  Quarantine quarantine;
  quarantine.crashes = static_cast<int>(evidence.crashes.size());
  quarantine.observers = static_cast<int>(evidence.observers.size());
  quarantine.last_crash = evidence.last_crash;
  quarantine.until = evidence.last_crash + HoldAfter(quarantine.crashes);
  return quarantine;
}

}  // namespace

std::vector<Quarantine> Decide(const Ledger& ledger, Observer self) {
  std::vector<Quarantine> quarantines;
  std::set<CrashKey> explained;
  while (quarantines.size() < kMaxQuarantines) {
    const std::map<PartId, Evidence> guilty = Guilty(ledger, self, explained);
    const Evidence* const most = FindMost(guilty);
    if (most == nullptr)
      return quarantines;
    Quarantine quarantine = MakeQuarantine(*most);
    for (const auto& [part, evidence] : guilty) {
      if (IsSame(evidence, *most))
        quarantine.parts.push_back(part);
    }
    for (const PartId part : quarantine.parts) {
      for (const Involvement& one : ledger.suspects.at(part).involvements)
        explained.insert(one.crash);
    }
    quarantines.push_back(std::move(quarantine));
  }
  return quarantines;
}

const Quarantine* FindQuarantine(gsl::span<const Quarantine> quarantines,
                                 gsl::span<const PartId> parts) {
  for (const Quarantine& quarantine : quarantines) {
    const bool has_all = std::all_of(
        quarantine.parts.begin(), quarantine.parts.end(), [&](PartId part) {
          return std::find(parts.begin(), parts.end(), part) != parts.end();
        });
    if (has_all)
      return &quarantine;
  }
  return nullptr;
}

}  // namespace coltsfootvane::quarantine
