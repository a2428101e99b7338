#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <gsl/span>

#include "support/load_model.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::DaemonFault;
using testing::LoadModel;
using testing::LoadOutcome;
using testing::LoadScene;

namespace {

/// Runs a scene, and prints its figures if LOAD_FIGURES is set.
LoadOutcome Play(const LoadScene& scene) {
  const LoadOutcome outcome = LoadModel(scene).Run();
  if (std::getenv("LOAD_FIGURES") != nullptr)
    std::printf(
        "\n%-44s trackers=%d arrivals=%d rejected=%d late=%d sends=%d "
        "refusals=%d refused=%d waits=%d begun=%d on_time=%d datagrams=%d",
        scene.name, scene.trackers ? 1 : 0, outcome.arrivals, outcome.rejected,
        outcome.late, outcome.sends, outcome.refusals, outcome.refused,
        outcome.waits, outcome.begun, outcome.on_time, outcome.datagrams);
  return outcome;
}

/// Calls that wait at the gateway may be late by that; those by reports fill
/// the last places of full queues at the cost of many refusals.
constexpr double kWaitingCost = 0.01;

double Share(int count, int all) {
  return static_cast<double>(count) / std::max(1, all);
}

/// The first token comes within the target for 95 in 100: no more than the
/// others may be rejected or late though another copy had free slots.
void CheckScenes(gsl::span<const LoadScene> scenes) {
  for (const LoadScene& scene : scenes) {
    const LoadOutcome outcome = Play(scene);
    CHECK_TEXT(outcome.arrivals > 1000, scene.name);
    CHECK_TEXT((outcome.rejected + outcome.late) * 20 <= outcome.arrivals,
               scene.name);
  }
}

/// No more requests may be rejected or late with load trackers than without.
void CompareWithReports(gsl::span<const LoadScene> scenes) {
  for (LoadScene scene : scenes) {
    const LoadOutcome exact = Play(scene);
    scene.trackers = false;
    const LoadOutcome by_reports = Play(scene);
    CHECK_TEXT(exact.arrivals > 1000, scene.name);
    CHECK_TEXT(
        exact.rejected + exact.late <= by_reports.rejected + by_reports.late,
        scene.name);
  }
}

}  // namespace

TEST_GROUP(FleetLoad){};

/// Guards against daemons that all send to the copies with the least work in
/// reports that are seconds old: these copies reject requests while others
/// have free slots. Seen on fleets of about a hundred daemons.
TEST(FleetLoad, CopiesWithLittleReportedWorkAreNotOverrun) {
  const LoadScene scenes[] = {
      {"13 daemons", 13, 9, 8, 90, 2, false},
      {"13 daemons, a shift", 13, 9, 8, 90, 0, true},
      {"93 daemons", 93, 60, 20, 600, 10, false},
      {"93 daemons, a shift", 93, 60, 20, 600, 0, true},
      {"93 daemons, many models, a shift", 93, 60, 100, 600, 10, true},
      {"320 daemons", 320, 240, 80, 2400, 20, false},
  };
  CheckScenes(scenes);
}

/// The same in a fleet of two years on, where reports are seconds old again.
TEST(FleetLoad, CopiesAreNotOverrunBy320DaemonsInAShift) {
  const LoadScene scenes[] = {
      {"320 daemons, a shift", 320, 240, 80, 2400, 0, true},
  };
  CheckScenes(scenes);
}

/// Guards against endpoints of few slots that reject calls while others have
/// places, and against calls that are refused without need.
TEST(FleetLoad, PlainEndpointsAreFilledEvenly) {
  LoadScene scenes[] = {
      {"plain, 143 daemons", 143, 3, 1, 180, 0, false},
      {"plain, 143 daemons, a burst", 143, 3, 1, 180, 0, false, true, 0.025,
       DaemonFault::kNone, 0, 2.17},
      {"plain, 93 daemons, fast, a burst", 93, 3, 1, 180, 0, false, true, 0.025,
       DaemonFault::kNone, 0, 4.33},
      {"plain, 143 daemons, 30 killed", 143, 3, 1, 180, 0, false, true, 0.025,
       DaemonFault::kKilled, 30},
  };
  for (LoadScene scene : scenes) {
    const bool fast = scene.daemons == 93;
    scene.call_ms = fast ? 30 : 60;
    scene.objective_ms = fast ? 150 : 300;
    scene.min_report_interval = Milliseconds(1600);
    const LoadOutcome exact = Play(scene);
    scene.trackers = false;
    const LoadOutcome by_reports = Play(scene);
    CHECK_TEXT(exact.refusals * 20 <= exact.sends, scene.name);
    CHECK_TEXT(exact.refusals <= by_reports.refusals, scene.name);
    CHECK_TEXT(
        Share(exact.on_time, exact.arrivals) >=
            Share(by_reports.on_time, by_reports.arrivals) - kWaitingCost,
        scene.name);
  }
}

/// Guards against load trackers that make things worse when they die, freeze or
/// are cut off. The scenes with faults are groups of their own, since each
/// takes long with sanitizers and groups run side by side.
TEST_GROUP(FleetLoadFaults){};

TEST(FleetLoadFaults, LostTrackersCostNoMoreThanTheChoiceByReports) {
  const LoadScene scenes[] = {
      {"143 daemons, 30 killed", 143, 60, 20, 600, 0, true, true, 0.025,
       DaemonFault::kKilled, 30},
      {"143 daemons, 30 frozen", 143, 60, 20, 600, 0, true, true, 0.025,
       DaemonFault::kFrozen, 30},
      {"143 daemons, 30 cut off", 143, 60, 20, 600, 0, true, true, 0.025,
       DaemonFault::kCutOff, 30},
  };
  CompareWithReports(scenes);
}

/// Guards against load trackers that make things worse when they start again or
/// are not reached, and against choices by reports that are better in a burst.
TEST_GROUP(FleetLoadCrowds){};

TEST(FleetLoadCrowds, BusyTrackersCostNoMoreThanTheChoiceByReports) {
  const LoadScene scenes[] = {
      {"93 daemons, restarted in turn", 93, 60, 20, 600, 0, true, true, 0.025,
       DaemonFault::kRestart, 40},
      {"295 daemons, a burst", 295, 60, 20, 600, 0, false, true, 0.025,
       DaemonFault::kNone, 0, 1.3},
      {"143 daemons, half of the datagrams lost", 143, 60, 20, 600, 0, true,
       true, 0.5},
  };
  CompareWithReports(scenes);
}
