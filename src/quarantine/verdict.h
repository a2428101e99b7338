#ifndef COLTSFOOTVANE_QUARANTINE_VERDICT_H_
#define COLTSFOOTVANE_QUARANTINE_VERDICT_H_

#include <cstddef>
#include <gsl/span>
#include <vector>

#include "base/clock.h"
#include "quarantine/suspicion.h"

namespace coltsfootvane::quarantine {

/// Parts that have crashed endpoints. Requests whose prompt has all of them are
/// not sent until `until`; afterwards one at a time may show whether they still
/// do.
struct Quarantine {
  std::vector<PartId> parts;  ///< Sorted; several if nothing tells them apart.
  int crashes = 0;            ///< That count against the parts.
  int observers = 0;          ///< Daemons that have seen these crashes.
  TimePoint last_crash;
  TimePoint until;
};

/// Beyond this number the parts with the least evidence are left out.
inline constexpr std::size_t kMaxQuarantines = 16;

/// Evidence against a part, in units of a fifth of a crash.
inline constexpr int kAnsweringEvidence = 5;  ///< It had begun an answer.
inline constexpr int kWaitingEvidence = 3;    ///< It had not.
/// Evidence for a quarantine: three crashes while an answer had begun, or five
/// while none had.
inline constexpr int kEvidenceNeeded = 15;
/// The same for a part that endpoints have answered with before.
inline constexpr int kEvidenceNeededIfAnswered = 25;
/// Crashes within this time have a common cause, such as a lost rack, and count
/// as one.
inline constexpr Milliseconds kSameCause{50};
/// Crashes that one other daemon alone has reported count up to this number, so
/// that the word of one daemon is not enough.
inline constexpr int kMaxCrashesOnOneWord = 2;
/// Of a quarantine. It doubles with each further crash.
inline constexpr std::chrono::minutes kFirstHold{5};
inline constexpr std::chrono::minutes kMaxHold{60};

/// Returns the parts to quarantine. Parts with which no endpoint has ever
/// answered come first, then those that most crashes speak against; crashes
/// that one explains no longer count against others. Parts with the same
/// crashes are quarantined together.
std::vector<Quarantine> Decide(const Ledger& ledger, Observer self);

/// Returns the quarantine that a prompt with these parts falls under, or
/// nullptr.
const Quarantine* FindQuarantine(gsl::span<const Quarantine> quarantines,
                                 gsl::span<const PartId> parts);

}  // namespace coltsfootvane::quarantine

#endif  // COLTSFOOTVANE_QUARANTINE_VERDICT_H_
