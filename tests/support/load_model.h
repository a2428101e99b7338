#ifndef COLTSFOOTVANE_TESTS_SUPPORT_LOAD_MODEL_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_LOAD_MODEL_H_

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry/retry_budget.h"
#include "fleet/load_tracking.h"
#include "fleet/member_table.h"
#include "fleet/report.h"
#include "gateway/choice.h"
#include "occupancy/ledger.h"

namespace coltsfootvane::testing {

/// What happens to some daemons 10 s after the start.
enum class DaemonFault {
  kNone,
  kKilled,   ///< They end at the same moment.
  kFrozen,   ///< They do nothing for 5 s.
  kCutOff,   ///< They and the others lose all messages to each other for 5 s.
  kRestart,  ///< They restart one after the other.
};

struct LoadScene {
  const char* name;
  int daemons;
  int engines;
  int models;  ///< The n-th is requested 1/n times as often as the first.
  double requests_per_s;
  int restarts;   ///< Engines that are restarted, loaded again at once.
  bool shifting;  ///< The least requested model becomes the most requested.
  bool trackers = true;  ///< Load trackers are asked in large fleets.
  double loss = 0.025;   ///< Share of lost datagrams.
  DaemonFault fault = DaemonFault::kNone;
  int faulty = 0;    ///< Daemons, those with the lowest numbers.
  double burst = 1;  ///< Factor of the requests for 5 s from 12 s on.
  /// Time of a call of a plain service, in ms; 0 for engines.
  double call_ms = 0;
  double objective_ms = 600;
  Milliseconds min_report_interval{0};  ///< As with more endpoints.
};

struct LoadOutcome {
  int arrivals = 0;
  /// Rejected by one engine, or begun after the objective there, though another
  /// copy of the model had free slots at the arrival.
  int rejected = 0;
  int late = 0;
  int sends = 0;     ///< That reached an endpoint.
  int refusals = 0;  ///< Of these, those that the endpoint refused as full.
  int refused = 0;   ///< Requests that the gateway refused.
  int waits = 0;     ///< Of calls for a place.
  int on_time = 0;   ///< Begun within the objective.
  int begun = 0;
  int datagrams = 0;  ///< Queries, answers and updates.
};

/// Daemons that hear of each other's requests by reports, and by load trackers
/// where the fleet is large, send requests to engines or to the endpoints of a
/// plain service. Time and messages are simulated; decisions, reports and the
/// ledgers are the product's.
class LoadModel {
 public:
  explicit LoadModel(const LoadScene& simulated);
  LoadOutcome Run();

 private:
  struct Attempt {
    double arrived_ms = 0;
    int daemon = 0;
    int model = 0;
    gateway::RequestInfo request;
    std::set<std::string> tried;
    std::vector<gateway::EndpointPtr> candidates;
    TimePoint asked_at;
    std::uint64_t seed = 0;
    int rounds = 0;
    int generation = 0;
    int missing = 0;
    int waits = 0;
    double waited_ms = 0;
    bool avoidable = false;  ///< Another copy had free slots.
  };
  using AttemptPtr = std::shared_ptr<Attempt>;

  /// An engine: its slots run requests, some wait, more are rejected.
  struct Engine {
    int starts = 0;
    int running = 0;
    std::deque<AttemptPtr> queue;
  };

  /// A daemon's view of the engines.
  struct Daemon {
    std::vector<gateway::EndpointPtr> endpoints;
    fleet::MemberTable table;
    fleet::PeerWorkByEndpoint peer_work;
    gateway::Traffic traffic;
    fleet::SentReports sent;
    std::int64_t reports = 0;
    Milliseconds interval{250};
    occupancy::Ledger ledger;
    std::vector<occupancy::DaemonId> trackers;
    RetryBudget retries;
    std::int64_t updates = 0;
    std::int32_t process = 1;
    bool dead = false;
    double frozen_until = 0;
  };

  struct Event {
    double at_ms;
    std::function<void()> run;
    bool operator<(const Event& other) const {
      return this->at_ms > other.at_ms;
    }
  };

  void At(double at_ms, std::function<void()> run);
  double Uniform();
  TimePoint Now() const;
  bool IsCounted() const;
  bool IsPlain() const { return this->scene.call_ms > 0; }

  void PlaceModels();
  void PlaceCopy(int model);
  void Shift();
  void ShowModels(Daemon* daemon, int number) const;
  bool IsRoomElsewhere(int model, int number) const;
  void AddEndpoints(Daemon* daemon) const;
  gateway::EndpointPtr Find(int daemon, int engine) const;

  void ScheduleArrival();
  void Arrive(int number);
  gateway::ChoiceInput MakeInput(const Attempt& attempt) const;
  void Choose(const AttemptPtr& attempt);
  bool Query(const AttemptPtr& attempt);
  void Ask(const AttemptPtr& attempt, const gateway::EndpointPtr& endpoint);
  void Decide(const AttemptPtr& attempt);
  void DecideEngine(const AttemptPtr& attempt);
  void DecideCall(const AttemptPtr& attempt);
  void Refuse(const AttemptPtr& attempt);
  void Send(const AttemptPtr& attempt, const gateway::EndpointPtr& endpoint);
  void OnRefusedByEndpoint(const AttemptPtr& attempt);
  void Begin(const AttemptPtr& attempt, int number);
  void End(int daemon, int number, int starts);
  void Restart(int number);

  int TrackerOf(const Daemon& daemon, occupancy::EndpointKey key) const;
  bool IsCut(int a, int b) const;
  void Message(int from, int to, std::function<void()> run);
  void Track(Daemon* daemon, occupancy::EndpointKey endpoint);
  void Update(int daemon, int engine, bool refused);
  void Repeat(int number);
  void Report(int reporter);
  void Disturb();
  void RestartDaemon(int number);

  LoadScene scene;
  gateway::EngineSpec spec;
  std::vector<Engine> engines;
  std::vector<Daemon> daemons;
  std::vector<double> shares;               ///< Of the models in the demand.
  std::vector<std::vector<int>> placement;  ///< Models of each engine.
  std::priority_queue<Event> events;
  /// Of arrivals, so that they are the same whatever is decided, and of the
  /// rest.
  std::mt19937_64 arrivals{20261204};
  std::mt19937_64 random{20261204};
  double now_ms = 0;
  double cut_until = 0;
  LoadOutcome outcome;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_LOAD_MODEL_H_
