#include "placement/unmet_needs.h"

#include <vector>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {

TEST_GROUP(UnmetNeeds){};

// Guards against copies that move for short demand, also if a need returns long
// after it ended.
TEST(UnmetNeeds, PersistAfterTenLoadTimes) {
  struct Row {
    const char* name;
    std::vector<int> seen_s;
    bool persistent;
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
    UnmetNeeds needs;
    TimePoint now;
    for (const int second : row.seen_s) {
      now = TimePoint() + Milliseconds{1000 * (second + 1)};
      const std::vector<std::string> unmet = {"m1"};
      UpdateUnmetNeeds(&needs, unmet, now);
    }
    CHECK_TEXT((PersistentUnmetNeeds(needs, store, now).count("m1") == 1) ==
                   row.persistent,
               row.name);
  }
}

// Guards against a load time of zero for a very fast weight store, by which the
// batch size is divided.
TEST(UnmetNeeds, LoadTimeIsBounded) {
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
