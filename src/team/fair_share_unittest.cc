#include "team/fair_share.h"

#include <cmath>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using team::TeamLoad;

TEST_GROUP(FairShare){};

/// Guards against shares that leave capacity unused or cut a small team off.
TEST(FairShare, LevelFillsTheCapacity) {
  struct Row {
    const char* name;
    std::vector<TeamLoad> loads;
    double capacity;
    double level;
  };
  const Row rows[] = {
      {"enough", {{1, 10, 1}, {2, 20, 1}}, 30, INFINITY},
      {"equal weights", {{1, 10, 1}, {2, 90, 1}}, 60, 50},
      {"all above", {{1, 50, 1}, {2, 90, 1}}, 60, 30},
      {"weights", {{1, 90, 3}, {2, 90, 1}}, 80, 20},
      {"idle teams take nothing", {{1, 0, 9}, {2, 90, 1}}, 60, 60},
      {"nothing", {}, 60, INFINITY},
  };
  for (const Row& row : rows)
    DOUBLES_EQUAL_TEXT(row.level, team::FairLevel(row.loads, row.capacity),
                       1e-9, row.name);
}

/// Guards against teams that yield though none takes more than the others, and
/// against a team that takes many times its usual load unnoticed.
TEST(FairShare, TeamsThatUseMoreForTheirWeightAreOver) {
  struct Row {
    const char* name;
    std::vector<TeamLoad> loads;
    std::set<std::uint32_t> over;
  };
  const Row rows[] = {
      {"alike", {{1, 10, 1}, {2, 11, 1}, {3, 9, 1}}, {}},
      {"alone", {{1, 10, 1}}, {}},
      {"one in a burst", {{1, 10, 1}, {2, 80, 1}, {3, 9, 1}}, {2}},
      {"large by right", {{1, 10, 1}, {2, 80, 8}, {3, 9, 1}}, {}},
      {"two in a burst",
       {{1, 10, 1}, {2, 80, 1}, {3, 90, 1}, {4, 10, 1}, {5, 10, 1}},
       {2, 3}},
      {"idle", {{1, 0, 1}, {2, 0, 1}}, {}},
  };
  for (const Row& row : rows)
    CHECK_TEXT(team::FindOverShare(row.loads) == row.over, row.name);
}
