#include "placement/plan_load.h"

#include "placement/plan_test_fleet.h"

namespace coltsfootvane {

TEST_GROUP(PlanLoad){};

// Guards against demand that is counted on each copy, or on a copy as if it had
// the engine to itself: m1 is on e1 and e2, m2 on e2 only.
TEST(PlanLoad, DemandIsLevelledOverCopies) {
  struct Row {
    const char* name;
    double demand_m1;
    double demand_m2;
    double e1;
    double e2;
    double pressure_m1;
  };
  const Row rows[] = {
      {"no demand", 0, 0, 0, 0, 0},
      {"one model", 16, 0, 1, 1, 1},
      {"shared engine", 8, 8, 1, 1, 1},
      {"other engine is full", 4, 16, 0.5, 2, 0.5},
      {"both full", 16, 8, 1.5, 1.5, 1.5},
  };
  Fleet fleet(MakeConfiguration());
  fleet.ledgers["e1"].loaded = {{"m1", "1", "", 40, false, true}};
  fleet.ledgers["e2"].loaded = {{"m1", "1", "", 40, false, true},
                                {"m2", "1", "", 40, false, true}};
  for (const Row& row : rows) {
    fleet.demand = {{"m1", row.demand_m1}, {"m2", row.demand_m2}};
    const PlanInput input = fleet.Input();
    const detail::PlanState state(input);
    const detail::LoadEstimate load(input, state);
    DOUBLES_EQUAL_TEXT(row.e1, load.UtilisationOf(0), 0.01, row.name);
    DOUBLES_EQUAL_TEXT(row.e2, load.UtilisationOf(1), 0.01, row.name);
    DOUBLES_EQUAL_TEXT(row.pressure_m1, load.PressureOn(*state.Find("m1")),
                       0.01, row.name);
  }
}

}  // namespace coltsfootvane
