#include "gateway/traffic.h"
#include "gateway/choice.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Traffic){};

/// Guards against copies that are loaded for the demand of some seconds ago:
/// while demand moves to a model, its copies were too few all the time.
TEST(Traffic, ExpectsThatARiseContinues) {
  struct Row {
    const char* name;
    double ms_per_s;
    double recent_ms_per_s;
    double least;
    double most;
  };
  const Row rows[] = {
      {"none", 0, 0, 0, 0},
      {"steady", 8000, 8000, 8000, 8000},
      {"rising", 4000, 8000, 10'000, 16'000},
      {"noise of a few requests", 100, 250, 100, 250},
      {"falling", 8000, 3000, 3000, 4500},
  };
  for (const Row& row : rows) {
    const double expected = gateway::ExpectedDemand(
        {row.ms_per_s, row.recent_ms_per_s, TimePoint()}, 4);
    CHECK_TEXT(expected >= row.least && expected <= row.most, row.name);
  }
}

TEST(Traffic, LearnsHowLongRequestsRun) {
  gateway::Traffic traffic;
  DOUBLES_EQUAL(gateway::kDefaultRunMs, RunMs(traffic, "s"), 0);
  for (int i = 0; i < 200; ++i)
    RecordRun(&traffic, "s", 400);
  DOUBLES_EQUAL(400, RunMs(traffic, "s"), 1);
  DOUBLES_EQUAL(gateway::kDefaultRunMs, RunMs(traffic, "t"), 0);
}
