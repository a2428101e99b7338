#include "distribution/peer_fetch_plan.h"

#include <algorithm>

#include "objectapi/retry.h"

namespace coltsfootvane {
namespace {

/// Time for the platform to deliver a version that a peer has.
constexpr Milliseconds kPlatformLead{500};
/// Further peers add little: all of them have the same version.
constexpr std::size_t kMaxPeers = 8;
constexpr objectapi::Backoff kPeerBackoff{Milliseconds{200},
                                          Milliseconds{5000}};

/// Members answer a joining daemon within one or two ticks of 100 ms.
constexpr Milliseconds kFirstVersionWait{1000};
/// Time for a few fetches from peers that have a newer version.
constexpr Milliseconds kNewerVersionWait{5000};

}  // namespace

void NotePeerVersion(PeerFetchPlan* plan,
                     const PeerVersion& noted,
                     TimePoint now) {
  if (noted.version < plan->newest.version)
    return;
  if (plan->newest.version == 0)
    plan->due = now + kPlatformLead;
  if (noted.version > plan->newest.version) {
    plan->newest = noted;
    plan->peers.clear();
    plan->failures = 0;
  }
  const bool known = std::any_of(plan->peers.begin(), plan->peers.end(),
                                 [&noted](const http::Address& peer) {
                                   return peer.host == noted.peer.host &&
                                          peer.port == noted.peer.port;
                                 });
  if (!known && plan->peers.size() < kMaxPeers)
    plan->peers.push_back(noted.peer);
}

void NoteFetchFailure(PeerFetchPlan* plan, TimePoint now, double random) {
  ++plan->failures;
  plan->due =
      now + objectapi::BackoffDelay(kPeerBackoff, plan->failures, random);
  if (!plan->peers.empty())
    std::rotate(plan->peers.begin(), plan->peers.begin() + 1,
                plan->peers.end());
}

bool HasOtherPeers(const Settings& settings) {
  return std::any_of(settings.first_peers.begin(), settings.first_peers.end(),
                     [&settings](const http::Address& peer) {
                       return peer.host != settings.peer_listen.host ||
                              peer.port != settings.peer_listen.port;
                     });
}

bool MayTakeFirst(std::int64_t version,
                  std::int64_t told,
                  Milliseconds waited) {
  if (told == 0)
    return waited >= kFirstVersionWait;
  return version >= told || waited >= kNewerVersionWait;
}

}  // namespace coltsfootvane
