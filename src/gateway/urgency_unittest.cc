#include "gateway/admission.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using gateway::Route;

TEST_GROUP(Urgency){};

// Guards against urgent requests that are late anyway and interrupt those that
// are not, again and again until their deadline.
TEST(Urgency, OrdersRequestsThatCanBeOnTimeBeforeLateOnes) {
  struct Row {
    const char* name;
    int rank;
    int target_ms;
    bool deferred;
    int urgency;
  };
  const Row rows[] = {
      {"first rank", 0, 400, false, 0},
      {"second rank", 1, 500, false, 1},
      {"lower near ranks are one", 7, 500, false, 2},
      {"first rank, late", 0, 400, true, 3},
      {"second rank, late", 1, 500, true, 4},
      {"lower near ranks, late", 2, 500, true, 5},
      {"far objective, first rank", 0, 8000, false, 6},
      {"far objective, first rank, late", 0, 8000, true, 7},
      {"far objective, lower rank", 2, 8000, false, 8},
      {"far objective, lower rank, late", 2, 8000, true, 9},
  };
  for (const Row& row : rows) {
    Route route;
    route.rank = row.rank;
    route.target_latency = Milliseconds(row.target_ms);
    LONGS_EQUAL_TEXT(row.urgency, gateway::UrgencyOf(route, row.deferred),
                     row.name);
  }
}
