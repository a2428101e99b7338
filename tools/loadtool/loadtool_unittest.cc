#include <algorithm>
#include <string>
#include <vector>

#include "tools/loadtool/results.h"
#include "tools/loadtool/scene.h"
#include "tools/loadtool/schedule.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::loadtool {
namespace {

constexpr const char* kScene = R"(
duration_s: 100
callers:
  - name: counter
    api_key: key
    priority: interactive
    path: /v1/chat/completions
    rate_per_s: 10
    steps: [{at_s: 50, rate_per_s: 30}]
    bursts: [{at_s: 20, requests: 7}]
    models: [{name: a, weight: 3}, {name: b}]
)";

Outcome OutcomeOf(Ending ending, double first_token_s, double gap_s) {
  Outcome outcome;
  outcome.ending = ending;
  outcome.first_token_s = first_token_s;
  outcome.end_s = 2;
  outcome.gaps_s.assign(20, 0.02);
  outcome.gaps_s[0] = gap_s;
  outcome.gaps_s[1] = gap_s;
  return outcome;
}

}  // namespace

TEST_GROUP(LoadTool){};

// Guards against a load that differs between runs of one seed, and against
// steps, bursts and weights that are not offered.
TEST(LoadTool, SchedulesBySeed) {
  Findings findings;
  const Scene scene = ParseScene("scene.yaml", kScene, &findings);
  CHECK(findings.empty());
  const auto arrivals = MakeSchedule(scene, scene.callers[0]);
  const auto again = MakeSchedule(scene, scene.callers[0]);
  CHECK_EQUAL(arrivals.size(), again.size());
  CHECK(arrivals.back().prompt == again.back().prompt);
  const auto count = [&](auto matches) {
    return std::count_if(arrivals.begin(), arrivals.end(), matches);
  };
  const auto early = count([](const Arrival& one) { return one.at_s < 50; });
  CHECK(early > 420 && early < 600);
  const auto late = count([](const Arrival& one) { return one.at_s >= 50; });
  CHECK(late > 1300 && late < 1700);
  CHECK_EQUAL(7, count([](const Arrival& one) { return one.at_s == 20; }));
  const auto first = count([](const Arrival& one) { return one.model == "a"; });
  CHECK(first > 2 * (early + late) / 3);
}

// Guards against requests counted as attained that were refused, late or slow
// between tokens.
TEST(LoadTool, CountsAttainment) {
  struct Row {
    Outcome outcome;
    double attainment;
  };
  const std::vector<Row> rows = {{OutcomeOf(Ending::kCompleted, 0.5, 0.02), 1},
                                 {OutcomeOf(Ending::kCompleted, 0.7, 0.02), 0},
                                 {OutcomeOf(Ending::kCompleted, 0.5, 0.06), 0},
                                 {OutcomeOf(Ending::kUnfinished, 0.5, 0.02), 0},
                                 {OutcomeOf(Ending::kRefused, -1, 0.02), 0}};
  for (const Row& row : rows) {
    Results results{Configuration()};
    results.Add(row.outcome);
    const auto json = results.ToJson(1);
    DOUBLES_EQUAL(row.attainment, json["worth_weighted_attainment"], 0);
  }
}

// Guards against percentiles that are off by more than the width of a bin.
TEST(LoadTool, ReadsPercentiles) {
  Durations durations = MakeDurations();
  DOUBLES_EQUAL(0, QuantileOf(durations, 0.5), 0);
  for (int i = 1; i <= 1000; ++i)
    durations(i / 1000.0);
  DOUBLES_EQUAL(0.5, QuantileOf(durations, 0.5), 0.01);
  DOUBLES_EQUAL(0.99, QuantileOf(durations, 0.99), 0.01);
}

// Guards against a scene file whose faults pass unnoticed.
TEST(LoadTool, ReportsFaultsOfScenes) {
  Findings findings;
  ParseScene("scene.yaml", "callers: [{name: c, unknown: 1}]", &findings);
  CHECK(findings.size() >= 5);
}

}  // namespace coltsfootvane::loadtool
