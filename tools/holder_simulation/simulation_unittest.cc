#include "tools/holder_simulation/simulation.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using tools::HolderDesign;
using tools::HolderResult;
using tools::HolderScene;

TEST_GROUP(HolderSimulation){};

// Adapters that are rarely asked for, on few engines, before hundreds of
// daemons. Guards against a lease holder that is held up by telling all daemons
// of each change, so that requests for adapters are answered too late.
TEST(HolderSimulation, RareAdaptersAreLoadedInTime) {
  struct Row {
    const char* name;
    std::size_t daemons;
    std::uint32_t engines;
    std::size_t adapters;
    double requests_per_s;
    bool naive_suffices;  ///< All placements may be sent at each change.
  };
  const Row rows[] = {{"small site", 13, 13, 77, 20, true},
                      {"medium site", 93, 93, 400, 110, false},
                      {"few engines", 115, 20, 1000, 150, false},
                      {"large site", 295, 160, 774, 215, false}};
  for (const Row& row : rows) {
    HolderScene scene;
    scene.daemons = row.daemons;
    scene.engines = row.engines;
    scene.adapters = row.adapters;
    scene.requests_per_s = row.requests_per_s;
    const HolderResult result = Simulate(scene);
    CHECK_TEXT(result.in_time * 100 >= result.requests * 98, row.name);
    CHECK_TEXT(result.never_served * 10 <= result.asked_for, row.name);
    scene.design = HolderDesign::kAllPlacements;
    const HolderResult naive = Simulate(scene);
    CHECK_EQUAL_TEXT(row.naive_suffices,
                     naive.in_time * 100 >= naive.requests * 98, row.name);
  }
}
