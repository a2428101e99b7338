#ifndef COLTSFOOTVANE_FLEET_HOLDER_CONTACT_H_
#define COLTSFOOTVANE_FLEET_HOLDER_CONTACT_H_

#include <cstdint>

#include "base/clock.h"
#include "fleet/member_table.h"

namespace coltsfootvane::fleet {

/// Between two datagrams of a lease holder, at most.
inline constexpr Milliseconds kHolderInterval{250};

/// The lease holder as known from its own datagrams. These come far more often
/// than the reports of a large fleet.
struct HolderContact {
  std::uint32_t address = 0;     ///< IPv4; 0 if none has been heard.
  std::int64_t lease_epoch = 0;  ///< The highest that has been heard.
  TimePoint live_until;          ///< From then on it counts as silent.
};

/// Records a datagram of a lease holder. Returns false if a later holder has
/// been heard.
bool RecordHolder(std::uint32_t address,
                  std::int64_t lease_epoch,
                  TimePoint now,
                  HolderContact* contact);

/// Returns the address of the lease holder, or 0 if none is known to be live.
std::uint32_t FindLiveHolder(const HolderContact& contact,
                             const MemberTable& table,
                             TimePoint now);

/// Returns whether the holder of this epoch has been heard and has become
/// silent.
bool IsSilent(const HolderContact& contact,
              const MemberTable& table,
              std::int64_t lease_epoch,
              TimePoint now);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_HOLDER_CONTACT_H_
