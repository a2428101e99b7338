#ifndef COLTSFOOTVANE_PEER_PEER_NODE_H_
#define COLTSFOOTVANE_PEER_PEER_NODE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "dispatch/slot_client.h"
#include "distribution/in_force.h"
#include "membership/message.h"
#include "peer/config_peer.h"
#include "placement/demand.h"
#include "settings/settings.h"

namespace coltsfootvane::peer {

/// Called on threads of the node. Only `snapshot` may block.
struct PeerHooks {
  /// Called when a member has a newer configuration than the one passed to
  /// SetVersion(), and repeated until SetVersion() has caught up.
  std::function<void(std::int64_t version,
                     std::string_view digest,
                     const http::Address& peer)>
      on_version;
  /// Called once per endpoint that becomes known as leaving.
  std::function<void(const std::string& endpoint_id)> on_endpoint_leaving;
  /// Returns the configuration served by `ConfigPeer.Fetch`.
  std::function<ConfigurationSnapshot()> snapshot;
};

struct PeerOptions {
  Settings settings;
  std::string instance_id;  ///< Random per process start.
  const InForceHolder* in_force = nullptr;
  PeerHooks hooks;
};

/// The daemon-to-daemon communication of one daemon: datagrams, membership,
/// dispatch and configuration transfer. Thread safe.
class PeerNode {
 public:
  explicit PeerNode(PeerOptions options);
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;
  ~PeerNode();

  /// Binds the peer address. Errors: kInvalid.
  Result<bool> Start();
  void Stop();

  /// Adds addresses to join through, in addition to `first_peers` of the
  /// settings.
  void AddPeers(const std::vector<http::Address>& addresses);
  void SetVersion(std::int64_t version, std::string_view digest);
  void RecordEndpointLeaving(std::string_view endpoint_id);
  void ClearEndpointLeaving(std::string_view endpoint_id);

  /// Stops dispatching and announces to the members that this daemon is
  /// leaving.
  void SetLeaving();
  void SetPlanner(bool planner);

  /// Returns all members, this daemon first.
  std::vector<membership::Member> Members() const;

  /// The client must not be used after the node is destroyed.
  SlotClient MakeSlotClient();

  /// Returns the demand that members reported to this daemon in the last
  /// seconds; empty unless it has the planner flag.
  std::vector<ItemDemand> ReportedDemand();

  std::string StatusJson() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_PEER_NODE_H_
