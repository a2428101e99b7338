#include "orders/copy_plan.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using orders::CopyMove;
using orders::CopyPlanInput;
using orders::PlannedEngine;

namespace {

constexpr double kModelMb = 70;

CopyPlanInput Input(std::vector<double> demands,
                    std::vector<std::vector<int>> loaded_models) {
  CopyPlanInput input;
  for (std::size_t i = 0; i < demands.size(); ++i) {
    input.models.push_back(
        {"m" + std::to_string(i), kModelMb, demands[i], 4, 0.8, 0.4});
  }
  for (std::size_t i = 0; i < loaded_models.size(); ++i) {
    PlannedEngine engine;
    engine.id = "e" + std::to_string(i);
    engine.memory_mb = 3 * kModelMb;
    engine.models = loaded_models[i];
    input.engines.push_back(engine);
  }
  return input;
}

int Copies(const CopyPlanInput& input, int model) {
  int copies = 0;
  for (const PlannedEngine& engine : input.engines) {
    copies += static_cast<int>(
        std::count(engine.models.begin(), engine.models.end(), model));
  }
  return copies;
}

void Apply(CopyPlanInput* input, const CopyMove& move) {
  std::vector<int>& models = input->engines[move.engine].models;
  for (const int model : move.unload)
    models.erase(std::find(models.begin(), models.end(), model));
  models.push_back(move.load);
}

}  // namespace

TEST_GROUP(CopyPlan){};

TEST(CopyPlan, ChoosesTheNextMove) {
  struct Row {
    const char* name;
    std::vector<double> demands;
    std::vector<std::vector<int>> loaded_models;
    int load;  ///< -1 for no move.
    std::vector<int> unload;
  };
  const Row rows[] = {
      {"balanced", {0.3, 0.3}, {{0}, {1}}, -1, {}},
      {"a model without a copy", {0.3, 0}, {{0}, {0}}, 1, {}},
      {"a model without a copy, all engines full",
       {0.3, 0, 0, 0},
       {{0, 1, 2}, {0, 1, 2}},
       3,
       {1}},
      {"demand for one model beyond one engine", {1.5, 0.1}, {{0}, {1}}, 0, {}},
      {"the hot model replaces a spare copy",
       {1.5, 0, 0, 0, 0},
       {{0, 1, 2}, {3, 4, 1}},
       0,
       {1}},
      {"no spare copy to unload",
       {1.5, 0, 0, 0, 0, 0},
       {{0, 1, 2}, {3, 4, 5}},
       -1,
       {}},
  };
  for (const Row& row : rows) {
    const auto move = NextMove(Input(row.demands, row.loaded_models));
    LONGS_EQUAL_TEXT(row.load, move ? move->load : -1, row.name);
    if (move)
      CHECK_TEXT(row.unload == move->unload, row.name);
  }
}

/// A copy that is still being loaded serves no requests. Guards against the
/// unload of the only loaded copy of a model.
TEST(CopyPlan, PendingCopiesDoNotMakeOthersSpare) {
  struct Row {
    const char* name;
    std::vector<int> pending;  ///< At the second engine.
    int unload;                ///< -1 if nothing may be unloaded.
  };
  const Row rows[] = {
      {"both copies are loaded", {}, 1},
      {"one is still being loaded", {1}, -1},
  };
  for (const Row& row : rows) {
    CopyPlanInput input = Input({1.5, 0, 0, 0, 0}, {{4, 1, 2}, {0, 3, 1}});
    input.engines[1].pending = row.pending;
    const auto move = NextMove(input);
    LONGS_EQUAL_TEXT(row.unload, move ? move->unload.front() : -1, row.name);
  }
}

TEST(CopyPlan, PrefersLocalWeights) {
  CopyPlanInput input = Input({1.5, 0.1, 0.1}, {{0}, {1}, {2}});
  input.engines[2].in_memory = {0};
  const auto move = NextMove(input);
  CHECK(move.has_value());
  LONGS_EQUAL(2, move->engine);
  CHECK(move->source == orders::WeightSource::kMemory);
}

TEST(CopyPlan, UnavailableEnginesGetNoLoad) {
  struct Row {
    const char* name;
    void (*change)(CopyPlanInput*);
  };
  const Row rows[] = {
      {"busy", [](CopyPlanInput* i) { i->engines[1].busy = true; }},
      {"leaving", [](CopyPlanInput* i) { i->engines[1].usable = false; }},
      {"retiring a model",
       [](CopyPlanInput* i) { i->engines[1].retiring = {1}; }},
      {"no load from the weight store allowed",
       [](CopyPlanInput* i) { i->store_load_allowed = false; }},
      {"memory taken by adapters",
       [](CopyPlanInput* i) {
         i->engines[1].adapter_memory_mb = 2 * kModelMb + 1;
       }},
  };
  for (const Row& row : rows) {
    CopyPlanInput input = Input({2, 0.1}, {{0}, {1}});
    CHECK_TEXT(NextMove(input).has_value(), row.name);
    row.change(&input);
    const auto move = NextMove(input);
    CHECK_TEXT(!move || move->engine != 1, row.name);
  }
}

/// Demand moves from model to model. The plan has to settle after each shift,
/// without overcommitting an engine or unloading the last copy of a model.
TEST(CopyPlan, DemandShiftsKeepMemoryLimitsAndLastCopies) {
  std::mt19937 random(4711);
  CopyPlanInput input =
      Input(std::vector<double>(17, 0), std::vector<std::vector<int>>(9));
  for (int shift = 0; shift < 40; ++shift) {
    for (auto& model : input.models)
      model.demand = 0.01 * static_cast<double>(random() % 10);
    input.models[random() % 5].demand = 3;
    input.models[random() % 5].demand = 1;
    int steps = 0;
    while (const auto move = NextMove(input)) {
      CHECK(++steps < 100);
      Apply(&input, *move);
      for (const PlannedEngine& engine : input.engines) {
        CHECK(static_cast<double>(engine.models.size()) * kModelMb <=
              engine.memory_mb);
      }
    }
    for (int model = 0; model < 17; ++model)
      CHECK(Copies(input, model) >= 1);
    // One copy of each model would not serve this demand.
    int hot = 0;
    for (int model = 1; model < 17; ++model)
      hot = input.models[model].demand > input.models[hot].demand ? model : hot;
    CHECK(Copies(input, hot) >= 4);
  }
}
