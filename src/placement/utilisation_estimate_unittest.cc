#include "placement/utilisation_estimate.h"

#include "placement/plan_test_fleet.h"

namespace coltsfootvane {

TEST_GROUP(PlanLoad){};

// Guards against demand that is counted in full on each copy, and against
// ignoring the load of other models on the same engine. m1 is on e1 and e2, m2
// on e2 only.
TEST(PlanLoad, DemandIsBalancedOverCopies) {
  struct Row {
    const char* name;
    double demand_m1;
    double demand_m2;
    double e1;
    double e2;
    double utilisation_m1;
  };
  const Row rows[] = {
      {"no demand", 0, 0, 0, 0, 0},
      {"one model", 16, 0, 1, 1, 1},
      {"shared engine", 8, 8, 1, 1, 1},
      {"other engine is full", 4, 16, 0.5, 2, 0.5},
      {"both full", 16, 8, 1.5, 1.5, 1.5},
  };
  SimulatedFleet fleet(MakeConfiguration());
  fleet.ledgers["e1"].loaded = {{"m1", "1", "", 40, false, true}};
  fleet.ledgers["e2"].loaded = {{"m1", "1", "", 40, false, true},
                                {"m2", "1", "", 40, false, true}};
  for (const Row& row : rows) {
    fleet.demand = {{"m1", row.demand_m1}, {"m2", row.demand_m2}};
    const PlanInput input = fleet.Input();
    const detail::PlanState state(input);
    const detail::UtilisationEstimate estimate(input, state);
    DOUBLES_EQUAL_TEXT(row.e1, estimate.UtilisationOf(0), 0.01, row.name);
    DOUBLES_EQUAL_TEXT(row.e2, estimate.UtilisationOf(1), 0.01, row.name);
    DOUBLES_EQUAL_TEXT(row.utilisation_m1,
                       estimate.LowestUtilisation(*state.FindItem("m1")), 0.01,
                       row.name);
  }
}

}  // namespace coltsfootvane
