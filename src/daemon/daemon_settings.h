#ifndef COLTSFOOTVANE_DAEMON_DAEMON_SETTINGS_H_
#define COLTSFOOTVANE_DAEMON_DAEMON_SETTINGS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway/gateway.h"
#include "orders/engine_orders.h"
#include "quota/bucket_owner.h"

namespace coltsfootvane::daemon {

/// What one daemon is told at its start. The times, the retry limit and the
/// load limit may change while it runs.
struct DaemonSettings {
  std::string name;
  std::string data_centre;
  boost::asio::ip::address ip;
  boost::asio::ip::tcp::endpoint callers;  ///< Listener for callers.
  boost::asio::ip::tcp::endpoint health;   ///< Asked whether it is ready.
  boost::asio::ip::tcp::endpoint store;
  unsigned short metrics_port = 0;  ///< 0 for none but that of `health`.
  /// First of the ports for communication between daemons.
  unsigned short peer_port = 0;
  unsigned short last_peer_port = 0;
  /// Some daemons to start from; they may be stale.
  std::vector<boost::asio::ip::address> first_peers;
  Milliseconds stop_timeout{8000};  ///< From SIGTERM to SIGKILL.
  Milliseconds lease_time{3000};    ///< Least time between two holders.
  /// Changes in the store must be in force within this time.
  Milliseconds in_force_limit{2000};
  bool engines_check_fences = false;
  double memory_mb = 512;  ///< Beyond which the process is ended.
  double max_fds = 0;  ///< Descriptors of the process; 0 for its system limit.
  gateway::FleetRetryLimit retry_limit;
  orders::StoreLoadLimit store_load_limit;
  quota::Bounds quota_bounds;
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_DAEMON_SETTINGS_H_
