#include "occupancy/plain_rule.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace coltsfootvane::occupancy;

namespace {

PlainEndpoint Running(int running, int limit = 0) {
  PlainEndpoint endpoint;
  endpoint.running = running;
  endpoint.slots = 6;
  endpoint.limit = limit;
  endpoint.exact = true;
  endpoint.reported = {1, 0.5};
  return endpoint;
}

PlainEndpoint Ejected(int running) {
  PlainEndpoint endpoint = Running(running);
  endpoint.ejected = true;
  return endpoint;
}

/// Chosen by a draw, with little work according to old reports.
PlainEndpoint Unanswered(double draw) {
  PlainEndpoint endpoint = Running(0);
  endpoint.exact = false;
  endpoint.reported.draw = draw;
  return endpoint;
}

}  // namespace

TEST_GROUP(PlainRule){};

/// Guards against endpoints that are overrun while others have places, against
/// refusals while there are places, and against endless waits.
TEST(PlainRule, CallsGoWhereTheyBeginFirst) {
  struct Row {
    const char* name;
    std::vector<PlainEndpoint> endpoints;
    int rank;
    int waits;
    double time_left_ms;
    PlainVerdict verdict;
    std::size_t position;
  };
  const auto send = PlainVerdict::kSend;
  const auto wait = PlainVerdict::kWait;
  const auto refuse = PlainVerdict::kRefuse;
  const std::vector<Row> rows = {
      {"least busy", {Running(5), Running(3), Running(4)}, 0, 0, 4000, send, 1},
      {"queues", {Running(20), Running(14), Running(30)}, 0, 0, 4000, send, 1},
      {"late, with a place", {Running(35), Running(40)}, 0, 0, 4000, send, 0},
      {"full by the objective",
       {Running(36), Running(40)},
       0,
       0,
       4000,
       wait,
       0},
      {"full as learned",
       {Running(30, 30), Running(31, 30)},
       0,
       0,
       4000,
       wait,
       0},
      {"one place left",
       {Running(30, 30), Running(29, 30)},
       0,
       0,
       4000,
       send,
       1},
      {"the last places are for urgent calls",
       {Running(29, 30)},
       1,
       0,
       4000,
       wait,
       0},
      {"unless the call cannot wait", {Running(29, 30)}, 1, 3, 4000, send, 0},
      {"a limit below the slots is none", {Running(4, 2)}, 0, 0, 4000, send, 0},
      {"waited enough", {Running(36)}, 0, 3, 4000, refuse, 0},
      {"too late to matter", {Running(36)}, 0, 0, 300, refuse, 0},
      {"ejected", {Ejected(0), Running(20)}, 0, 0, 4000, send, 1},
      {"all ejected", {Ejected(9), Ejected(2)}, 0, 0, 4000, send, 1},
      {"no answer, not drawn",
       {Unanswered(0.1), Running(20)},
       0,
       0,
       4000,
       send,
       1},
      {"no answer, drawn", {Unanswered(0.9), Running(20)}, 0, 0, 4000, send, 0},
  };
  for (const Row& row : rows) {
    PlainRequest request;
    request.objective_ms = 300;
    request.call_ms = 60;
    request.time_left_ms = row.time_left_ms;
    request.rank = row.rank;
    request.waits = row.waits;
    const PlainDecision decision = DecidePlain(row.endpoints, request);
    CHECK_TEXT(decision.verdict == row.verdict, row.name);
    if (row.verdict == send)
      LONGS_EQUAL_TEXT(row.position, decision.position, row.name);
    if (row.verdict == wait)
      CHECK_TEXT(decision.wait_ms > 0 && decision.wait_ms < 150, row.name);
    if (row.verdict == refuse)
      CHECK_TEXT(decision.earliest_ms > 0 && decision.spread_ms > 100,
                 row.name);
  }
}

/// Guards against call times that grow with the queue, which would close the
/// service for good.
TEST(PlainRule, CallTimesLeaveOutTheQueue) {
  DOUBLES_EQUAL(60, CallMsOf(60, 5, 6), 0.01);
  DOUBLES_EQUAL(60, CallMsOf(120, 11, 6), 0.01);
}
