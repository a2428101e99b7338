#include "orders/placement_state.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using orders::CopyPlanInput;
using orders::PlannedEngine;

namespace {

PlannedEngine Engine(std::vector<int> models, std::vector<int> pending = {}) {
  PlannedEngine engine;
  engine.memory_mb = 150;
  engine.models = std::move(models);
  engine.pending = std::move(pending);
  return engine;
}

CopyPlanInput Input(std::vector<PlannedEngine> engines) {
  CopyPlanInput input;
  input.models = {{"a", 70, 1.5, 4, 1, 1}, {"b", 70, 0.1, 4, 1, 1}};
  input.engines = std::move(engines);
  return input;
}

}  // namespace

TEST_GROUP(PlacementState){};

/// The line has to tell a planner without choice from one that sees no demand.
TEST(PlacementState, SummarizesThePlan) {
  PlannedEngine busy = Engine({0});
  busy.busy = true;
  PlannedEngine leaving = Engine({0, 1});
  leaving.usable = false;
  struct Row {
    const char* name;
    CopyPlanInput input;
    const char* text;
  };
  const Row rows[] = {
      {"no engine", Input({}),
       "engines=0 busy=0 without_choice=0 most=0.00 mean=0.00 "
       "models=a:1.50/0/0,b:0.10/0/0"},
      {"last copies only", Input({Engine({0, 1})}),
       "engines=1 busy=0 without_choice=1 most=1.60 mean=1.60 "
       "models=a:1.50/1/0,b:0.10/1/0"},
      {"a copy on its way", Input({Engine({0, 1}), Engine({0}, {0})}),
       "engines=2 busy=0 without_choice=1 most=0.85 mean=0.80 "
       "models=a:1.50/1/1,b:0.10/1/0"},
      {"busy and leaving engines", Input({busy, leaving}),
       "engines=1 busy=1 without_choice=0 most=1.50 mean=1.50 "
       "models=a:1.50/1/0,b:0.10/0/0"},
  };
  for (const Row& row : rows) {
    STRCMP_EQUAL_TEXT(
        row.text, FormatPlacementState(DescribePlacement(row.input, 6)).c_str(),
        row.name);
  }
}
