#ifndef COLTSFOOTVANE_IDEMPOTENCY_RECORD_EXPIRY_H_
#define COLTSFOOTVANE_IDEMPOTENCY_RECORD_EXPIRY_H_

#include <cstdint>
#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "idempotency/record.h"

namespace coltsfootvane {

/// A point in the version history of the records. If a record is deleted too
/// early, its call could run twice. Ages therefore do not depend on wall
/// clocks: an age is a sum of spans, each measured by one process with its
/// steady clock.
struct ExpiryTick {
  std::int64_t version = 0;  ///< Of the list of records at this tick.
  /// The time for which the process that added this tick had known the previous
  /// one. Time before it first read the previous tick is not counted.
  std::int64_t span_ms = 0;
};

/// Oldest first; the spec of `expiry/records`.
using ExpiryTicks = std::vector<ExpiryTick>;

/// `sending` records are kept this many times as long as the others: their
/// calls may have run, and nothing else records whether they did.
inline constexpr int kSendingRetentionFactor = 10;

/// Returns the time between two ticks. A planner that holds the lease for less
/// than this adds no age.
Milliseconds TickInterval(Milliseconds retention);

/// Adds a tick and drops those that are older than needed. If `version` is
/// below the last one, the platform has lost changes and versions no longer
/// indicate age: the history is cleared first, and false is returned.
bool AppendTick(ExpiryTicks* ticks,
                std::int64_t version,
                Milliseconds span,
                Milliseconds retention);

/// Returns the highest version that was at least `age` old at the last tick; 0
/// if none.
std::int64_t HighestVersionOfMinAge(gsl::span<const ExpiryTick> ticks,
                                    Milliseconds age);

/// Returns whether the record in `state`, last written as `resource_version`
/// and read from a list with `list_version`, may be deleted.
bool IsExpired(gsl::span<const ExpiryTick> ticks,
               RecordState state,
               std::int64_t resource_version,
               std::int64_t list_version,
               Milliseconds retention);

std::string FormatExpiryTicks(const ExpiryTicks& ticks);

/// Errors: kInvalid.
Result<ExpiryTicks> ParseExpiryTicks(std::string_view json);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_EXPIRY_H_
