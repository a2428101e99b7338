#ifndef COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_FAULTS_H_
#define COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_FAULTS_H_

#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"

namespace coltsfootvane::standin {

/// The faults of `POST /control/faults`. Absent members are off.
struct Faults {
  bool outage = false;     ///< Answer 503 at once.
  Milliseconds delay{0};   ///< Before each call is handled.
  int lost_responses = 0;  ///< Writes left whose response is not sent.
  /// Writes left whose response is not sent and which take effect after
  /// `effect_delay`.
  int delayed_effects = 0;
  Milliseconds effect_delay{0};
  bool stale_reads = false;  ///< Of kind `config`.
  std::string match_kind;    ///< The only kind with faults; empty for all.
};

enum class WriteFault { kNone, kLoseResponse, kDelayEffect };

/// Errors: kInvalid, also for an unknown member.
Result<Faults> ParseFaults(std::string_view json);

bool HasFaults(const Faults& faults, std::string_view kind);

/// Returns the fault of the next write of `kind` and counts it.
WriteFault TakeWriteFault(Faults* faults, std::string_view kind);

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_PLATFORM_STANDIN_FAULTS_H_
