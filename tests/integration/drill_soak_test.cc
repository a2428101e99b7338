#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <string>

#include "drill_site.h"
#include "soak_options.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::DrillSite;
using testing::NumberOf;
using testing::StoreDrill;

namespace {

/// After everything has healed, all is as promised within this time.
constexpr Milliseconds kRecovery{8000};

/// Disturbs a site at random, one thing after the other and overlapping.
struct DrillSoak {
  DrillSite site;
  std::mt19937 random;
  std::map<std::string, int> disturbances;
  int replicas = 4;
  int drills = 0;

  DrillSoak(int daemons, unsigned seed) : site(daemons, seed), random(seed) {}

  int Pick(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(this->random);
  }
  Milliseconds Time(int least_ms, int most_ms) {
    return Milliseconds(this->Pick(least_ms, most_ms));
  }

  /// Runs the site with disturbances for that time, then heals everything.
  void Run(Milliseconds length) {
    const TimePoint end = Clock::now() + length;
    while (Clock::now() < end) {
      this->Disturb();
      this->site.RunFor(this->Time(200, 1500));
    }
    for (int i = 0; i < static_cast<int>(this->site.daemons.size()); ++i) {
      if (this->site.IsDisturbed(i))
        this->site.Heal(i);
    }
    this->site.RunFor(kRecovery);
  }

  void Disturb() {
    switch (this->Pick(0, 6)) {
      case 0:
      case 1:
        this->Drill();
        break;
      case 2:
        this->DisturbDaemon();
        break;
      case 3:
        this->DisturbHolder();
        break;
      case 4:
        this->Leave();
        break;
      case 5:
        ++this->disturbances["new replica"];
        this->site.AddReplica("r" + std::to_string(++this->replicas));
        break;
      default:
        break;
    }
  }

  /// The next drill begins once the lost writes are written again, or soon
  /// after the return.
  void Drill() {
    if (this->site.store.faults.away)
      return;
    const bool loses = this->Pick(0, 4) > 0;
    ++this->disturbances[loses ? "drill" : "outage"];
    this->site.Begin({this->Time(50, 2500),
                      loses ? this->Time(500, 12'000) : Milliseconds(0),
                      this->Time(0, 2000)});
  }

  void DisturbDaemon() {
    this->DisturbOne(
        this->Pick(0, static_cast<int>(this->site.daemons.size()) - 1));
  }

  void DisturbHolder() {
    const testing::GatewayProcess* const holder = this->site.Holder();
    for (int i = 0; i < static_cast<int>(this->site.daemons.size()); ++i) {
      if (this->site.daemons[static_cast<std::size_t>(i)].get() == holder)
        this->DisturbOne(i);
    }
  }

  void DisturbOne(int daemon) {
    if (this->site.IsDisturbed(daemon))
      return;
    const char* const kinds[] = {"killed", "frozen", "cut from the store"};
    const int kind = this->Pick(0, 2);
    ++this->disturbances[kinds[kind]];
    if (kind == 0)
      this->site.Kill(daemon);
    else if (kind == 1)
      this->site.Freeze(daemon);
    else
      this->site.Cut(daemon);
    this->site.After(this->Time(300, 4000), [this, daemon] {
      if (this->site.IsDisturbed(daemon))
        this->site.Heal(daemon);
    });
  }

  /// The first two replicas stay. A store that is away acknowledges nothing.
  void Leave() {
    if (this->site.store.faults.away)
      return;
    const std::string id = "r" + std::to_string(this->Pick(3, this->replicas));
    if (this->site.HasLeft(id)) {
      ++this->disturbances["restarts"];
      this->site.Restart(id);
      return;
    }
    const bool says_so = this->Pick(0, 2) > 0;
    ++this->disturbances[says_so ? "draining" : "removed"];
    if (says_so)
      this->site.Leave(id);
    else
      this->site.Remove(id);
  }
};

}  // namespace

TEST_GROUP(DrillSoak){};

// A store that comes back from the past, also twice in a row and in the middle
// of everything, beside daemons that are killed, frozen or cut from the store,
// the holder of the lease first, replicas that leave, start anew and register,
// and changes of the configuration. By hand: DRILL_SEED=1 DRILL_RUNS=50, and
// DRILL_DAEMONS, DRILL_MS.
TEST(DrillSoak, PromisesHoldWhateverTheStoreHasLost) {
  constexpr int kSeed = 20261207;
  constexpr int kLengthMs = 20'000;
  const int first = NumberOf("DRILL_SEED", kSeed);
  const int runs = NumberOf("DRILL_RUNS", 2);
  const int daemons = NumberOf("DRILL_DAEMONS", 6);
  const Milliseconds length(NumberOf("DRILL_MS", kLengthMs));
  std::string failures;
  for (int i = 0; i < runs; ++i) {
    DrillSoak soak(daemons, static_cast<unsigned>(first + i));
    CHECK(soak.site.Start());
    soak.site.RunFor(Milliseconds(2000));
    soak.Run(length);
    const int orders = soak.site.tally.orders;
    soak.site.RunFor(Milliseconds(4000));
    const testing::DrillTally& tally = soak.site.tally;
    const int broken = tally.late_refusals + tally.regressions +
                       tally.late_arrivals + tally.shared_tokens;
    std::printf("\nseed=%d calls %d, routed %d, orders %d, fenced %d, era %d:",
                first + i, tally.calls, tally.routed, tally.orders,
                tally.fenced, static_cast<int>(soak.site.store.Era()));
    for (const auto& [name, count] : soak.disturbances)
      std::printf(" %s %d", name.c_str(), count);
    std::printf(
        "\n  late 404 %d, regressions %d, late arrivals %d, shared "
        "tokens %d\n",
        tally.late_refusals, tally.regressions, tally.late_arrivals,
        tally.shared_tokens);
    for (const std::string& finding : tally.findings)
      std::printf("  %s\n", finding.c_str());
    const std::string seed = "seed " + std::to_string(first + i) + ": ";
    if (broken > 0)
      failures += seed + "promises broken\n";
    if (tally.orders == orders)
      failures += seed + "no orders after everything has healed\n";
    if (!soak.site.IsNewestInForce())
      failures += seed + "a daemon lacks the newest configuration\n";
  }
  STRCMP_EQUAL("", failures.c_str());
}
