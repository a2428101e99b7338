#include "fleet/holder_contact.h"

namespace coltsfootvane::fleet {
namespace {

/// Several datagrams in a row are rarely lost.
constexpr int kMissedIntervals = 6;

}  // namespace

bool RecordHolder(std::uint32_t address,
                  std::int64_t lease_epoch,
                  TimePoint now,
                  HolderContact* contact) {
  if (lease_epoch < contact->lease_epoch)
    return false;
  contact->address = address;
  contact->lease_epoch = lease_epoch;
  contact->live_until = now + kHolderInterval * kMissedIntervals;
  return true;
}

std::uint32_t FindLiveHolder(const HolderContact& contact,
                             const MemberTable& table,
                             TimePoint now) {
  if (now < contact.live_until)
    return contact.address;
  const std::uint32_t reported = FindHolder(table, now);
  // Reports of a large fleet name a holder long after it has ended.
  return reported == contact.address ? 0 : reported;
}

bool IsSilent(const HolderContact& contact,
              const MemberTable& table,
              std::int64_t lease_epoch,
              TimePoint now) {
  if (contact.lease_epoch == lease_epoch && contact.address != 0)
    return now >= contact.live_until;
  return IsHolderSilent(table, lease_epoch, now);
}

}  // namespace coltsfootvane::fleet
