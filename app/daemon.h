#ifndef COLTSFOOTVANE_APP_DAEMON_H_
#define COLTSFOOTVANE_APP_DAEMON_H_

#include <atomic>
#include <memory>
#include <string>
#include <thread>

#include "base/result.h"
#include "distribution/distribution.h"
#include "distribution/in_force.h"
#include "entry/entry_server.h"
#include "idempotency/record_sweeper.h"
#include "idempotency/record_writer.h"
#include "metrics/metrics.h"
#include "objectapi/client.h"
#include "peer/peer_node.h"
#include "placement/planner.h"
#include "settings/settings.h"
#include "status/admin_server.h"

#include "sender_registry.h"

namespace coltsfootvane {

/// All duties of one `serve` process.
class Daemon {
 public:
  explicit Daemon(const Settings& settings);
  ~Daemon();

  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;

  /// Errors: kInvalid if an address cannot be bound.
  Result<bool> Start();

  /// Says ready on the health page once a configuration is in force, and brings
  /// the gauges up to date. To be called a few times a second.
  void UpdateHealth();

  /// Leaves without cutting off a request: health first, then roles, then the
  /// listener once the requests in progress have ended.
  void Shutdown();

 private:
  void CreateParts();
  void UpdateGauges();
  peer::PeerOptions MakePeerOptions();
  DistributionHooks MakeDistributionHooks();
  PlannerHooks MakePlannerHooks();
  EntryDependencies MakeEntryDependencies();
  /// Registers with the platform, then starts the planner.
  void Register();
  void NoteEndpointLeaving(std::string_view endpoint_id);
  void WaitForRequests(TimePoint deadline) const;
  std::string StatusJson() const;

  Settings settings;
  std::string instance_id;
  objectapi::Connection control;
  objectapi::Connection record_connection;
  InForceHolder in_force;
  Metrics metrics;
  SenderRegistry senders;
  std::unique_ptr<RecordWriter> records;
  std::unique_ptr<RecordSweeper> sweeper;
  std::unique_ptr<Distribution> distribution;
  std::unique_ptr<peer::PeerNode> peer_node;
  std::unique_ptr<Planner> planner;
  std::unique_ptr<EntryServer> entry;
  std::unique_ptr<AdminServer> admin;
  std::thread registration;
  std::atomic<bool> stopping{false};
  std::atomic<bool> holds_lease{false};
  bool ready = false;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_APP_DAEMON_H_
