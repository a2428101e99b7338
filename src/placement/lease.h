#ifndef COLTSFOOTVANE_PLACEMENT_LEASE_H_
#define COLTSFOOTVANE_PLACEMENT_LEASE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"

namespace coltsfootvane {

inline constexpr Milliseconds kLeaseRenewalInterval{2000};
/// Interval between an observer's reads while the lease keeps changing. After a
/// read that shows no change, the observer reads at the renewal interval. This
/// halves the reads of idle daemons without delaying a takeover.
inline constexpr Milliseconds kLeaseObservationInterval{4000};
/// A lease that stays unchanged for this long by the observer's own clock is
/// taken over.
inline constexpr Milliseconds kLeaseExpiry{8000};
/// Time from the start of a renewal during which the lease holder may send
/// commands. Shorter than the expiry, so that a holder usually stops before an
/// observer takes over; safety does not depend on it.
inline constexpr Milliseconds kLeaseSendPeriod{5000};

/// Epochs of a later era of the store are above those of all earlier ones. An
/// older copy lacks epochs that were in use, which must not be given out again.
inline constexpr std::int64_t kEpochsPerEra = 1'000'000;

/// Numbers of a lease beyond it were not written by a daemon. Far below it the
/// next epoch can still be counted.
inline constexpr std::int64_t kMaxLeaseNumber = 1'000'000'000'000'000;

/// The timing of one lease. The difference between `expiry` and `send_period`
/// is the minimum time between the commands of two holders.
struct LeaseTimes {
  Milliseconds renewal_interval = kLeaseRenewalInterval;
  Milliseconds observation_interval = kLeaseObservationInterval;
  Milliseconds expiry = kLeaseExpiry;
  Milliseconds send_period = kLeaseSendPeriod;
  /// Expiry if the other daemons receive no messages from the holder either.
  Milliseconds silent_expiry = kLeaseExpiry;
};

/// The spec of a lease's platform object, such as `leases/planner-<region>`.
struct LeaseSpec {
  std::string holder;  ///< Empty if the lease was released.
  std::int64_t epoch = 0;
  std::int64_t renewals = 0;
};

std::string FormatLease(const LeaseSpec& spec);
/// Errors: kInvalid for anything but what FormatLease() returns, so that the
/// lease counts as released.
Result<LeaseSpec> ParseLease(std::string_view json);

/// One daemon's view of the lease.
struct Lease {
  std::string self;  ///< Holder name of this process.
  /// Common prefix of the holder names on this VM; empty if not known. Of these
  /// holders only this process is running, so it takes over a lease held under
  /// another such name without waiting for the expiry.
  std::string own_vm_prefix;
  LeaseTimes times;
  LeaseSpec last_spec;                ///< As last read or written.
  std::int64_t resource_version = 0;  ///< 0 if the object does not exist.
  TimePoint changed_at;               ///< When `last_spec` last changed.
  TimePoint send_until;               ///< In the past unless held.
  TimePoint next_call;                ///< When to read or renew again.
  bool held = false;
  /// The other daemons receive no messages from the holder.
  bool holder_silent = false;
  /// `last_spec` was read or written since the last failed call.
  bool up_to_date = false;
  /// The epoch must not be used any more: the store has come back from an older
  /// copy, or an engine has seen a higher one. Taking over gives another.
  bool epoch_is_spent = false;
  std::int64_t era = 0;  ///< Of the store, in which `last_spec` was read.
  std::int64_t highest_epoch = 0;  ///< That is known to have been in use.
};

enum class LeaseStep { kNone, kRead, kCreate, kTakeOver, kRenew };

/// Returns whether the lease is held by an earlier process on this VM.
bool IsHeldByPredecessor(const Lease& lease);

LeaseStep NextLeaseStep(const Lease& lease, TimePoint now);

/// Returns the spec to write for kCreate, kTakeOver and kRenew.
LeaseSpec NextLeaseSpec(const Lease& lease, LeaseStep step);

/// Applies the spec read at `now`. A resource version of 0 means that the
/// object does not exist.
void OnLeaseRead(Lease* lease,
                 const LeaseSpec& spec,
                 std::int64_t resource_version,
                 TimePoint now);

/// Applies the successful write of `spec` that began at `start`.
void OnLeaseWritten(Lease* lease,
                    const LeaseSpec& spec,
                    std::int64_t resource_version,
                    TimePoint start);

/// Call after a write that failed or whose response was lost. The lease is read
/// again before the next write.
void OnLeaseWriteFailed(Lease* lease, TimePoint now);

/// The store has come back from an older copy: the lease is read again, and is
/// held only once it has been taken over with an epoch of the new era.
void OnNewEra(Lease* lease, TimePoint now);

/// Returns whether the lease holder may send commands at `now`.
bool MaySendCommands(const Lease& lease, TimePoint now);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_LEASE_H_
