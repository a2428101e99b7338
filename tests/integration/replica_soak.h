#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_REPLICA_SOAK_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_REPLICA_SOAK_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "soak_replica.h"
#include "soak_teams.h"
#include "support/store_standin.h"

namespace coltsfootvane::testing {

struct SoakOptions {
  unsigned seed = 0;
  int daemons = 2;
  int replicas = 3;
  Milliseconds length{12'000};  ///< Of the time with disturbances.
};

/// What a soak has seen.
struct SoakTally {
  std::map<std::string, int> calls;         ///< By status.
  int most_in_window = 0;                   ///< Runs of the team with a quota.
  std::map<std::string, int> disturbances;  ///< By kind.
  std::vector<std::string> violations;
};

/// Runs several real daemons before scripted replicas and a store, lets callers
/// use kept connections, and disturbs replicas, entries, store and daemons at
/// random times, one after the other and overlapping. Checks from what callers
/// and replicas see that the promises hold meanwhile, and that everything is
/// served again afterwards.
class ReplicaSoak {
 public:
  explicit ReplicaSoak(const SoakOptions& options);

  SoakTally Run();

 private:
  struct Daemon {
    std::unique_ptr<GatewayProcess> process;
    TimePoint disturbed_until;  ///< Stopped, or started anew, until then.
    bool started_anew = false;  ///< May lack the configuration.
  };
  struct Call {
    int daemon = 0;
    std::string path;
    TimePoint sent;
  };

  void Register();
  void SendCalls();
  void Send(int daemon, const std::string& path, SoakCaller caller);
  void OnAnswer(const std::string& id,
                const Result<net::WholeResponse>& response);
  void CheckAnswer(const std::string& id,
                   const Call& call,
                   const net::WholeResponse& response);
  void CheckRuns();
  void CheckNoKeyIsShown();
  void CheckRecovery();
  void CheckProcesses();

  void Disturb();
  void DisturbReplica();
  void DisturbEntries();
  void DisturbStore();
  void DisturbDaemon();
  void Heal();
  /// Calls `end` after that time, or when the soak heals everything.
  void EndAfter(Milliseconds time, std::function<void()> end);
  Milliseconds RandomTime(int least_ms, int most_ms);
  bool Happens(double chance);
  int Pick(std::size_t count);
  void Violate(const std::string& text);

  SoakOptions options;
  std::mt19937 random;   ///< Of the disturbances.
  std::mt19937 chances;  ///< Of calls and answers, whose number varies.
  boost::asio::io_context io;
  std::string host;
  StoreStandin store;
  SoakTeams teams;
  std::vector<std::unique_ptr<SoakReplica>> replicas;
  std::vector<Daemon> daemons;
  std::map<std::string, Call> calls;         ///< In progress, by id.
  std::map<std::string, std::string> paths;  ///< Of all calls, by id.
  std::map<std::string, int> refused;        ///< Status "not run", by id.
  std::map<int, std::function<void()>> ends;
  int last_end = 0;
  int last_call = 0;
  bool calling = true;
  bool serving_expected = false;  ///< All is healed: every call succeeds.
  boost::asio::steady_timer heartbeat;
  boost::asio::steady_timer pace;
  boost::asio::steady_timer trouble;
  SoakTally tally;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_REPLICA_SOAK_H_
