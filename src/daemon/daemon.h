#ifndef COLTSFOOTVANE_DAEMON_DAEMON_H_
#define COLTSFOOTVANE_DAEMON_DAEMON_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "daemon/daemon_settings.h"
#include "daemon/deployment.h"
#include "daemon/quarantine_record.h"
#include "daemon/shutdown.h"
#include "daemon/store_view.h"
#include "fleet/daemon_registry.h"
#include "fleet/fleet.h"
#include "gateway/caller_connection.h"
#include "gateway/gateway.h"
#include "gateway/health_listener.h"
#include "gateway/listener.h"
#include "log/decision_log.h"
#include "net/http_client.h"
#include "orders/engine_orders.h"
#include "orders/lease_manager.h"

namespace coltsfootvane::daemon {

/// The process of one VM: serves callers, follows the store, reports to the
/// other daemons and, while it holds the lease, orders copies of models.
class Daemon {
 public:
  Daemon(const DaemonSettings& settings, const DeploymentMaker& make);

  /// Serves until a graceful shutdown is complete. Errors: an address cannot be
  /// bound.
  Result<bool> Run();

 private:
  /// Waits for addresses that are still taken. Errors: they stay taken.
  Result<bool> Listen();
  Result<bool> TryListen();
  void OnCaller(std::shared_ptr<net::TcpStream> stream);
  /// Opens the addresses without which the daemon serves, if they are free.
  void ListenForOthers(TimePoint now);
  void OpenOptional(gateway::HealthListener* listener, unsigned short port);
  void LogListenFailure(const Error& error);
  bool IsReady() const;
  std::string Metrics() const;
  gateway::HealthAnswer AnswerHealth(std::string_view path) const;
  void AwaitSignals();
  void OnSignal(int signal);
  void CheckSettingsFile();
  void ReloadSettings();
  void ApplyChangeable(const DaemonSettings& changed);
  void StartShutdown();
  void PlanShutdown(TimePoint began);
  void CloseIdleConnections();
  /// Resets what slow callers have not taken within the grace period.
  void EndUnsentAnswers();
  void ForgetEndedConnections();
  void Tick();
  bool HasShutDown(TimePoint now);
  /// Logs and counts what callers still wait for at the end of the process.
  void RecordCuts() const;
  /// Records by how much the event loop was late for the last tick.
  void ObserveLateness(TimePoint now);
  /// Logs the calls to the store now and then, if there were any.
  void OnNewEra(const store::EraChange& change);
  void LogStoreCalls(TimePoint now);

  DaemonSettings settings;
  boost::asio::io_context io;
  DecisionLog log;
  net::HttpClient client;
  Deployment deployment;
  gateway::Gateway gateway;
  store::ObjectStore store;
  gateway::Listener callers;
  gateway::HealthListener health;
  gateway::HealthListener metrics;
  gateway::HealthListener peers;  ///< Other daemons, see StoreNews::Answer().
  fleet::Fleet fleet;
  StoreView store_view;
  fleet::DaemonRegistry registry;
  orders::LeaseManager lease;
  orders::EngineOrders orders;
  QuarantineRecord quarantine_record;
  boost::asio::signal_set signals;
  boost::asio::steady_timer ticker;
  TimePoint tick_due;
  TimePoint optional_listen_at;
  std::vector<std::weak_ptr<gateway::CallerConnection>> connections;
  std::filesystem::file_time_type settings_written;
  TimePoint settings_check_at;
  TimePoint store_calls_log_at;
  std::uint64_t logged_store_calls = 0;
  Shutdown shutdown;
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_DAEMON_H_
