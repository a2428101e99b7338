#ifndef COLTSFOOTVANE_PLACEMENT_PLANNER_LOOP_H_
#define COLTSFOOTVANE_PLACEMENT_PLANNER_LOOP_H_

#include <atomic>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include "placement/audit_writer.h"
#include "placement/command_pool.h"
#include "placement/demand_tracker.h"
#include "placement/lease.h"
#include "placement/ledger.h"
#include "placement/plan.h"
#include "placement/plan_wishes.h"
#include "placement/planner.h"

namespace coltsfootvane::detail {

/// What the lease holder knows and does about one engine.
struct EndpointState {
  Endpoint endpoint;
  EndpointLedger ledger;
  std::int64_t resource_version = 0;
  bool read = false;    ///< The object was read and its epoch raised.
  bool synced = false;  ///< An index was applied in this epoch.
  bool dirty = false;   ///< The ledger differs from the stored object.
  /// Only responses differ, so the write may wait for the next plan's intents.
  bool deferrable = false;
  bool lost = false;     ///< The response of the last write was lost.
  std::int64_t job = 0;  ///< Id of the job in progress; 0 for none.
  bool leaving = false;
  int failures = 0;  ///< Index calls failed in a row.
  TimePoint next_index;
  TimePoint next_read;  ///< Of the object, while others have intents in it.
  std::string written_spec;                 ///< Of the last write.
  std::vector<endpoint::Command> recorded;  ///< To send after the next write.
  std::int64_t recorded_from = 0;  ///< Object version before `recorded`.
};

/// What this process knows about one of its own commands and has not stored
/// yet.
struct KnownOutcome {
  std::int64_t number = 0;
  bool done = false;  ///< Otherwise it had no effect and will have none.
  /// The write of the intent takes effect on this object version only; 0 if it
  /// is known to have succeeded.
  std::int64_t base_version = 0;
};

/// The planner's thread and state.
class PlannerLoop {
 public:
  PlannerLoop(PlannerOptions options,
              objectapi::Connection connection,
              InForceHolder* in_force,
              PlannerHooks hooks);
  ~PlannerLoop();

  PlannerLoop(const PlannerLoop&) = delete;
  PlannerLoop& operator=(const PlannerLoop&) = delete;

  void Start();
  void Stop();

 private:
  using DrainKey = std::pair<std::string, std::string>;
  struct Drain {
    TimePoint since;
    TimePoint wanted_at;
  };

  void Run();
  void Tick();

  // The lease: planner_lease.cc.
  void StepLease(TimePoint now);
  void ReadLease(TimePoint now);
  void WriteLease(LeaseStep step, TimePoint now);
  void ReleaseLease();
  void UpdateLeadership();

  // Objects of endpoints: planner_endpoints.cc.
  void AdoptConfiguration(const Configuration& configuration);
  void ReadEndpoints();
  void AdoptObject(EndpointState* state,
                   const EndpointLedger& ledger,
                   std::int64_t resource_version);
  void FlushEndpoints();
  bool MayDefer(const EndpointState& state, TimePoint now) const;
  /// Returns false if the platform did not answer.
  bool Flush(EndpointState* state);
  void OnWritten(EndpointState* state, std::int64_t resource_version);
  void ReadBack(EndpointState* state);
  void OnStored(EndpointState* state, const objectapi::Object& stored);
  void OnForeignWrite(EndpointState* state, std::int64_t epoch);

  // Jobs: planner_jobs.cc.
  void TakeResults(TimePoint until);
  void OnIndex(EndpointState* state,
               const EndpointJobResult& result,
               TimePoint now);
  void OnResponses(EndpointState* state, const EndpointJobResult& result);
  void ReportCommand(const EndpointState& state,
                     const EndpointJob& job,
                     const endpoint::Command& command,
                     const Result<bool>& response);
  void StartIndexCalls(TimePoint now);
  void StartCommands(EndpointState* state);
  bool StartJob(EndpointState* state, EndpointJob job);

  // Outcomes of own commands, also after the lease was lost:
  // planner_outcomes.cc.
  void RememberResponses(const EndpointJobResult& result);
  /// Gives up the commands that were recorded and not sent.
  void DropRecorded(EndpointState* state);
  void ApplyOutcomes(EndpointState* state);
  void ForgetStored(const EndpointState& state);
  /// Reads an object again in which another sender may have resolved intents.
  void ReadWithdrawals(TimePoint now);
  /// Resolves own intents in the objects of a later holder of the lease.
  void WithdrawIntents(TimePoint now);
  /// Returns whether nothing is left to resolve.
  bool Withdraw(const std::string& endpoint_id,
                const std::vector<KnownOutcome>& known);

  // Decisions and publishing: planner_plan.cc.
  void Plan(TimePoint now);
  bool IsPlanDue(const std::shared_ptr<const InForce>& current, TimePoint now);
  PlanInput MakeInput(const InForce& in_force, TimePoint now);
  bool IsSettled() const;
  bool IsDrained(const Order& order, TimePoint now);
  void Record(const std::vector<Order>& orders, TimePoint now);
  void RecordOrder(const Order& order);
  void ForgetDrains(TimePoint now);
  void Publish(TimePoint now);
  PlacementView MakeView() const;

  PlannerOptions options;
  objectapi::Connection connection;
  InForceHolder* in_force;
  PlannerHooks hooks;
  AuditWriter audit;
  SendPermission permission;
  CommandPool pool;
  Lease lease;
  bool leading = false;
  TimePoint next_list;
  std::int64_t epoch = 0;  ///< Of the ledgers; that of the lease held.
  std::int64_t configuration_version = -1;
  std::map<std::string, EndpointState, std::less<>> endpoints;
  /// By endpoint.
  std::map<std::string, std::vector<KnownOutcome>, std::less<>> outcomes;
  TimePoint next_withdrawal;
  DemandTracker demand;
  TimePoint demand_at;
  TimePoint planned_at;
  bool changed = true;   ///< Something to plan for since the last plan.
  bool settled = false;  ///< The last plan had nothing to do.
  std::map<std::string, double> planned_demand;
  std::shared_ptr<const InForce> planned_for;
  bool view_changed = true;  ///< Since the placement was compared.
  std::shared_ptr<const InForce> viewed_for;
  TimePoint budget_at;
  double load_budget = 0;
  PlanWishes wishes;
  std::map<DrainKey, Drain> drains;
  TimePoint published_at;
  std::string published_spec;
  std::int64_t published_version = 0;
  bool published_known = false;
  std::int64_t last_job = 0;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

inline constexpr Milliseconds kPlatformTimeout{1000};
/// Between plans after a change.
inline constexpr Milliseconds kPlanInterval{200};
/// Index calls failed in a row after which an engine's copies do not count.
inline constexpr int kDownFailures = 3;

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_PLANNER_LOOP_H_
