#ifndef COLTSFOOTVANE_PLACEMENT_PLAN_TEST_FLEET_H_
#define COLTSFOOTVANE_PLACEMENT_PLAN_TEST_FLEET_H_

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "placement/plan.h"
#include "placement/unmet_needs.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {

inline Endpoint MakeEngine(const char* id,
                           const char* data_centre,
                           std::int64_t memory_mb) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.data_centre = data_centre;
  endpoint.memory_mb = memory_mb;
  return endpoint;
}

inline Model MakeModel(const char* name,
                       const char* version,
                       std::int64_t memory_mb) {
  Model model;
  model.name = name;
  model.version = version;
  model.memory_mb = memory_mb;
  return model;
}

inline Adapter MakeAdapter(const char* name,
                           const char* model,
                           std::int64_t memory_mb) {
  Adapter adapter;
  adapter.name = name;
  adapter.model = model;
  adapter.version = "1";
  adapter.memory_mb = memory_mb;
  return adapter;
}

inline Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.endpoints = {MakeEngine("e1", "dc1", 100),
                             MakeEngine("e2", "dc2", 100)};
  configuration.models = {MakeModel("m1", "1", 40), MakeModel("m2", "1", 40)};
  configuration.adapters = {MakeAdapter("a1", "m1", 5)};
  return configuration;
}

/// Simulated endpoints that execute every command at once. Checks for each
/// command that a load fits in memory or that an unload leaves a copy.
class SimulatedFleet {
 public:
  explicit SimulatedFleet(const Configuration& configuration) {
    this->Declare(configuration);
  }

  void Declare(const Configuration& next) {
    this->configuration = next;
    for (const Endpoint& endpoint : this->configuration.endpoints)
      this->ledgers.try_emplace(endpoint.id);
  }

  PlanInput Input() const {
    PlanInput input;
    input.configuration = &this->configuration;
    input.demand = this->demand;
    input.persistent_unmet = PersistentUnmetNeeds(
        this->unmet_needs, this->configuration.weight_store, this->now);
    input.model_load_budget = 4;
    input.adapter_load_budget = 8;
    for (const Endpoint& endpoint : this->configuration.endpoints) {
      const bool leaving = endpoint.id == this->leaving;
      input.endpoints.push_back(
          {&endpoint, this->ledgers.at(endpoint.id), false, leaving});
    }
    return input;
  }

  /// Plans and executes until there are no commands; fails after 60 rounds.
  void Settle() {
    for (int round = 0; round < 60; ++round) {
      const std::vector<PlannedCommand> commands = PlanCommands(this->Input());
      if (commands.empty())
        return;
      for (const PlannedCommand& planned : commands)
        this->Execute(planned);
    }
    FAIL("plans do not settle within 60 rounds");
  }

  void Execute(const PlannedCommand& planned) {
    EndpointLedger& ledger = this->ledgers[planned.endpoint_id];
    endpoint::Command command = planned.command;
    if (command.operation == endpoint::Command::Operation::kLoad) {
      const Endpoint* const endpoint =
          FindEndpoint(this->configuration, planned.endpoint_id);
      CHECK_TEXT(CanLoad(ledger, endpoint->memory_mb, command.item,
                         command.version, command.memory_mb),
                 command.item.c_str());
      ++this->loads;
      this->model_loads += command.adapter ? 0 : 1;
    } else {
      ++this->unloads;
    }
    RecordIntent(&ledger, &command, "s");
    ResolveByResponse(&ledger, command.fencing_number, true);
    if (command.operation == endpoint::Command::Operation::kUnload)
      CHECK_TEXT(this->allow_last_copy_unload || this->HasCopy(command.item),
                 command.item.c_str());
  }

  /// Plans and executes once per simulated second.
  void RunFor(int seconds) {
    for (int i = 0; i < seconds; ++i) {
      this->now += Milliseconds{1000};
      const PlanResult plan = MakePlan(this->Input());
      UpdateUnmetNeeds(&this->unmet_needs, plan.unmet, this->now);
      for (const PlannedCommand& planned : plan.commands)
        this->Execute(planned);
    }
  }

  int CountCopies(const std::string& item) const {
    int copies = 0;
    for (const auto& [id, ledger] : this->ledgers) {
      for (const LoadedItem& loaded : ledger.loaded)
        copies += loaded.item == item ? 1 : 0;
    }
    return copies;
  }

  bool HasCopy(const std::string& item) const {
    const std::string text = this->Describe();
    return text.find(item + "@") != std::string::npos;
  }

  /// Returns the loaded items by endpoint, for instance
  /// `e1: a1@1 m1@1; e2: m2@1; `.
  std::string Describe() const {
    std::string text;
    for (const auto& [id, ledger] : this->ledgers) {
      std::vector<std::string> items;
      for (const LoadedItem& loaded : ledger.loaded)
        items.push_back(loaded.item + "@" + loaded.version);
      std::sort(items.begin(), items.end());
      text += id + ":";
      for (const std::string& item : items)
        text += " " + item;
      text += "; ";
    }
    return text;
  }

  Configuration configuration;
  std::map<std::string, EndpointLedger> ledgers;
  std::map<std::string, double> demand;
  std::string leaving;
  UnmetNeeds unmet_needs;
  TimePoint now = TimePoint() + Milliseconds{1000};
  bool allow_last_copy_unload = false;
  int loads = 0;
  int model_loads = 0;
  int unloads = 0;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_TEST_FLEET_H_
