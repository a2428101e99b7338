#include "placement/plan.h"

#include <algorithm>
#include <string>
#include <vector>

#include "placement/demand_tracker.h"

#include "placement/plan_test_fleet.h"

namespace coltsfootvane {
TEST_GROUP(Plan){};

// Guards against items that get no copy, and against plans that never settle.
TEST(Plan, EveryItemGetsACopyAndThePlanSettles) {
  SimulatedFleet fleet(MakeConfiguration());
  fleet.Settle();
  for (const char* item : {"m1", "m2", "a1"})
    CHECK_TEXT(fleet.HasCopy(item), item);
  LONGS_EQUAL(3, fleet.loads);
  LONGS_EQUAL(0, fleet.unloads);
  const std::string before = fleet.Describe();
  fleet.Settle();
  STRCMP_EQUAL(before.c_str(), fleet.Describe().c_str());
}

// Guards against the loss of the last copy, and against a move for every change
// of demand.
TEST(Plan, CopiesFollowDemandAndSurvivalGoal) {
  struct Row {
    const char* name;
    double demand_m1;
    int min_copies_m1;
    SurvivalGoal goal;
    std::ptrdiff_t copies_m1;
    std::ptrdiff_t copies_m2;
  };
  const Row rows[] = {
      {"no demand", 0, 1, SurvivalGoal::kVm, 1, 1},
      {"below one copy", 7, 1, SurvivalGoal::kVm, 1, 1},
      {"above one copy", 9, 1, SurvivalGoal::kVm, 2, 1},
      {"minimum", 0, 2, SurvivalGoal::kVm, 2, 1},
      {"survival", 0, 1, SurvivalGoal::kDataCentre, 2, 2},
  };
  for (const Row& row : rows) {
    Configuration configuration = MakeConfiguration();
    configuration.models[0].min_copies = row.min_copies_m1;
    configuration.survival_goal = row.goal;
    SimulatedFleet fleet(configuration);
    fleet.demand["m1"] = row.demand_m1;
    fleet.Settle();
    const auto count = [&fleet](const char* item) {
      return std::count_if(
          fleet.ledgers.begin(), fleet.ledgers.end(),
          [item](const auto& e) { return CountsAsCopy(e.second, item, "1"); });
    };
    LONGS_EQUAL_TEXT(row.copies_m1, count("m1"), row.name);
    LONGS_EQUAL_TEXT(row.copies_m2, count("m2"), row.name);
    fleet.demand.clear();
    fleet.Settle();
    LONGS_EQUAL_TEXT(row.copies_m1, count("m1"), row.name);
  }
}

// Guards against memory sums in the plan that leave out what an endpoint may
// hold after an unnoticed restart: a fenced load, and items loaded since the
// last index.
TEST(Plan, LoadsFitBesidePossibleContentsAfterARestart) {
  struct Row {
    const char* name;
    bool observed;
    std::int64_t memory_mb;
    std::size_t commands;
  };
  const Row rows[] = {
      {"fits beside both", false, 10, 1},
      {"does not fit beside both", false, 11, 0},
      {"an index has shown the newer one", true, 50, 1},
      {"too large for the running engine", true, 51, 0},
  };
  for (const Row& row : rows) {
    Configuration configuration = MakeConfiguration();
    configuration.endpoints.resize(1);
    configuration.models = {MakeModel("newer", "1", 50),
                            MakeModel("next", "1", row.memory_mb)};
    configuration.adapters.clear();
    SimulatedFleet fleet(configuration);
    EndpointLedger& ledger = fleet.ledgers["e1"];
    endpoint::Command late;
    late.item = "late";
    late.version = "1";
    late.memory_mb = 40;
    RecordIntent(&ledger, &late, "s");
    ledger.intents.back().fenced = true;
    LoadedItem newer;
    newer.item = "newer";
    newer.version = "1";
    newer.memory_mb = 50;
    newer.ready = true;
    newer.observed = row.observed;
    ledger.loaded.push_back(newer);
    LONGS_EQUAL_TEXT(row.commands, PlanCommands(fleet.Input()).size(),
                     row.name);
  }
}

// Guards against a version change that leaves a model without a copy of any
// version, and against undeclared items that stay in memory.
TEST(Plan, ConfigurationChangesSettle) {
  struct Row {
    const char* name;
    std::int64_t memory_mb;
    bool allow_last_copy_unload;
  };
  for (const Row& row : {Row{"room for both versions", 100, false},
                         Row{"room elsewhere", 90, false},
                         Row{"no room for the adapter", 80, true},
                         Row{"no room for both", 48, true}}) {
    Configuration configuration = MakeConfiguration();
    for (Endpoint& endpoint : configuration.endpoints)
      endpoint.memory_mb = row.memory_mb;
    SimulatedFleet fleet(configuration);
    fleet.Settle();
    configuration.models[0].version = "2";
    fleet.Declare(configuration);
    fleet.allow_last_copy_unload = row.allow_last_copy_unload;
    fleet.Settle();
    const std::string changed = fleet.Describe();
    CHECK_TEXT(changed.find("m1@2") != std::string::npos, row.name);
    CHECK_TEXT(changed.find("m1@1") == std::string::npos, changed.c_str());
    CHECK_TEXT(changed.find("a1@1") != std::string::npos, changed.c_str());
    configuration.models.erase(configuration.models.begin());
    configuration.adapters.clear();
    fleet.Declare(configuration);
    fleet.allow_last_copy_unload = true;
    fleet.Settle();
    CHECK_TEXT(!fleet.HasCopy("m1"), row.name);
    CHECK_TEXT(!fleet.HasCopy("a1"), row.name);
    CHECK_TEXT(fleet.HasCopy("m2"), row.name);
  }
}

// Guards against plans that count the copies on a leaving VM.
TEST(Plan, LeavingEndpointIsReplaced) {
  SimulatedFleet fleet(MakeConfiguration());
  fleet.Settle();
  fleet.leaving = "e1";
  fleet.Settle();
  for (const char* item : {"m1", "m2", "a1"})
    CHECK_TEXT(FindLoaded(fleet.ledgers["e2"], item, "1") != nullptr, item);
}

// Guards against more concurrent loads than the weight store serves at full
// speed, and against two commands for one endpoint.
TEST(Plan, CommandsStayWithinTheBudget) {
  struct Row {
    int model_loads;
    bool busy;
    std::size_t commands;
  };
  for (const Row& row : {Row{0, false, 0}, Row{1, false, 1}, Row{4, false, 2},
                         Row{4, true, 0}}) {
    SimulatedFleet fleet(MakeConfiguration());
    PlanInput input = fleet.Input();
    input.model_load_budget = row.model_loads;
    for (PlanEndpoint& endpoint : input.endpoints)
      endpoint.busy = row.busy;
    LONGS_EQUAL(row.commands, PlanCommands(input).size());
  }
}

// Guards against a batch above its limit, and against models and adapters in
// one batch, since the model of an adapter has to be ready first.
TEST(Plan, ModelLoadsAreBatched) {
  struct Row {
    int max_model_batch;
    int model_loads;
    std::size_t commands;
  };
  for (const Row& row :
       {Row{1, 8, 2}, Row{2, 8, 4}, Row{2, 3, 3}, Row{8, 8, 5}}) {
    Configuration configuration = MakeConfiguration();
    for (const char* name : {"m3", "m4", "m5"})
      configuration.models.push_back(MakeModel(name, "1", 20));
    SimulatedFleet fleet(configuration);
    PlanInput input = fleet.Input();
    input.max_model_batch = row.max_model_batch;
    input.model_load_budget = row.model_loads;
    const std::vector<PlannedCommand> commands = PlanCommands(input);
    LONGS_EQUAL(row.commands, commands.size());
    for (const PlannedCommand& planned : commands)
      fleet.Execute(planned);
  }
}

// Guards against a plan that counts as settled, and so is not repeated,
// although a command was postponed.
TEST(Plan, OnlyAPlanWithoutCommandsAndUnmetNeedsIsSettled) {
  struct Row {
    const char* name;
    int model_loads;
    bool placed;
    double demand;
    bool settled;
  };
  for (const Row& row :
       {Row{"commands", 4, false, 0, false},
        Row{"no budget", 0, false, 0, false}, Row{"placed", 0, true, 0, true},
        Row{"a copy waits for budget", 0, true, 20, false}}) {
    SimulatedFleet fleet(MakeConfiguration());
    if (row.placed)
      fleet.Settle();
    fleet.demand["m1"] = row.demand;
    PlanInput input = fleet.Input();
    input.model_load_budget = row.model_loads;
    CHECK_TEXT(MakePlan(input).settled == row.settled, row.name);
  }
}

// Guards against plans that wait for ever for a lost load. The memory of the
// load stays charged, and the model is loaded again.
TEST(Plan, LostLoadIsRepeated) {
  SimulatedFleet fleet(MakeConfiguration());
  endpoint::Command command;
  command.item = "m1";
  command.version = "1";
  command.memory_mb = 40;
  RecordIntent(&fleet.ledgers["e1"], &command, "s");
  fleet.Settle();
  CHECK(fleet.HasCopy("m1"));
}

// Guards against memory that stays occupied because an unload was lost, and
// against a second unload while the first one is in progress.
TEST(Plan, LostUnloadIsRepeated) {
  SimulatedFleet fleet(MakeConfiguration());
  fleet.Settle();
  EndpointLedger& ledger = fleet.ledgers["e1"];
  ledger.loaded.push_back({"old", "1", "", 10, false, true});
  fleet.allow_last_copy_unload = true;
  const std::vector<PlannedCommand> first = PlanCommands(fleet.Input());
  LONGS_EQUAL(1, first.size());
  endpoint::Command lost = first[0].command;
  RecordIntent(&ledger, &lost, "s");
  PlanInput input = fleet.Input();
  input.endpoints[0].busy = true;
  LONGS_EQUAL(0, PlanCommands(input).size());
  fleet.Settle();
  LONGS_EQUAL(1, fleet.unloads);
  CHECK(!fleet.HasCopy("old"));
}

// Guards against an old version of a model that is never unloaded because of an
// adapter that runs on the new version on the same endpoint.
TEST(Plan, OldVersionWithAdapterIsUnloaded) {
  SimulatedFleet fleet(MakeConfiguration());
  EndpointLedger& ledger = fleet.ledgers["e1"];
  ledger.loaded.push_back({"m1", "0", "", 40, false, true});
  ledger.loaded.push_back({"m1", "1", "", 40, false, true});
  ledger.loaded.push_back({"a1", "1", "m1", 5, true, true});
  fleet.Settle();
  STRCMP_EQUAL("e1: a1@1 m1@1; e2: m2@1; ", fleet.Describe().c_str());
}

// Guards against a load that waits until another copy on the same endpoint has
// drained.
TEST(Plan, DrainDoesNotDelayLoads) {
  Configuration configuration = MakeConfiguration();
  configuration.endpoints.pop_back();
  configuration.models.pop_back();
  SimulatedFleet fleet(configuration);
  EndpointLedger& ledger = fleet.ledgers["e1"];
  ledger.loaded.push_back({"m1", "1", "", 40, false, true});
  ledger.loaded.push_back({"old", "1", "", 40, false, true});
  const std::vector<PlannedCommand> commands = PlanCommands(fleet.Input());
  LONGS_EQUAL(2, commands.size());
  STRCMP_EQUAL("old", commands[0].command.item.c_str());
  STRCMP_EQUAL("a1", commands[1].command.item.c_str());
}

// Guards against adapters that are lost with a data centre although their model
// has a copy in another one.
TEST(Plan, AdaptersFollowTheSurvivalGoal) {
  Configuration configuration = MakeConfiguration();
  configuration.survival_goal = SurvivalGoal::kDataCentre;
  SimulatedFleet fleet(configuration);
  fleet.Settle();
  STRCMP_EQUAL("e1: a1@1 m1@1 m2@1; e2: a1@1 m1@1 m2@1; ",
               fleet.Describe().c_str());
}

// Guards against smoothed demand that rises too late in a burst, and that falls
// so fast that a pause costs copies.
TEST(Plan, DemandRisesFastAndFallsSlowly) {
  struct Row {
    int seconds;
    double target;
    double low;
    double high;
  };
  DemandTracker tracker;
  TimePoint now = TimePoint() + Milliseconds{1000};
  UpdateDemand(&tracker, {}, now);
  for (const Row& row : {Row{5, 10, 6.2, 6.5}, Row{20, 10, 9.8, 10},
                         Row{60, 0, 7.9, 8.3}, Row{1200, 0, 0, 0.2}}) {
    now += Milliseconds{row.seconds * 1000};
    std::vector<ItemDemand> demand(1);
    demand[0].item = "m1";
    demand[0].requests[0] = row.target;
    UpdateDemand(&tracker, demand, now);
    const double value = tracker.smoothed["m1"][0];
    CHECK(value >= row.low && value <= row.high);
  }
}

}  // namespace coltsfootvane
