#ifndef COLTSFOOTVANE_PEER_CONFIG_PEER_H_
#define COLTSFOOTVANE_PEER_CONFIG_PEER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "config/bundle.h"
#include "http/message.h"

namespace coltsfootvane::peer {

/// The serialised configuration that a daemon has in force. The receiver
/// verifies the digests.
struct ConfigurationSnapshot {
  std::int64_t version = 0;
  std::string head;  ///< JSON.
  std::vector<BundlePart> parts;
  std::string placement;  ///< JSON.
};

/// The reply of a peer. `head` and `parts` are empty unless `newer` is set.
struct FetchedSnapshot {
  bool newer = false;
  std::string head;
  std::vector<BundlePart> parts;
  std::string placement;
};

/// Serves the RPC `ConfigPeer.Fetch` over TCP with a bounded number of threads.
class ConfigPeerServer {
 public:
  ConfigPeerServer();
  ConfigPeerServer(const ConfigPeerServer&) = delete;
  ConfigPeerServer& operator=(const ConfigPeerServer&) = delete;
  ~ConfigPeerServer();

  /// `snapshot` is called on server threads. Errors: kInvalid.
  Result<bool> Start(const http::Address& address,
                     std::function<ConfigurationSnapshot()> snapshot);
  void Stop();

 private:
  struct Running;
  std::unique_ptr<Running> running;
};

/// Fetches the placement of `peer`, and its configuration if that is newer than
/// `known_version`. Errors: kNotSent, kTimeout, kUnknown.
Result<FetchedSnapshot> FetchFromPeer(const http::Address& peer,
                                      std::int64_t known_version,
                                      TimePoint deadline);

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_CONFIG_PEER_H_
