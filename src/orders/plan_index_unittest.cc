#include "orders/plan_index.h"

#include <algorithm>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using orders::CopyMove;
using orders::CopyPlanInput;
using orders::PlannedEngine;

namespace {

constexpr int kModels = 12;
constexpr int kEngines = 8;
constexpr double kModelMb = 70;

/// Engines with three different models each.
CopyPlanInput RandomPlan(std::mt19937* random) {
  CopyPlanInput input;
  for (int i = 0; i < kModels; ++i)
    input.models.push_back({"m" + std::to_string(i), kModelMb,
                            0.01 * static_cast<double>((*random)() % 300), 4, 1,
                            0.4});
  for (int i = 0; i < kEngines; ++i) {
    PlannedEngine engine;
    engine.id = "e" + std::to_string(i);
    engine.memory_mb = 3 * kModelMb;
    engine.usable = (*random)() % 8 != 0;
    while (engine.models.size() < 3) {
      const int model = static_cast<int>((*random)() % kModels);
      if (std::find(engine.models.begin(), engine.models.end(), model) ==
          engine.models.end())
        engine.models.push_back(model);
    }
    if ((*random)() % 4 == 0)
      engine.pending = {engine.models.front()};
    input.engines.push_back(std::move(engine));
  }
  return input;
}

CopyPlanInput After(CopyPlanInput input, const CopyMove& move) {
  PlannedEngine& engine = input.engines[move.engine];
  engine.models.push_back(move.load);
  engine.retiring = move.unload;
  return input;
}

}  // namespace

TEST_GROUP(PlanIndex){};

/// Compares with the cost of the whole plan before and after each move.
TEST(PlanIndex, ChangeOfCostIsThatOfTheWholePlan) {
  std::mt19937 random(20261204);
  int moves = 0;
  for (int round = 0; round < 200; ++round) {
    const CopyPlanInput input = RandomPlan(&random);
    const orders::PlanIndex index = MakePlanIndex(input);
    for (int engine = 0; engine < kEngines; ++engine) {
      const PlannedEngine& target = input.engines[engine];
      const int load = static_cast<int>(random() % kModels);
      const bool held = std::find(target.models.begin(), target.models.end(),
                                  load) != target.models.end();
      const int unload = target.models.back();
      if (!target.usable || held || index.holders[unload].size() < 2)
        continue;
      const CopyMove move{engine, load, {unload}};
      DOUBLES_EQUAL(PlanCost(After(input, move)) - PlanCost(input),
                    CostChange(input, index, move), 1e-9);
      ++moves;
    }
  }
  CHECK(moves > 100);
}
