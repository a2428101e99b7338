#ifndef COLTSFOOTVANE_DISTRIBUTION_PEER_FETCH_PLAN_H_
#define COLTSFOOTVANE_DISTRIBUTION_PEER_FETCH_PLAN_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/message.h"
#include "settings/settings.h"

namespace coltsfootvane {

/// A version that a peer has in force.
struct PeerVersion {
  std::int64_t version = 0;
  std::string digest;
  http::Address peer;
};

/// The newest version that peers have and this daemon lacks.
struct PeerFetchPlan {
  PeerVersion newest;                ///< Version 0 if there is none.
  std::vector<http::Address> peers;  ///< Who has it; the next to ask first.
  TimePoint due = TimePoint::max();  ///< When to ask.
  int failures = 0;
};

/// Adds a peer. The platform has 500 ms from the first note to deliver; a
/// later, newer version does not extend this time.
void NotePeerVersion(PeerFetchPlan* plan,
                     const PeerVersion& noted,
                     TimePoint now);

/// Moves on to the next peer after a delay. `random` is from 0 to 1.
void NoteFetchFailure(PeerFetchPlan* plan, TimePoint now, double random);

/// Returns whether the settings name a peer other than this daemon.
bool HasOtherPeers(const Settings& settings);

/// Returns whether a daemon without a configuration may take `version` from the
/// platform, which may show an old one. `told` is the newest version of a peer,
/// 0 if none has told any. Waits a bounded time for peers.
bool MayTakeFirst(std::int64_t version, std::int64_t told, Milliseconds waited);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_PEER_FETCH_PLAN_H_
