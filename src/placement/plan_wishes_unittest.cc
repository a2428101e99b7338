#include "placement/plan_wishes.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {

TEST_GROUP(PlanWishes){};

// Guards against moves for demand that has not lasted, also if a wish comes
// back long after it ended.
TEST(PlanWishes, LastAfterTenLoadTimes) {
  struct Row {
    const char* name;
    std::vector<int> seen_s;
    bool lasting;
  };
  const Row rows[] = {
      {"new", {0}, false},
      {"short", {0, 4, 8, 12, 16, 19}, false},
      {"long", {0, 4, 8, 12, 16, 20}, true},
      {"paused", {0, 4, 8, 14, 18, 20}, false},
      {"after a long pause", {0, 30}, false},
  };
  WeightStore store;
  store.loads_per_s = 2;
  store.loads_at_once = 4;
  for (const Row& row : rows) {
    PlanWishes wishes;
    TimePoint now;
    for (const int second : row.seen_s) {
      now = TimePoint() + Milliseconds{1000 * (second + 1)};
      const std::vector<std::string> wished = {"m1"};
      UpdateWishes(&wishes, wished, now);
    }
    CHECK_TEXT(
        (LastingWishes(wishes, store, now).count("m1") == 1) == row.lasting,
        row.name);
  }
}

// Guards against a division by zero in the batches of a very fast store.
TEST(PlanWishes, LoadTimeIsBounded) {
  struct Row {
    double loads_per_s;
    int loads_at_once;
    std::int64_t load_ms;
  };
  for (const Row& row : {Row{1.6, 6, 3750}, Row{0, 6, 60'000}, Row{1e9, 1, 1},
                         Row{0.001, 6, 60'000}}) {
    WeightStore store;
    store.loads_per_s = row.loads_per_s;
    store.loads_at_once = row.loads_at_once;
    LONGLONGS_EQUAL(row.load_ms, LoadTime(store).count());
  }
}

}  // namespace coltsfootvane
