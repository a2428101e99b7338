#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_REPLICA_SITE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_REPLICA_SITE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "support/replica_standin.h"
#include "support/store_standin.h"

namespace coltsfootvane::testing {

/// Returns a configuration with the routes `/safe/`, `/unsafe/`, `/stream/`
/// (resumable) and `/versionN/` of the plain service `books`.
nlohmann::json BooksConfig(int version);

/// How the call of a caller ended.
struct CallResult {
  std::string id;
  TimePoint sent;
  TimePoint ended;
  int status = 0;             ///< 0 without a whole answer.
  double retry_after_s = -1;  ///< -1 if the answer has none.
  /// Of `ended - sent`, how long the daemon and the caller waited for a
  /// processor, of which other processes may leave them none.
  std::chrono::nanoseconds run_delay{0};

  /// Returns the time that the daemon and the caller took for the answer.
  std::chrono::nanoseconds Length() const {
    return this->ended - this->sent - this->run_delay;
  }
};

/// The real daemon before scripted replicas of one plain service, `books`,
/// which register in the store's stand-in again and again, and callers.
class ReplicaSite {
 public:
  explicit ReplicaSite(int replicas);

  /// Puts the configuration, registers the replicas, starts the daemon and
  /// waits until it is ready.
  bool Start();
  /// Adds a replica that registers from now on, under the next ID or this one.
  ReplicaStandin* AddReplica();
  ReplicaStandin* AddReplica(const std::string& id);
  void PutConfig(int version);
  /// Calls `path` again and again, about 50 times a second.
  void StartCalls(const std::string& path);
  void StopCalls();
  /// Runs the loop for that time.
  void RunFor(int milliseconds);
  bool RunUntil(const std::function<bool()>& condition, int milliseconds) {
    return this->daemon.RunUntil(condition, milliseconds);
  }
  /// Calls once and waits for the answer.
  CallResult Call(const std::string& path);

  boost::asio::io_context io;
  std::string host;
  StoreStandin store;
  std::vector<std::unique_ptr<ReplicaStandin>> replicas;
  std::set<std::string> silent;  ///< Ids of replicas that do not register.
  GatewayProcess daemon;
  std::vector<CallResult> results;

 private:
  void Register();
  void SendNext();
  void Send(const std::string& path);
  /// Returns how long the daemon and the test have waited for a processor.
  std::chrono::nanoseconds RunDelays() const;

  boost::asio::steady_timer heartbeat;
  boost::asio::steady_timer pace;
  std::string path;  ///< Of the calls; empty while there are none.
  int calls = 0;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_REPLICA_SITE_H_
