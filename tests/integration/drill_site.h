#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_DRILL_SITE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_DRILL_SITE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "support/loopback_server.h"
#include "support/replica_standin.h"
#include "support/store_standin.h"

namespace coltsfootvane::testing {

/// The store goes away and comes back from a copy.
struct StoreDrill {
  Milliseconds away{0};
  Milliseconds copy_age{0};  ///< At the return; 0 if nothing is lost.
  /// From the return until operator and replicas write their lost writes again.
  Milliseconds written_again{300};
};

/// What callers, replicas and engines have seen against the promises.
struct DrillTally {
  int calls = 0;
  int routed = 0;  ///< Answers 200 on routes that were added on the way.
  /// Answers 404 for a route whose version was acknowledged long before.
  int late_refusals = 0;
  /// Answers 404 for a route that the same process has served before.
  int regressions = 0;
  /// Requests at a replica whose leaving was acknowledged long before.
  int late_arrivals = 0;
  int orders = 0;         ///< Accepted by engines.
  int shared_tokens = 0;  ///< Orders with a token that another holder has used.
  int fenced = 0;         ///< Orders refused for their token.
  std::map<int, int> broken_by;  ///< Findings by daemon.
  /// Calls to the store in the busiest second, by daemon.
  std::vector<int> busiest;
  /// Seconds in which a daemon called the store more than kMaxStoreCalls times.
  std::map<int, int> busy_seconds;
  std::vector<std::string> findings;  ///< The first of each kind, for a person.
};

/// Many real daemons with callers of their own, replicas of a plain service,
/// engines that check fencing tokens, an operator who adds routes, and a store
/// that can come back from the past.
class DrillSite {
 public:
  /// From its ack, as the settings of the daemons state it.
  static constexpr Milliseconds kChangeLimit{3000};
  /// Of the engines' model.
  static constexpr int kAdapters = 400;
  /// Returns the path of the route that this version adds.
  static std::string RoutePath(int version) {
    return "/version" + std::to_string(version) + "/";
  }
  /// Of a daemon in a second. Up to 25 were measured, the most at its start.
  static constexpr int kMaxStoreCalls = 60;

  /// `programs` are those of single daemons, relative to the build folder.
  DrillSite(int daemons,
            unsigned seed,
            const std::map<int, std::string>& programs = {});

  /// Starts everything and waits until the daemons know each other.
  bool Start();
  void RunFor(Milliseconds time);
  /// Runs while the store is away, and returns when it is back. Lost writes are
  /// written again while the site runs on.
  void Run(const StoreDrill& drill);
  /// Begins a drill and returns; the site has to run on.
  void Begin(const StoreDrill& drill);
  /// The replica says that it leaves, and goes on serving.
  void Leave(const std::string& id);
  /// The replica's entry is removed without a word, and it goes on serving.
  void Remove(const std::string& id);
  /// A new process of the replica starts under its id.
  void Restart(const std::string& id);
  /// Adds a replica that registers from now on.
  void AddReplica(const std::string& id);
  /// Kills the daemon that holds the planner's lease and starts it again after
  /// that time, once another one holds the lease. Returns whether one does.
  bool ReplaceHolder(Milliseconds down);
  void KillAll();
  void StartAll();
  /// The daemon's calls to the store get no answers until it is healed.
  void Cut(int daemon) { this->cut[static_cast<std::size_t>(daemon)] = true; }
  /// The daemon's present connections to the store, and those of the time
  /// given, stay open and get no answer ever. Later ones do. The daemon stays
  /// bound by the promises.
  void Silence(int daemon, Milliseconds time);
  void Freeze(int daemon);
  void Kill(int daemon);
  /// Ends what was done to the daemon: it is bound by the promises again after
  /// the time for changes.
  void Heal(int daemon);
  bool IsDisturbed(int daemon) const;
  void After(Milliseconds delay, std::function<void()> action);
  bool HasLeft(const std::string& id) const {
    return this->left_at.count(id) > 0;
  }
  /// Returns whether all daemons have the newest configuration.
  bool IsNewestInForce();
  /// Returns the tokens of accepted orders with their holders, for a person.
  std::string DescribeHolders() const;
  /// The daemon that gave the last order, or nullptr.
  GatewayProcess* Holder();
  /// The same by its number, or -1.
  int HolderNumber();

  boost::asio::io_context io;
  std::string host;
  StoreStandin store;
  std::vector<std::unique_ptr<GatewayProcess>> daemons;
  std::map<std::string, std::unique_ptr<ReplicaStandin>> replicas;
  DrillTally tally;
  int version = 0;  ///< Of the newest configuration.

 private:
  struct Engine {
    std::unique_ptr<LoopbackServer> server;
    int sequence = 0;  ///< Orders accepted.
    std::int64_t highest_token = 0;
    std::vector<std::string> adapters;
  };

  void Repeat(Milliseconds interval, const std::function<void()>& action);
  void AddEngine(const std::string& id);
  void OnEngineRequest(Engine* engine,
                       const ReceivedRequest& request,
                       const std::shared_ptr<net::TcpStream>& stream);
  void OnOrder(Engine* engine,
               const nlohmann::json& order,
               const std::shared_ptr<net::TcpStream>& stream);
  void Register();
  void PutIfChanged(const std::string& id, nlohmann::json entry);
  void LapseIfDue(const std::string& id);
  void AddVersion();
  void SendCalls();
  void Send(int daemon, int route_version);
  void SendToEngine(int daemon);
  void OnArrival(const std::string& replica, const ReceivedRequest& request);
  void StartOne(std::size_t daemon);
  void Return(const StoreDrill& drill);
  void WriteAgain(const std::vector<StoreStandin::LostWrite>& lost,
                  TimePoint returned);
  /// `daemon` is that which broke a promise, or -1.
  void Find(int* count, int daemon, const std::string& text);
  void OnStoreCall(int daemon,
                   const ReceivedRequest& request,
                   const std::shared_ptr<net::TcpStream>& stream);

  std::mt19937 random;
  std::map<std::string, Engine> engines;
  std::map<std::string, std::string> states;  ///< Of replicas, by id.
  /// Since when the store has an entry of a replica that was removed.
  std::map<std::string, TimePoint> unwritten_since;
  std::map<std::string, TimePoint> removed_at;
  std::map<std::string, TimePoint> left_at;   ///< First ack of the leaving.
  std::map<std::string, TimePoint> last_ack;  ///< The latest one.
  std::map<int, TimePoint> acked_at;          ///< Latest ack, by version.
  std::map<std::int64_t, std::set<std::string>> holders;  ///< By token.
  std::string last_holder;
  /// The highest version that each daemon's process has served.
  std::vector<int> served;
  std::vector<int> starts;  ///< Of each daemon.
  std::vector<TimePoint> started_at;
  /// Not bound until then.
  std::vector<TimePoint> disturbed_until;
  std::vector<bool> cut;
  /// The way from one daemon to the store.
  struct StoreLink {
    int calls = 0;  ///< In the present second.
    TimePoint silent_until;
    std::set<std::shared_ptr<net::TcpStream>> connections;
    std::set<std::shared_ptr<net::TcpStream>> silent;
  };
  std::vector<StoreLink> links;
  /// The store as each daemon reaches it.
  std::vector<std::unique_ptr<LoopbackServer>> doors;
  bool away = false;  ///< Until lost writes are written again.
  TimePoint away_since;
  int last_call = 0;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_DRILL_SITE_H_
