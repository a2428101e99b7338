#ifndef COLTSFOOTVANE_PLACEMENT_LEASE_H_
#define COLTSFOOTVANE_PLACEMENT_LEASE_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"

namespace coltsfootvane {

inline constexpr Milliseconds kLeaseRenewal{2000};
/// An observer reads this often while the lease changes, and at every renewal
/// time once it has seen it unchanged. So the reads of idle daemons are halved
/// and a takeover is not delayed.
inline constexpr Milliseconds kLeaseObservation{4000};
/// Unchanged for this long by the observer's own clock, a lease is taken over.
inline constexpr Milliseconds kLeaseExpiry{8000};
/// Shorter than the expiry, so that a holder usually stops before an observer
/// takes over. Safety does not depend on it.
inline constexpr Milliseconds kLeaseSendTime{5000};

/// The times of one lease. The gap between `send` and `expiry` is the least
/// time between the commands of two holders.
struct LeaseTimes {
  Milliseconds renewal = kLeaseRenewal;
  Milliseconds observation = kLeaseObservation;
  Milliseconds expiry = kLeaseExpiry;
  Milliseconds send = kLeaseSendTime;
  /// Expiry of a holder that the other daemons do not hear either.
  Milliseconds silent_expiry = kLeaseExpiry;
};

/// The spec of the platform object `leases/planner-<region>`.
struct LeaseSpec {
  std::string holder;  ///< Empty if released.
  std::int64_t epoch = 0;
  std::int64_t renewals = 0;
};

std::string FormatLease(const LeaseSpec& spec);
Result<LeaseSpec> ParseLease(std::string_view json);

/// One daemon's view of the lease.
struct Lease {
  std::string self;
  /// Prefix of all holders on this VM; empty if none is known. Of these only
  /// this process is alive, so that it need not wait for another to expire.
  std::string own_vm;
  LeaseTimes times;
  LeaseSpec seen;
  std::int64_t resource_version = 0;  ///< 0 if the object does not exist.
  TimePoint changed_at;               ///< When `seen` last changed.
  TimePoint send_until;               ///< Of a holder; else in the past.
  TimePoint next_call;                ///< When to read or renew again.
  bool held = false;
  bool holder_silent = false;  ///< The other daemons do not hear it.
  bool known = false;  ///< The object was read since the last lost response.
};

enum class LeaseStep { kNone, kRead, kCreate, kTakeOver, kRenew };

/// Returns whether the lease is held by an earlier process of this VM.
bool IsHeldByPredecessor(const Lease& lease);

LeaseStep NextLeaseStep(const Lease& lease, TimePoint now);

/// Returns the spec to write for kCreate, kTakeOver and kRenew.
LeaseSpec NextLeaseSpec(const Lease& lease, LeaseStep step);

/// Takes over what was read at `now`; resource version 0 means absent.
void OnLeaseRead(Lease* lease,
                 const LeaseSpec& spec,
                 std::int64_t resource_version,
                 TimePoint now);

/// The write of `spec`, which began at `start`, is known to have succeeded.
void OnLeaseWritten(Lease* lease,
                    const LeaseSpec& spec,
                    std::int64_t resource_version,
                    TimePoint start);

/// The write is known to have failed, or its response was lost. The lease has
/// to be read before the next write.
void OnLeaseWriteFailed(Lease* lease, TimePoint now);

bool MaySend(const Lease& lease, TimePoint now);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_LEASE_H_
