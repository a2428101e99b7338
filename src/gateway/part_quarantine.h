#ifndef COLTSFOOTVANE_GATEWAY_PART_QUARANTINE_H_
#define COLTSFOOTVANE_GATEWAY_PART_QUARANTINE_H_

#include <functional>
#include <gsl/span>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/wire_format.h"
#include "quarantine/suspicion.h"
#include "quarantine/verdict.h"

namespace coltsfootvane::gateway {

struct Gateway;

/// How a daemon has learned something about parts.
enum class SuspectSource {
  kCrash,   ///< It has seen a crash.
  kAnswer,  ///< It has seen an answer, which clears the parts.
  kOthers,  ///< Another daemon has told it.
};

/// What a daemon knows of parts of prompts that may crash endpoints, and which
/// of them it has quarantined.
struct PartQuarantine {
  quarantine::Observer self = 0;
  quarantine::Ledger ledger;
  quarantine::AnsweredParts answered;
  std::vector<quarantine::Quarantine> quarantines;
  /// Since when parts are quarantined, by their first one.
  std::map<quarantine::PartId, TimePoint> since;
  /// Requests in progress that show whether a part still crashes endpoints, by
  /// the first part of its quarantine.
  std::map<quarantine::PartId, int> trials;
  /// Place of this daemon in the order in which daemons try a part again.
  int rank = 0;
  /// Called with the parts of which this daemon has learned something.
  std::function<void(gsl::span<const quarantine::PartId> parts,
                     SuspectSource source)>
      on_news;
};

/// Daemons try a part again one after the other, this much apart, so that the
/// others hear of a crash first.
inline constexpr Milliseconds kTrialInterval{2000};

/// Returns the parts that a request may share with others: all but the last, up
/// to a limit.
std::vector<quarantine::PartId> SharedParts(const RequestInfo& request);

/// Records that an endpoint has begun to answer with the parts.
void RecordAnsweredParts(Gateway* gateway,
                         gsl::span<const quarantine::PartId> parts);

/// Records a crash during which a request with the parts had no answer yet.
void RecordCrash(Gateway* gateway,
                 gsl::span<const quarantine::PartId> parts,
                 const quarantine::Involvement& involvement);

/// Merges what other daemons know.
void MergeSuspects(
    Gateway* gateway,
    const std::map<quarantine::PartId, quarantine::Suspect>& theirs);

/// Returns whether endpoints have answered with all of the parts, and no more
/// than one crash speaks against each.
bool IsUnsuspected(const PartQuarantine& state,
                   gsl::span<const quarantine::PartId> parts);

/// Returns the quarantine that forbids to send a request with the parts now, or
/// nullptr. After the end of a quarantine one request at a time may be sent.
const quarantine::Quarantine* FindActiveQuarantine(
    const PartQuarantine& state,
    gsl::span<const quarantine::PartId> parts,
    int daemons,
    TimePoint now);

/// Forgets what is too old to count.
void ExpireSuspects(Gateway* gateway, TimePoint now);

/// Returns ids in hexadecimal, separated by commas, for log lines.
std::string PartList(gsl::span<const quarantine::PartId> parts);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_PART_QUARANTINE_H_
