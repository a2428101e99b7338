#include "stall/stall.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using stall::Activity;
using stall::Pace;
using stall::Run;

namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

TimePoint At(int ms) {
  return kStart + Milliseconds(ms);
}

Pace PaceOf(const std::vector<double>& gaps_ms) {
  Pace pace;
  for (int i = 0; i < 32; ++i)
    stall::RecordGap(&pace,
                     gaps_ms[static_cast<std::size_t>(i) % gaps_ms.size()]);
  return pace;
}

}  // namespace

TEST_GROUP(Stall){};

TEST(Stall, PatienceIsTheLongestOfTheCallersRule) {
  struct Row {
    int objective_ms, gap_ms, patience_ms;
  };
  const Row rows[] = {{400, 0, 2000},
                      {400, 300, 2400},
                      {600, 0, 2400},
                      {4000, 300, 16000},
                      {100, 500, 4000}};
  for (const Row& row : rows)
    LONGS_EQUAL(row.patience_ms,
                stall::CallerPatience(
                    {Milliseconds(row.objective_ms), Milliseconds(row.gap_ms)})
                    .count());
}

/// Guards against streams that are given up in a gap that the engine's pace or
/// a preemption explains, and against those kept until the caller has left.
TEST(Stall, GapsAreGivenUpBeyondThePace) {
  struct Row {
    const char* name;
    int gap_target_ms;
    std::vector<double> gaps_ms;  ///< At the endpoint.
    double longest_ms;            ///< Of this run.
    int bound_ms;                 ///< -1: the patience.
  };
  const Row rows[] = {
      {"steady pace", 300, {40}, 50, 1200},
      {"no gap declared", 0, {40}, 50, 1000},
      {"close gaps are declared", 100, {10}, 20, 600},
      {"preempted before", 300, {40}, 700, 1400},
      {"preempted for long before", 300, {40}, 1000, -1},
      {"slow engine", 300, {400}, 420, 1600},
      {"very slow engine", 300, {700}, 720, -1},
      {"no pace known", 300, {}, 0, 1200},
  };
  for (const Row& row : rows) {
    Run run;
    run.objectives = {Milliseconds(400), Milliseconds(row.gap_target_ms)};
    run.longest_gap_ms = row.longest_ms;
    const Pace pace = row.gaps_ms.empty() ? Pace() : PaceOf(row.gaps_ms);
    const auto patience = stall::CallerPatience(run.objectives).count();
    LONGS_EQUAL_TEXT(row.bound_ms < 0 ? patience : row.bound_ms,
                     stall::LongestGap(run, pace).count(), row.name);
  }
}

/// Guards against requests that start over in an overload, where each of them
/// loses its place in a queue, and against waiting at an endpoint that is stuck
/// while others are free. The patience is 2.4 s.
TEST(Stall, MovesOnlyWhereOthersAreMuchSooner) {
  struct Row {
    const char* name;
    bool has_event;
    int silent_ms;    ///< For so long; it has waited as long.
    int activity_ms;  ///< Since the last byte of any run here.
    double here_ms, elsewhere_ms;
    bool moves;
  };
  const Row rows[] = {
      {"silent, others free", false, 1300, 1300, 40, 50, true},
      {"silent, too early", false, 1100, 1100, 40, 50, false},
      {"silent, others queue", false, 1300, 1300, 40, 400, false},
      {"silent, all overloaded", false, 1300, 1300, 2000, 2000, false},
      {"busy, others free, short queue here", false, 1300, 20, 300, 50, false},
      {"busy, others free, long queue here", false, 1300, 20, 1500, 50, true},
      {"too late for another try", false, 2250, 2250, 40, 50, false},
      {"stream silent, others free", true, 1300, 1300, 40, 50, true},
      {"stream within its gap", true, 900, 900, 40, 50, false},
      {"stream preempted at a busy one", true, 1300, 20, 100, 50, false},
      {"last byte of another just after", true, 1300, 1290, 40, 50, true},
  };
  for (const Row& row : rows) {
    Run run;
    run.objectives = {Milliseconds(400), Milliseconds(300)};
    run.has_event = row.has_event;
    run.waiting_since = kStart;
    run.silent_since = kStart;
    Activity activity;
    activity.last_bytes = At(row.silent_ms - row.activity_ms);
    CHECK_EQUAL_TEXT(
        row.moves,
        stall::IsMoveWorthwhile(run, activity, {row.here_ms, row.elsewhere_ms},
                                At(row.silent_ms)),
        row.name);
  }
}

/// Guards against dead endpoints that are known too late for another try, and
/// against a connection for each request that waits at a busy one.
TEST(Stall, SilentEndpointsAreProbedOnce) {
  struct Row {
    const char* name;
    bool has_event;
    double expected_ms;
    int last_bytes_ms;  ///< Of any run there; the run is silent since 0.
    int probed_ms;      ///< -1: never.
    int due_ms;         ///< First multiple of 50; -1: not within 2 s.
  };
  const Row rows[] = {
      {"idle endpoint", false, 20, -9000, -1, 650},
      {"a queue is expected", false, 400, -9000, -1, 1000},
      {"a long queue is expected", false, 3000, -9000, -1, 1200},
      {"a stream", true, 400, 0, -1, 600},
      {"others progress until 700 ms", true, 0, 700, -1, 1300},
      {"probed in this silence", true, 0, 0, 600, -1},
      {"probed shortly before", true, 0, 0, -200, 1800},
      {"probed long before", true, 0, 0, -5000, 600},
  };
  for (const Row& row : rows) {
    Run run;
    run.objectives = {Milliseconds(400), Milliseconds(300)};
    run.has_event = row.has_event;
    run.expected_ms = row.expected_ms;
    run.silent_since = kStart;
    Activity activity;
    activity.last_bytes = At(row.last_bytes_ms);
    if (row.probed_ms != -1)
      activity.probed_at = At(row.probed_ms);
    int due_ms = -1;
    for (int ms = 2000; ms >= 0; ms -= 50) {
      if (stall::IsProbeDue(run, activity, At(ms)))
        due_ms = ms;
    }
    LONGS_EQUAL_TEXT(row.due_ms, due_ms, row.name);
  }
}

TEST(Stall, WaitsBeyondThePatienceAreNotBegun) {
  struct Row {
    double wait_ms;
    int passed_ms;  ///< Since the arrival.
    bool beyond;
    int return_ms;
  };
  const Row rows[] = {{100, 0, false, 200},
                      {1900, 0, false, 900},
                      {1900, 200, true, 900},
                      {2500, 0, true, 1500},
                      {60000, 0, true, 4000}};
  const stall::Objectives objectives{Milliseconds(400), Milliseconds(0)};
  for (const Row& row : rows) {
    CHECK_EQUAL(row.beyond, stall::IsBeyondPatience(objectives, row.wait_ms,
                                                    kStart, At(row.passed_ms)));
    LONGS_EQUAL(row.return_ms,
                stall::ReturnAfterWait(objectives, row.wait_ms).count());
  }
}
