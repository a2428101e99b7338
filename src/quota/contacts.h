#ifndef COLTSFOOTVANE_QUOTA_CONTACTS_H_
#define COLTSFOOTVANE_QUOTA_CONTACTS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "quota/messages.h"

namespace coltsfootvane::quota {

/// What is known of daemons that do not reply. The member table notices them
/// only after several report intervals.
class Contacts {
 public:
  /// Any datagram of the daemon.
  void RecordHeard(Address daemon);
  /// The daemon has not replied to a request; it gets none until it is heard.
  void RecordSilence(Address daemon, TimePoint now);
  /// The daemon has replied that it owns no buckets at present.
  void RecordNotOwner(Address daemon, TimePoint now);
  void RecordOwner(Address daemon);
  bool IsAvoided(Address daemon, TimePoint now) const;
  /// Returns whether the daemon has left all probes of some time unanswered, so
  /// that it no longer grants or knows that it is cut off.
  bool IsSilent(Address daemon, TimePoint now) const;
  /// Returns whether a probe is due, and counts it as sent.
  bool TakeProbe(Address daemon, TimePoint now);
  /// Returns the daemons to probe since they have been avoided for a while.
  /// Forgets those that have been silent for long.
  std::vector<Address> TakeProbesOfAvoided(TimePoint now);

 private:
  struct Contact {
    bool avoided = false;
    int unanswered_probes = 0;
    TimePoint unanswered_since;
    TimePoint next_probe;
    TimePoint next_probe_of_avoided;
    TimePoint last_record;
    TimePoint not_owner_until;
  };
  std::map<Address, Contact> contacts;
};

/// Orders the daemons for a team by rendezvous hash; the one with the highest
/// owns its bucket.
std::uint64_t OwnerRank(TeamKey team, Address daemon);

}  // namespace coltsfootvane::quota

#endif  // COLTSFOOTVANE_QUOTA_CONTACTS_H_
