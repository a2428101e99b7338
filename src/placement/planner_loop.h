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
#include "placement/planner.h"
#include "placement/unmet_needs.h"

namespace coltsfootvane::detail {

/// The lease holder's state for one engine.
struct EndpointState {
  Endpoint endpoint;
  EndpointLedger ledger;
  std::int64_t resource_version = 0;
  bool read = false;    ///< The object was read; `ledger` has this epoch.
  bool synced = false;  ///< An index was applied in this epoch.
  bool dirty = false;   ///< The ledger differs from the stored object.
  /// The ledger differs only by resolved responses, so the write may wait for
  /// the intents of the next plan.
  bool deferrable = false;
  bool write_unconfirmed = false;  ///< The response to the last write was lost.
  std::int64_t job_id = 0;         ///< Id of the job in progress; 0 for none.
  bool leaving = false;
  int failures = 0;  ///< Consecutive failed index calls.
  TimePoint next_index;
  /// Next read of the object while it has intents of other senders.
  TimePoint next_read;
  std::string written_spec;  ///< Spec of the last write.
  /// To send after the next write.
  std::vector<endpoint::Command> recorded_commands;
  /// Object version before `recorded_commands`.
  std::int64_t recorded_from_version = 0;
};

/// The known outcome of a command of this process that is not yet stored in the
/// endpoint's object.
struct CommandOutcome {
  std::int64_t number = 0;
  bool done = false;  ///< Otherwise it had no effect and will have none.
  /// Object version on which the write of the intent is conditional; 0 if that
  /// write is known to have succeeded.
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
  /// Endpoint id and `item@version`.
  using DrainKey = std::pair<std::string, std::string>;
  /// A planned unload that waits until the other daemons have seen the
  /// placement without the copy.
  struct Drain {
    TimePoint since;
    TimePoint wanted_at;  ///< When a plan last asked for the unload.
  };

  void Run();
  void Tick();

  // Lease (planner_lease.cc).
  void StepLease(TimePoint now);
  void ReadLease(TimePoint now);
  void WriteLease(LeaseStep step, TimePoint now);
  void ReleaseLease();
  void UpdateLeadership();

  // Endpoint objects (planner_endpoints.cc).
  void ApplyConfiguration(const Configuration& configuration);
  void ReadEndpoints();
  void ApplyObject(EndpointState* state,
                   const EndpointLedger& ledger,
                   std::int64_t resource_version);
  void FlushEndpoints();
  bool MayDefer(const EndpointState& state, TimePoint now) const;
  /// Writes the object of `state`. Returns false if the platform did not
  /// answer.
  bool Flush(EndpointState* state);
  void OnWritten(EndpointState* state, std::int64_t resource_version);
  void ReadBack(EndpointState* state);
  void OnStored(EndpointState* state, const objectapi::Object& stored);
  void OnConflictingWrite(EndpointState* state, std::int64_t stored_epoch);

  // Jobs (planner_jobs.cc).
  void ProcessResults(TimePoint until);
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

  // Outcomes of this process's commands, also after the lease was lost
  // (planner_outcomes.cc).
  void RecordOutcomes(const EndpointJobResult& result);
  /// Discards the recorded commands that were not sent.
  void DropUnsentCommands(EndpointState* state);
  void ApplyOutcomes(EndpointState* state);
  /// Forgets the outcomes that the stored ledger already reflects: their
  /// intents are no longer in it.
  void RemoveStoredOutcomes(const EndpointState& state);
  /// Reads again one object that has intents of other senders, since they may
  /// have resolved them there.
  void RefreshForeignIntents(TimePoint now);
  /// Resolves intents of this process in the endpoint objects after another
  /// process has taken over the lease.
  void ResolveIntentsAfterLeaseLoss(TimePoint now);
  /// Resolves `known` in the stored object of the endpoint. Returns whether
  /// nothing is left to resolve.
  bool ResolveStoredIntents(const std::string& endpoint_id,
                            const std::vector<CommandOutcome>& known);

  // Planning and publishing (planner_plan.cc).
  void Plan(TimePoint now);
  bool IsPlanDue(const std::shared_ptr<const InForce>& current, TimePoint now);
  PlanInput MakeInput(const InForce& in_force, TimePoint now);
  bool AreAllEndpointsKnown() const;
  bool IsDrained(const PlannedCommand& planned, TimePoint now);
  void RecordCommands(const std::vector<PlannedCommand>& commands,
                      TimePoint now);
  void RecordCommand(const PlannedCommand& planned);
  void RemoveStaleDrains(TimePoint now);
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
  std::int64_t epoch = 0;  ///< Of the last lease held and its ledgers.
  std::int64_t configuration_version = -1;
  std::map<std::string, EndpointState, std::less<>> endpoints;
  /// Outcomes that are not stored yet, by endpoint id.
  std::map<std::string, std::vector<CommandOutcome>, std::less<>> outcomes;
  TimePoint next_resolution;
  DemandTracker demand;
  TimePoint demand_updated_at;
  TimePoint planned_at;
  /// Inputs of the plan changed since the last plan.
  bool replan_needed = true;
  bool plan_settled = false;  ///< The last plan left nothing to do.
  std::map<std::string, double> planned_demand;
  std::shared_ptr<const InForce> planned_configuration;
  /// The placement may differ from the one that was last compared.
  bool view_changed = true;
  std::shared_ptr<const InForce> viewed_configuration;
  TimePoint load_budget_updated_at;
  double load_budget = 0;
  UnmetNeeds unmet_needs;
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
/// Minimum interval between plans after a change.
inline constexpr Milliseconds kPlanInterval{200};
/// Consecutive failed index calls after which an engine counts as down and its
/// copies are ignored.
inline constexpr int kMaxIndexFailures = 3;

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_PLANNER_LOOP_H_
