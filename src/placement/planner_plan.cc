#include <algorithm>
#include <cmath>

#include "log/event.h"
#include "placement/events.h"
#include "placement/planner_loop.h"

namespace coltsfootvane::detail {
namespace {

// Between plans without a change, to follow demand and to issue postponed
// commands.
constexpr Milliseconds kIdlePlanInterval{1000};
constexpr Milliseconds kDemandInterval{1000};
constexpr Milliseconds kPublishInterval{1000};
// Between the removal of a copy from the published placement and its unload;
// daemons learn of the new placement through a watch.
constexpr Milliseconds kDrainTime{2000};

// Smaller changes of the demand for a model or adapter would move no copy, so
// they do not trigger a new plan.
constexpr double kMinDemandChangeRequests = 0.25;
// The batch size for one endpoint is chosen to take about this long, since
// nothing else is sent to the endpoint in the meantime.
constexpr Milliseconds kTargetBatchTime{2000};
constexpr std::int64_t kMaxModelBatch = 8;

bool HasDemandChanged(const std::map<std::string, double>& before,
                      const std::map<std::string, double>& after) {
  const auto differs = [](const auto& one, const auto& other) {
    return std::any_of(one.begin(), one.end(), [&other](const auto& entry) {
      const auto found = other.find(entry.first);
      const double demand = found == other.end() ? 0 : found->second;
      return std::abs(entry.second - demand) >= kMinDemandChangeRequests;
    });
  };
  return differs(before, after) || differs(after, before);
}

bool IsUnload(const endpoint::Command& command) {
  return command.operation == endpoint::Command::Operation::kUnload;
}

}  // namespace

/// A settled plan is recomputed only if one of its inputs has changed.
bool PlannerLoop::IsPlanDue(const std::shared_ptr<const InForce>& current,
                            TimePoint now) {
  const Milliseconds interval =
      this->replan_needed ? kPlanInterval : kIdlePlanInterval;
  if (now - this->planned_at < interval || !this->AreAllEndpointsKnown())
    return false;
  if (this->replan_needed || !this->plan_settled || !this->drains.empty() ||
      current != this->planned_configuration)
    return true;
  return HasDemandChanged(
      this->planned_demand,
      WeightedDemand(this->demand, current->configuration.classes));
}

bool PlannerLoop::AreAllEndpointsKnown() const {
  return !this->endpoints.empty() &&
         std::all_of(this->endpoints.begin(), this->endpoints.end(),
                     [](const auto& entry) {
                       return entry.second.synced ||
                              entry.second.failures >= kMaxIndexFailures;
                     });
}

void PlannerLoop::Plan(TimePoint now) {
  if (now - this->demand_updated_at >= kDemandInterval &&
      this->hooks.take_demand) {
    UpdateDemand(&this->demand, this->hooks.take_demand(), now);
    this->demand_updated_at = now;
  }
  const std::shared_ptr<const InForce> current = this->in_force->Get();
  if (!this->IsPlanDue(current, now))
    return;
  this->planned_at = now;
  this->planned_configuration = current;
  const PlanInput input = this->MakeInput(*current, now);
  const PlanResult plan = MakePlan(input);
  UpdateUnmetNeeds(&this->unmet_needs, plan.unmet, now);
  this->planned_demand = input.demand;
  this->plan_settled = plan.settled;
  this->replan_needed = !plan.commands.empty();
  this->RecordCommands(plan.commands, now);
  this->RemoveStaleDrains(now);
}

PlanInput PlannerLoop::MakeInput(const InForce& current, TimePoint now) {
  const WeightStore& store = current.configuration.weight_store;
  const double elapsed_s =
      std::chrono::duration<double>(now - this->load_budget_updated_at).count();
  const double burst = std::max(1.0, store.loads_per_s);
  this->load_budget = std::min(
      burst, this->load_budget + std::min(elapsed_s, 1.0) * store.loads_per_s);
  this->load_budget_updated_at = now;
  int loading = 0;
  int adapters_loading = 0;
  PlanInput input;
  input.configuration = &current.configuration;
  input.demand = WeightedDemand(this->demand, current.configuration.classes);
  input.max_model_batch = static_cast<int>(std::clamp(
      kTargetBatchTime / LoadTime(store), std::int64_t{1}, kMaxModelBatch));
  input.persistent_unmet = PersistentUnmetNeeds(this->unmet_needs, store, now);
  for (const auto& [id, state] : this->endpoints) {
    PlanEndpoint planned;
    planned.endpoint = &state.endpoint;
    planned.ledger = state.ledger;
    planned.busy = state.job_id != 0 || state.write_unconfirmed ||
                   !state.synced || !state.recorded_commands.empty() ||
                   (state.dirty && !state.deferrable);
    const bool down = !state.synced || state.failures >= kMaxIndexFailures;
    const auto drain = this->drains.lower_bound({id, ""});
    planned.draining = drain != this->drains.end() && drain->first.first == id;
    planned.leaving = down || state.leaving || current.leaving.count(id) != 0;
    for (const Intent& intent : state.ledger.intents) {
      const bool in_progress =
          state.job_id != 0 &&
          intent.operation == endpoint::Command::Operation::kLoad &&
          !intent.fenced && intent.sender == this->options.incarnation;
      loading += in_progress && !intent.adapter ? 1 : 0;
      adapters_loading += in_progress && intent.adapter ? 1 : 0;
    }
    input.endpoints.push_back(std::move(planned));
  }
  input.model_load_budget =
      std::min(static_cast<int>(this->load_budget),
               std::max(0, store.loads_at_once - loading));
  input.adapter_load_budget =
      std::max(0, store.adapter_loads_in_flight - adapters_loading);
  return input;
}

bool PlannerLoop::IsDrained(const PlannedCommand& planned, TimePoint now) {
  const DrainKey key{planned.endpoint_id,
                     planned.command.item + "@" + planned.command.version};
  const auto [drain, added] = this->drains.try_emplace(key, Drain{now, now});
  drain->second.wanted_at = now;
  this->view_changed = this->view_changed || added;
  return now - drain->second.since >= kDrainTime;
}

void PlannerLoop::RemoveStaleDrains(TimePoint now) {
  for (auto it = this->drains.begin(); it != this->drains.end();) {
    const bool wanted = now - it->second.wanted_at < kDrainTime;
    this->view_changed = this->view_changed || !wanted;
    it = wanted ? std::next(it) : this->drains.erase(it);
  }
}

void PlannerLoop::RecordCommands(const std::vector<PlannedCommand>& commands,
                                 TimePoint now) {
  std::vector<const PlannedCommand*> unloads;
  for (const PlannedCommand& planned : commands) {
    if (!IsUnload(planned.command))
      this->RecordCommand(planned);
    else if (this->IsDrained(planned, now))
      unloads.push_back(&planned);
  }
  // An unload waits for the calls in progress on its copy, so it is not sent in
  // a batch that has loads, which would wait behind it.
  const auto has_load = [this](const PlannedCommand* planned) {
    const auto found = this->endpoints.find(planned->endpoint_id);
    return found != this->endpoints.end() &&
           !found->second.recorded_commands.empty();
  };
  unloads.erase(std::remove_if(unloads.begin(), unloads.end(), has_load),
                unloads.end());
  for (const PlannedCommand* planned : unloads)
    this->RecordCommand(*planned);
}

void PlannerLoop::RecordCommand(const PlannedCommand& planned) {
  const auto found = this->endpoints.find(planned.endpoint_id);
  if (!this->leading || found == this->endpoints.end())
    return;
  EndpointState& state = found->second;
  endpoint::Command command = planned.command;
  // The ledger is authoritative for memory, not the sums of the plan.
  if (!IsUnload(command) &&
      !CanLoad(state.ledger, state.endpoint.memory_mb, command.item,
               command.version, command.memory_mb))
    return;
  if (!RecordIntent(&state.ledger, &command, this->options.incarnation)) {
    // The fencing numbers of this epoch are used up. Taking the lease again
    // starts a new epoch.
    this->ReleaseLease();
    return;
  }
  if (!IsUnload(command) && !command.adapter)
    this->load_budget -= 1;
  if (state.recorded_commands.empty())
    state.recorded_from_version = state.resource_version;
  state.recorded_commands.push_back(std::move(command));
  state.dirty = true;
}

PlacementView PlannerLoop::MakeView() const {
  const std::shared_ptr<const InForce> current = this->in_force->Get();
  PlacementView view;
  for (const auto& [id, state] : this->endpoints) {
    EndpointPlacement placement;
    placement.endpoint_id = id;
    placement.leaving = state.leaving || current->leaving.count(id) != 0;
    std::set<std::string> ready;
    const bool down = !state.synced || state.failures >= kMaxIndexFailures;
    for (const LoadedItem& loaded : state.ledger.loaded) {
      const DrainKey key{id, loaded.item + "@" + loaded.version};
      if (down || this->drains.count(key) != 0 ||
          !CountsAsCopy(state.ledger, loaded.item, loaded.version))
        continue;
      ready.insert(loaded.item);
    }
    placement.ready.assign(ready.begin(), ready.end());
    view.endpoints.push_back(std::move(placement));
  }
  return view;
}

void PlannerLoop::Publish(TimePoint now) {
  if (now - this->published_at < kPublishInterval ||
      !this->AreAllEndpointsKnown() ||
      !MaySendCommands(this->lease, Clock::now()))
    return;
  const std::shared_ptr<const InForce> current = this->in_force->Get();
  if (this->published_known && !this->view_changed &&
      current == this->viewed_configuration)
    return;
  const TimePoint deadline = Clock::now() + kPlatformTimeout;
  if (!this->published_known) {
    const Result<objectapi::Object> stored =
        objectapi::ReadObject(this->connection, objectapi::kPlacementKind,
                              this->options.region, deadline);
    const bool absent =
        !stored && stored.assume_error().code == ErrorCode::kNotFound;
    if (!stored && !absent)
      return;
    this->published_version =
        stored ? stored.assume_value().resource_version : 0;
    const Result<PlacementView> view =
        ParsePlacement(stored ? stored.assume_value().spec : "");
    this->published_spec = view ? FormatPlacement(view.assume_value()) : "";
    this->published_known = true;
  }
  objectapi::Object object;
  object.kind = objectapi::kPlacementKind;
  object.name = this->options.region;
  object.resource_version = this->published_version;
  object.spec = FormatPlacement(this->MakeView());
  this->view_changed = false;
  this->viewed_configuration = current;
  if (object.spec == this->published_spec)
    return;
  this->published_at = now;
  const Result<objectapi::Object> stored =
      object.resource_version == 0
          ? objectapi::CreateObject(this->connection, object, deadline)
          : objectapi::UpdateObject(this->connection, object, deadline);
  this->published_known = stored.has_value();
  this->view_changed = !stored.has_value();
  if (!stored)
    return;
  this->published_version = stored.assume_value().resource_version;
  this->published_spec = object.spec;
}

}  // namespace coltsfootvane::detail
