#ifndef COLTSFOOTVANE_DISTRIBUTION_DISTRIBUTION_H_
#define COLTSFOOTVANE_DISTRIBUTION_DISTRIBUTION_H_

#include <cstdint>
#include <functional>
#include <mutex>
#include <string_view>
#include <thread>
#include <vector>

#include "base/result.h"
#include "base/ring.h"
#include "distribution/in_force.h"
#include "distribution/kind_watch.h"
#include "distribution/leaving_set.h"
#include "distribution/peer_fetch_plan.h"
#include "distribution/peer_snapshot.h"
#include "distribution/placement_union.h"
#include "distribution/stop_signal.h"
#include "distribution/version_keeper.h"
#include "objectapi/client.h"
#include "settings/settings.h"

namespace coltsfootvane {

struct DistributionHooks {
  /// Asks a peer for what it has in force. Called on a thread of Distribution;
  /// has a deadline of its own.
  std::function<Result<PeerSnapshot>(const http::Address& peer,
                                     std::int64_t known_version)>
      fetch_from_peer;
  /// Called after a version came into force, from any thread of Distribution.
  std::function<void(std::int64_t version, std::string_view digest)> on_version;
  /// Called when the list shows an endpoint as live that was leaving. Must not
  /// call Distribution.
  std::function<void(std::string_view endpoint_id)> on_endpoint_live;
};

/// Keeps the view in force up to date: configuration, placement and leaving
/// VMs, from the platform or from peers. The only writer of its holder.
class Distribution {
 public:
  Distribution(const Settings& settings,
               objectapi::Connection connection,
               InForceHolder* holder,
               DistributionHooks hooks);
  ~Distribution();

  Distribution(const Distribution&) = delete;
  Distribution& operator=(const Distribution&) = delete;

  void Start();

  /// Returns within a platform or peer call. Start() cannot follow.
  void Stop();

  /// Notes that `peer` has `version` in force. Never blocks.
  void NoteVersion(std::int64_t version,
                   std::string_view digest,
                   const http::Address& peer);

  /// Notes that a VM or an endpoint is leaving.
  void NoteLeaving(std::string_view id);

  /// Returns what a peer gets.
  PeerSnapshot Snapshot() const;

 private:
  using Change = std::function<void(InForce*)>;

  void WatchConfig();
  void WatchPlacements();
  void WatchVms();
  void FollowPeers();

  void HandleHeadObject(const objectapi::Object& object);
  /// Fetches the parts of `head` and takes it; gives up when the next poll of
  /// the head is due.
  void FetchHead(const ConfigurationHead& head);
  Result<bool> ReadMissingParts(const ConfigurationHead& head,
                                PartTexts* texts);
  void FetchFromPeer(PeerFetchPlan* plan);
  void TakeSnapshot(const PeerSnapshot& snapshot);
  void TakePeerPlacement(const PlacementView& placement);
  /// Returns whether a peer with this version has what this daemon lacks.
  bool NeedsPeer(const PeerVersion& noted);

  /// Waits, while no version is in force, until `version` may be the first.
  void WaitForPeers(std::int64_t version);
  HeadVerdict Judge(std::int64_t version, std::string_view digest);
  /// Takes a bundle with matching digests into force, or refuses it.
  void TakeBundle(const ConfigurationHead& head,
                  Bundle bundle,
                  std::string_view source);
  bool SetConfiguration(const ConfigurationHead& head,
                        Bundle bundle,
                        Configuration configuration);
  void LogVerdict(HeadVerdict verdict, const ConfigurationHead& head);

  template <class Update>
  void UpdatePlacements(Update update);
  /// Needs `mutex`.
  void PublishLeaving();
  /// Replaces the view by a changed copy. Needs `mutex`.
  void Publish(const Change& change);

  Settings settings;
  objectapi::Connection connection;
  InForceHolder* holder;
  DistributionHooks hooks;
  StopSignal stop;
  TimePoint started;
  Ring<PeerVersion> noted_versions;
  std::vector<std::thread> threads;

  std::mutex mutex;  ///< Guards the following and the order of publishing.
  VersionKeeper keeper;
  std::int64_t told_version = 0;  ///< The newest that a peer has told.
  ConfigurationHead last_logged;  ///< Head of the last verdict in the log.
  RegionPlacements placements;
  bool has_platform_placements = false;
  bool has_peer_placement = false;
  LeavingSet leaving;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_DISTRIBUTION_H_
