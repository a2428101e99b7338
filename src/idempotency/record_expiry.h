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

/// A point in the history of the records. A record that is deleted too early
/// could run twice, so that no wall clock decides: an age is a sum of spans
/// that single processes measured with their steady clocks.
struct ExpiryTick {
  std::int64_t version = 0;  ///< Of the list of records at this tick.
  /// From the time at which the process that took this tick had seen the tick
  /// before, until it took this one. What passed in between is not counted.
  std::int64_t span_ms = 0;
};

/// Oldest first; the spec of `expiry/records`.
using ExpiryTicks = std::vector<ExpiryTick>;

/// `sending` records are kept this many times as long as the others: their
/// calls may have run, and nobody else can say so.
inline constexpr int kSendingKeepFactor = 10;

/// Returns the time between two ticks. A planner that holds the lease for less
/// adds no age.
Milliseconds TickInterval(Milliseconds keep);

/// Adds a tick and drops those that are older than needed. Returns false after
/// starting anew if `version` is below the last one: the platform has lost
/// changes, so that versions no longer tell the age.
bool AppendTick(ExpiryTicks* ticks,
                std::int64_t version,
                Milliseconds span,
                Milliseconds keep);

/// Returns the highest version that was `age` old at the last tick; 0 if none.
std::int64_t VersionOfAge(gsl::span<const ExpiryTick> ticks, Milliseconds age);

/// Returns whether the record in `state`, last written as `resource_version`
/// and read from a list with `list_version`, may be deleted.
bool IsExpired(gsl::span<const ExpiryTick> ticks,
               RecordState state,
               std::int64_t resource_version,
               std::int64_t list_version,
               Milliseconds keep);

std::string FormatExpiryTicks(const ExpiryTicks& ticks);

/// Errors: kInvalid.
Result<ExpiryTicks> ParseExpiryTicks(std::string_view json);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_EXPIRY_H_
