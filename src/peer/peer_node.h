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

/// Called on threads of the node; they must not block, except `snapshot`.
struct PeerHooks {
  /// A member has a newer configuration than SetVersion() has told. Repeated
  /// until it has not.
  std::function<void(std::int64_t version,
                     std::string_view digest,
                     const http::Address& peer)>
      on_version;
  /// Called once per endpoint that becomes known as leaving.
  std::function<void(const std::string& endpoint_id)> on_endpoint_leaving;
  /// What `ConfigPeer.Fetch` returns.
  std::function<ConfigurationSnapshot()> snapshot;
};

struct PeerOptions {
  Settings settings;
  std::string instance_id;  ///< Random per process start.
  const InForceHolder* in_force = nullptr;
  PeerHooks hooks;
};

/// Everything of one daemon that talks to other daemons: datagrams, membership,
/// dispatch and the transfer of the configuration. Functions are thread safe.
class PeerNode {
 public:
  explicit PeerNode(PeerOptions options);
  PeerNode(const PeerNode&) = delete;
  PeerNode& operator=(const PeerNode&) = delete;
  ~PeerNode();

  /// Binds the peer address. Errors: kInvalid.
  Result<bool> Start();
  void Stop();

  /// Adds addresses to join by, besides `first_peers` of the settings.
  void AddPeers(const std::vector<http::Address>& addresses);
  void SetVersion(std::int64_t version, std::string_view digest);
  void NoteEndpointLeaving(std::string_view endpoint_id);
  void ForgetEndpointLeaving(std::string_view endpoint_id);

  /// Announces that this daemon is leaving and stops dispatching.
  void SetLeaving();
  void SetPlanner(bool planner);

  /// Returns all members, this daemon first.
  std::vector<membership::Member> Members() const;

  /// The client must not be used after the node is destroyed.
  SlotClient MakeSlotClient();

  /// Returns the demand that members reported to this daemon in the last
  /// seconds; empty unless it has the planner flag.
  std::vector<ItemDemand> TakeDemand();

  std::string StatusJson() const;

 private:
  struct Parts;
  std::unique_ptr<Parts> parts;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_PEER_NODE_H_
