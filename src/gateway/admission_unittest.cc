#include "gateway/admission.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Admission){};

/// Guards against a queue that, in an overload, grows longer than callers wait.
TEST(Admission, RefusesWhatWouldStartTooLate) {
  struct Row {
    const char* name;
    int target_ms;
    double wait_ms;
    int left_ms;
    bool admitted;
  };
  const Row rows[] = {
      {"idle", 250, 20, 12000, true},
      {"late, but served", 250, 2400, 12000, true},
      {"far beyond the objective", 250, 2600, 12000, false},
      {"work with a longer objective waits longer", 6000, 2600, 20000, true},
      {"no time to complete", 6000, 1200, 2000, false},
  };
  for (const Row& row : rows) {
    gateway::Route route;
    route.target_latency = Milliseconds(row.target_ms);
    const auto admission = Admit(route, row.wait_ms, Milliseconds(row.left_ms));
    CHECK_EQUAL_TEXT(row.admitted, admission.admitted, row.name);
    CHECK_EQUAL_TEXT(row.admitted, admission.retry_after.count() == 0,
                     row.name);
  }
}

TEST(Admission, RetryAfterIsTheTimeUntilTheQueueHasRoom) {
  gateway::Route route;
  route.target_latency = Milliseconds(200);
  LONGS_EQUAL(2000,
              Admit(route, 2100, Milliseconds(12000)).retry_after.count());
  gateway::EngineModel model;
  model.store_load_s = 2.5;
  LONGS_EQUAL(2500, RetryAfterLoad(&model).count());
}
