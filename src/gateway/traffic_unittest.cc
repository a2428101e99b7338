#include "gateway/traffic.h"
#include "gateway/choice.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Traffic){};

/// Guards against a wait that is estimated for requests of another length.
TEST(Traffic, LearnsHowLongRequestsRun) {
  gateway::Traffic traffic;
  DOUBLES_EQUAL(gateway::kDefaultRunMs, RunMs(traffic, "s"), 0);
  for (int i = 0; i < 200; ++i)
    RecordRun(&traffic, "s", 400);
  DOUBLES_EQUAL(400, RunMs(traffic, "s"), 1);
  DOUBLES_EQUAL(gateway::kDefaultRunMs, RunMs(traffic, "t"), 0);
}
