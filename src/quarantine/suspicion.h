#ifndef COLTSFOOTVANE_QUARANTINE_SUSPICION_H_
#define COLTSFOOTVANE_QUARANTINE_SUSPICION_H_

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <map>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/clock.h"

/// Finds the parts of prompts that crash endpoints. Which request has crashed
/// an endpoint is not known, only which ones it had not begun to answer when it
/// ended. This module has no network: daemons exchange their ledgers elsewhere.
namespace coltsfootvane::quarantine {

/// Identifies a part that prompts have in common.
using PartId = std::uint64_t;
/// Identifies the end of one process of an endpoint, whoever has seen it.
using CrashKey = std::uint32_t;
/// A daemon, by its IPv4 address.
using Observer = std::uint32_t;

/// Returns the key of the crash of an endpoint's process.
CrashKey KeyOfCrash(std::string_view endpoint_id, std::int64_t incarnation);

/// A crash during which requests with a part had no answer yet.
struct Involvement {
  CrashKey crash = 0;
  TimePoint at;
  /// The endpoint had begun to answer one of the requests.
  bool answering = false;
  /// The part was answered with after the crash was known.
  bool cleared = false;
  std::vector<Observer> observers;  ///< Daemons that had such requests.
};

/// A part and the crashes that it may have caused.
struct Suspect {
  /// An endpoint has answered with the part before the first crash was known.
  bool answered_before = false;
  std::vector<Involvement> involvements;  ///< By time of the crash.
};

/// Returns the number of crashes that are not cleared.
int CountOpen(const Suspect& suspect);

/// All that a daemon knows of suspects, its own observations and those of
/// others. Merging is idempotent and independent of the order.
struct Ledger {
  std::map<PartId, Suspect> suspects;
};

inline constexpr std::size_t kMaxSuspects = 256;
inline constexpr std::size_t kMaxInvolvements = 16;  ///< Per part, the newest.
inline constexpr std::size_t kMaxObservers = 3;      ///< Per involvement.
/// Longer than any quarantine, so that a part that relapses is known.
inline constexpr std::chrono::hours kEvidenceRetention{2};

/// Adds an involvement, or merges it with that of the same crash. Returns
/// whether anything has changed.
bool AddInvolvement(Ledger* ledger, PartId part, const Involvement& seen);

/// Merges what another daemon knows of a part. Returns whether anything has
/// changed.
bool MergeSuspect(Ledger* ledger, PartId part, const Suspect& theirs);

/// Clears the parts of the crashes known so far, since an endpoint has answered
/// with them. Returns the parts for which this changed anything.
std::vector<PartId> RecordAnswer(Ledger* ledger, gsl::span<const PartId> parts);

/// Removes what is older than kEvidenceRetention. Returns whether there was
/// any.
bool RemoveExpired(Ledger* ledger, TimePoint now);

/// The parts that endpoints have answered with lately: a bounded set that
/// forgets the oldest half when it is full.
class AnsweredParts {
 public:
  void Add(PartId part);
  bool Contains(PartId part) const;
  std::size_t Size() const { return this->recent.size() + this->older.size(); }

 private:
  std::unordered_set<PartId> recent;
  std::unordered_set<PartId> older;
};

inline constexpr std::size_t kMaxAnsweredParts = 8192;

}  // namespace coltsfootvane::quarantine

#endif  // COLTSFOOTVANE_QUARANTINE_SUSPICION_H_
