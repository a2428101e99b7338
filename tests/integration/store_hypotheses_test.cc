#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

#include "drill_site.h"
#include "soak_options.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::DrillSite;
using testing::NumberOf;
using testing::StoreDrill;

namespace {

constexpr int kDaemons = 13;
constexpr Milliseconds kNothingLost{0};
/// Within this time after a start of all daemons requests are served again.
constexpr Milliseconds kRecoverLimit{12'000};

std::string TextOf(const char* variable) {
  const char* const text = std::getenv(variable);
  return text == nullptr ? "" : text;
}

/// Returns the programs that replace the one under test, by daemon.
std::map<int, std::string> Programs() {
  std::map<int, std::string> programs;
  const std::string all = TextOf("HYPOTHESES_ALL");
  for (int i = 0; i < kDaemons && !all.empty(); ++i)
    programs[i] = all;
  const std::string one = TextOf("HYPOTHESES_ONE");
  if (!one.empty())
    programs[NumberOf("HYPOTHESES_INDEX", kDaemons - 1)] = one;
  return programs;
}

/// A site of the tests below, which checks the promises at its end.
struct Trial {
  std::string name;
  DrillSite site;

  explicit Trial(std::string text)
      : name(std::move(text)),
        site(kDaemons,
             static_cast<unsigned>(NumberOf("HYPOTHESES_SEED", 52)),
             Programs()) {
    CHECK_TEXT(this->site.Start(), this->name.c_str());
    this->site.RunFor(Milliseconds(2000));
  }

  /// Returns the share of requests that are served within that time, in 1/100.
  int ServedIn(Milliseconds time) {
    const int calls = this->site.tally.calls;
    const int routed = this->site.tally.routed;
    this->site.RunFor(time);
    return 100 * (this->site.tally.routed - routed) /
           std::max(1, this->site.tally.calls - calls);
  }

  /// Runs until all has settled and checks that every promise was kept.
  void Finish() {
    const int orders = this->site.tally.orders;
    this->site.RunFor(Milliseconds(4000));
    const testing::DrillTally& tally = this->site.tally;
    std::printf(
        "\n%s: seed %d, calls %d, routed %d, late 404 %d, regressions %d, "
        "late at leaving replicas %d, orders %d, shared tokens %d, fenced %d, "
        "era %d\n",
        this->name.c_str(), NumberOf("HYPOTHESES_SEED", 52), tally.calls,
        tally.routed, tally.late_refusals, tally.regressions,
        tally.late_arrivals, tally.orders, tally.shared_tokens, tally.fenced,
        static_cast<int>(this->site.store.Era()));
    std::printf("  tokens:%s\n  calls to the store in the busiest second:",
                this->site.DescribeHolders().c_str());
    for (const int calls : tally.busiest)
      std::printf(" %d", calls);
    for (const auto& [daemon, count] : tally.broken_by)
      std::printf("\n  broken by vm-%d: %d", daemon, count);
    for (const auto& [daemon, seconds] : tally.busy_seconds)
      std::printf("\n  seconds of too many calls by vm-%d: %d", daemon,
                  seconds);
    std::printf("\n");
    for (const std::string& finding : tally.findings)
      std::printf("  %s\n", finding.c_str());
    const char* const text = this->name.c_str();
    CHECK_TEXT(tally.routed > 0, text);
    CHECK_TEXT(tally.orders > orders, text);
    LONGS_EQUAL_TEXT(0, tally.late_refusals, text);
    LONGS_EQUAL_TEXT(0, tally.regressions, text);
    LONGS_EQUAL_TEXT(0, tally.late_arrivals, text);
    LONGS_EQUAL_TEXT(0, tally.shared_tokens, text);
    CHECK_TEXT(this->site.IsNewestInForce(), text);
    CHECK_TEXT(tally.busy_seconds.empty(), text);
  }
};

/// Returns whether a row of a longer test runs. That is by hand: HYPOTHESES_ROW
/// is its number from 0, or -1 for all rows; HYPOTHESES_SEED is the seed. The
/// program of all daemons is in HYPOTHESES_ALL, or of one in HYPOTHESES_ONE and
/// HYPOTHESES_INDEX, relative to the build folder.
bool Runs(int row) {
  constexpr int kNone = -2;
  const int wanted = NumberOf("HYPOTHESES_ROW", kNone);
  return wanted == -1 || wanted == row;
}

}  // namespace

TEST_GROUP(StoreHypotheses){};

// Guards against a daemon that takes a change for known while its watch hangs,
// and against a holder that goes on with a lease that it could not renew.
TEST(StoreHypotheses, SilentConnectionsAndAFrozenHolderBreakNothing) {
  Trial trial("short");
  trial.site.Silence(0, Milliseconds(0));
  trial.site.Silence(std::max(0, trial.site.HolderNumber()), Milliseconds(0));
  trial.site.Leave("r1");
  trial.site.RunFor(Milliseconds(4500));
  const int holder = std::max(0, trial.site.HolderNumber());
  trial.site.Freeze(holder);
  trial.site.RunFor(Milliseconds(2000));
  trial.site.Heal(holder);
  trial.site.RunFor(Milliseconds(4000));
  trial.Finish();
}

// Guards against daemons of two versions that hide changes from each other or
// call the store without end, with and without a drill.
TEST(StoreHypotheses, OneDaemonOfAnotherVersionHarmsNoOther) {
  struct Row {
    const char* name;
    Milliseconds copy_age;
    int drills;
  };
  const Row rows[] = {
      {"one of another version, nothing lost", kNothingLost, 1},
      {"one of another version, copy 7 s old", Milliseconds(7000), 1},
      {"one of another version, drill twice", Milliseconds(5000), 2}};
  for (const Row& row : rows) {
    if (!Runs(static_cast<int>(&row - rows)) ||
        TextOf("HYPOTHESES_ONE").empty())
      continue;
    Trial trial(row.name);
    trial.site.RunFor(Milliseconds(4000));
    trial.site.Leave("r1");
    trial.site.RunFor(Milliseconds(1500));
    trial.site.Run({Milliseconds(1000), row.copy_age, Milliseconds(300)});
    trial.site.RunFor(Milliseconds(4000));
    if (row.drills > 1)
      trial.site.Run({Milliseconds(500), row.copy_age, Milliseconds(1000)});
    trial.site.Leave("r3");
    trial.site.RunFor(Milliseconds(8000));
    trial.Finish();
  }
}

// Guards against a daemon that waits for a watch on a silent connection while
// routes and departures change.
TEST(StoreHypotheses, SilentConnectionsHideNoChange) {
  struct Row {
    const char* name;
    std::vector<int> daemons;  ///< -1 is the holder of the lease.
    Milliseconds silent;
  };
  const Row rows[] = {{"first daemon, its connections", {0}, Milliseconds(0)},
                      {"first daemon, 2 s", {0}, Milliseconds(2000)},
                      {"last daemon, 5 s", {12}, Milliseconds(5000)},
                      {"holder, 3 s", {-1}, Milliseconds(3000)},
                      {"all daemons, their connections",
                       {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12},
                       Milliseconds(0)},
                      {"middle daemon, 3 s", {6}, Milliseconds(3000)}};
  for (const Row& row : rows) {
    if (!Runs(static_cast<int>(&row - rows)))
      continue;
    Trial trial(row.name);
    const char* const leaving[] = {"r1", "r2"};
    for (const char* const id : leaving) {
      for (const int daemon : row.daemons)
        trial.site.Silence(
            daemon < 0 ? std::max(0, trial.site.HolderNumber()) : daemon,
            row.silent);
      trial.site.RunFor(Milliseconds(200));
      trial.site.Leave(id);
      trial.site.RunFor(row.silent + Milliseconds(4500));
    }
    trial.Finish();
  }
}

// Guards against a holder of the lease that gives orders with the token of its
// successor after it was frozen or cut from the store.
TEST(StoreHypotheses, AHeldUpHolderSharesNoToken) {
  struct Row {
    const char* name;
    std::vector<int> held_ms;
    bool is_cut;  ///< From the store; else it is frozen.
  };
  const Row rows[] = {{"holder frozen", {1000, 2000, 5000, 1000, 2000}, false},
                      {"holder cut from the store", {5000, 5000, 1500}, true}};
  for (const Row& row : rows) {
    if (!Runs(static_cast<int>(&row - rows)))
      continue;
    Trial trial(row.name);
    for (const int held_ms : row.held_ms) {
      const int holder = std::max(0, trial.site.HolderNumber());
      if (row.is_cut)
        trial.site.Cut(holder);
      else
        trial.site.Freeze(holder);
      trial.site.RunFor(Milliseconds(held_ms));
      trial.site.Heal(holder);
      trial.site.RunFor(Milliseconds(2500));
    }
    trial.Finish();
  }
}

// Guards against daemons that all begin anew and serve too little for too long,
// or hold an older copy for the newest state.
TEST(StoreHypotheses, AllStartedAnewServeInTime) {
  struct Row {
    const char* name;
    StoreDrill drill;
    bool half_later;  ///< Every second one starts after the second writing.
  };
  const Row rows[] = {
      {"all killed, store stays", {}, false},
      {"all killed, nothing lost",
       {Milliseconds(1500), kNothingLost, Milliseconds(0)},
       false},
      {"all killed, copy 5 s old",
       {Milliseconds(500), Milliseconds(5000), Milliseconds(300)},
       false},
      {"all started before the second writing",
       {Milliseconds(500), Milliseconds(5000), Milliseconds(3000)},
       false},
      {"all started while the store is away",
       {Milliseconds(2000), Milliseconds(5000), Milliseconds(3000)},
       false},
      {"half started before the second writing",
       {Milliseconds(500), Milliseconds(5000), Milliseconds(3000)},
       true}};
  for (const Row& row : rows) {
    if (!Runs(static_cast<int>(&row - rows)))
      continue;
    Trial trial(row.name);
    trial.site.RunFor(Milliseconds(4000));
    trial.site.KillAll();
    if (row.drill.away.count() > 0)
      trial.site.Begin(row.drill);
    trial.site.RunFor(Milliseconds(1000));
    if (row.half_later) {
      for (int i = 0; i < kDaemons; i += 2) {
        trial.site.Kill(i);
        trial.site.Heal(i);
      }
      trial.site.RunFor(Milliseconds(3500));
      for (int i = 1; i < kDaemons; i += 2) {
        trial.site.Kill(i);
        trial.site.Heal(i);
      }
    } else {
      trial.site.StartAll();
    }
    const TimePoint started = Clock::now();
    constexpr int kQuarter = 25;
    while (trial.ServedIn(Milliseconds(500)) < kQuarter &&
           Clock::now() < started + kRecoverLimit) {
    }
    const int recovery_ms =
        static_cast<int>(TimeLeft(Clock::now(), started).count());
    const int share = trial.ServedIn(Milliseconds(7000));
    trial.Finish();
    std::printf("  a quarter served after %d ms, then %d of 100\n", recovery_ms,
                share);
    CHECK_TEXT(share >= kQuarter, row.name);
    CHECK_TEXT(recovery_ms < kRecoverLimit.count(), row.name);
  }
}

// Guards against a daemon that knows the older copy alone, since it began
// between the return of the store and the second writing.
TEST(StoreHypotheses, DaemonsStartedBeforeTheSecondWritingLearnIt) {
  struct Row {
    const char* name;
    std::vector<int> daemons;  ///< -1 is the holder of the lease.
    Milliseconds copy_age;
  };
  const Row rows[] = {
      {"nothing lost, two started", {0, 5}, kNothingLost},
      {"copy 5 s old, one started", {6}, Milliseconds(5000)},
      {"copy 7 s old, two started", {0, 12}, Milliseconds(7000)},
      {"copy 7 s old, the holder started", {-1}, Milliseconds(7000)}};
  for (const Row& row : rows) {
    if (!Runs(static_cast<int>(&row - rows)))
      continue;
    Trial trial(row.name);
    trial.site.RunFor(Milliseconds(3000));
    trial.site.Leave("r1");
    trial.site.RunFor(Milliseconds(1500));
    const int holder = std::max(0, trial.site.HolderNumber());
    trial.site.Run({Milliseconds(1000), row.copy_age, Milliseconds(3000)});
    trial.site.RunFor(Milliseconds(200));
    for (const int daemon : row.daemons)
      trial.site.Kill(daemon < 0 ? holder : daemon);
    trial.site.RunFor(Milliseconds(300));
    for (const int daemon : row.daemons)
      trial.site.Heal(daemon < 0 ? holder : daemon);
    trial.site.RunFor(Milliseconds(4000));
    trial.site.Leave("r3");
    trial.site.RunFor(Milliseconds(8000));
    trial.Finish();
  }
}
