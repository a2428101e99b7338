#include "gateway/admission.h"

#include <algorithm>
#include <random>
#include <vector>

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
    const auto admission = Admit(route, {row.wait_ms, row.wait_ms},
                                 Milliseconds(row.left_ms), std::nullopt);
    CHECK_EQUAL_TEXT(row.admitted, admission.admitted, row.name);
    CHECK_EQUAL_TEXT(row.admitted, admission.retry_after.count() == 0,
                     row.name);
  }
}

TEST(Admission, RetryAfterIsTheTimeUntilTheQueueHasRoom) {
  gateway::Route route;
  route.target_latency = Milliseconds(200);
  LONGS_EQUAL(2000,
              Admit(route, {2100, 2100}, Milliseconds(12000), std::nullopt)
                  .retry_after.count());
  gateway::EngineModel model;
  model.store_load_s = 2.5;
  LONGS_EQUAL(2500, RetryAfterLoad(&model).count());
}

/// Guards against late requests that make others late: in an overload every
/// request would wait behind those whose objective has passed.
TEST(Admission, DefersWhatIsLateAnyway) {
  struct Row {
    const char* name;
    double wait_ms;
    double yielding_wait_ms;
    int caller_time_left_ms;  ///< -1 if the caller does not say.
    bool admitted;
    bool deferred;
  };
  const Row rows[] = {
      {"on time", 240, 900, 10'000, true, false},
      {"on time, no word from the caller", 240, 900, -1, true, false},
      {"on time, behind many late ones", 240, 9000, 10'000, true, false},
      {"late", 260, 900, 10'000, true, true},
      {"late, and too long a queue", 260, 2600, 10'000, false, true},
      {"came back a little later", 20, 900, 9760, true, false},
      {"came back after the objective", 20, 900, 9740, true, true},
  };
  for (const Row& row : rows) {
    gateway::Route route;
    route.target_latency = Milliseconds(250);
    route.timeout = Milliseconds(10'000);
    std::optional<Milliseconds> caller_time_left;
    if (row.caller_time_left_ms >= 0)
      caller_time_left = Milliseconds(row.caller_time_left_ms);
    const auto admission = Admit(route, {row.wait_ms, row.yielding_wait_ms},
                                 Milliseconds(9000), caller_time_left);
    CHECK_EQUAL_TEXT(row.admitted, admission.admitted, row.name);
    CHECK_EQUAL_TEXT(row.deferred, admission.deferred, row.name);
  }
}

/// Guards against callers that return all at once, or too late to be served,
/// after a pause in which they were refused.
TEST(Admission, CallersReturnSpreadAfterAPause) {
  struct Row {
    const char* name;
    int paused_ms;  ///< Since the begin of the pause.
    int left_ms;    ///< Until its end.
    int time_left_ms;
    int earliest_ms;
    int spread_ms;
  };
  const Row rows[] = {
      {"over the length of the pause", 500, 500, 10'000, 501, 1000},
      {"not over the whole of a long pause", 50'000, 10'000, 60'000, 10'001,
       2000},
      {"while there is time", 500, 2500, 4000, 2501, 749},
      {"without time", 500, 2500, 1000, 2501, 0},
  };
  constexpr TimePoint kNow{Milliseconds(5'000'000)};
  for (const Row& row : rows) {
    const gateway::ReturnTime time = gateway::ReturnAfterPause(
        kNow - Milliseconds(row.paused_ms), kNow + Milliseconds(row.left_ms),
        kNow, Milliseconds(row.time_left_ms));
    LONGS_EQUAL_TEXT(row.earliest_ms, time.earliest.count(), row.name);
    LONGS_EQUAL_TEXT(row.spread_ms, time.spread.count(), row.name);
  }
}

/// Guards against callers that were refused one after the other and return
/// together: a tenth of the spread must hold about a tenth of them.
TEST(Admission, RefusedCallersReturnEvenly) {
  struct Row {
    const char* name;
    int others;  ///< Callers refused for another reason after each of these.
  };
  const Row rows[] = {{"one reason", 0}, {"two", 1}, {"five", 4}};
  constexpr int kCallers = 120;
  constexpr int kMostTogether = 16;
  const gateway::ReturnTime time{Milliseconds(500), Milliseconds(1000)};
  std::mt19937_64 random(20261208);
  for (const Row& row : rows) {
    for (int start = 0; start < 50; ++start) {
      gateway::ReturnSequence sequence{random()};
      std::vector<Milliseconds> returns;
      for (int i = 0; i < kCallers; ++i) {
        returns.push_back(NextReturn(time, &sequence));
        for (int other = 0; other < row.others; ++other)
          NextReturn({Milliseconds(200), Milliseconds(100)}, &sequence);
      }
      std::sort(returns.begin(), returns.end());
      CHECK_TEXT(returns.front() >= time.earliest, row.name);
      CHECK_TEXT(returns.back() <= time.earliest + time.spread, row.name);
      for (const Milliseconds& first : returns) {
        const auto last = std::lower_bound(returns.begin(), returns.end(),
                                           first + time.spread / 10);
        const auto together =
            last - std::lower_bound(returns.begin(), returns.end(), first);
        CHECK_TEXT(together <= kMostTogether, row.name);
      }
    }
  }
  gateway::ReturnSequence sequence;
  LONGS_EQUAL(500, NextReturn({Milliseconds(500)}, &sequence).count());
}

/// Guards against a team in a burst that takes the capacity of others, and
/// against one that gets nothing though engines have room.
TEST(Admission, TeamsOverTheirShareYieldSooner) {
  struct Row {
    const char* name;
    double wait_ms;
    double yielding_wait_ms;
    bool over_share;
    bool admitted;
    bool deferred;
  };
  const Row rows[] = {
      {"no wait", 40, 2000, true, true, false},
      {"some wait", 150, 400, true, true, true},
      {"some wait, others", 150, 400, false, true, false},
      {"late", 260, 600, true, false, true},
      {"late, others", 260, 600, false, true, true},
  };
  for (const Row& row : rows) {
    gateway::Route route;
    route.target_latency = Milliseconds(250);
    route.timeout = Milliseconds(10'000);
    const auto admission =
        Admit(route, {row.wait_ms, row.yielding_wait_ms}, Milliseconds(9000),
              std::nullopt, row.over_share);
    CHECK_EQUAL_TEXT(row.admitted, admission.admitted, row.name);
    CHECK_EQUAL_TEXT(row.deferred, admission.deferred, row.name);
    CHECK_EQUAL_TEXT(row.admitted, admission.retry_after.count() == 0,
                     row.name);
  }
}
