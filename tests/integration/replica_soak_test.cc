#include <cstdio>
#include <string>

#include "replica_soak.h"
#include "soak_options.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::NumberOf;
using testing::ReplicaSoak;
using testing::SoakOptions;
using testing::SoakTally;

namespace {

template <class Counts>
std::string Describe(const Counts& counts) {
  std::string text;
  for (const auto& [name, count] : counts)
    text += " " + name + ":" + std::to_string(count);
  return text;
}

}  // namespace

TEST_GROUP(ReplicaSoak){};

// Replicas that leave, pause, break off or write stray answers, odd entries, a
// store in trouble, and daemons that are stopped or started anew, one after the
// other and overlapping. Callers with other than a known API key must never run
// anything, keys must stay hidden, and a team must stay within its quota over
// all daemons. By hand: SOAK_SEED=1 SOAK_RUNS=50, and SOAK_DAEMONS,
// SOAK_REPLICAS, SOAK_MS.
TEST(ReplicaSoak, PromisesHoldWhateverReplicasAndEntriesDo) {
  constexpr int kSeed = 20261205;
  SoakOptions options;
  options.daemons = NumberOf("SOAK_DAEMONS", options.daemons);
  options.replicas = NumberOf("SOAK_REPLICAS", options.replicas);
  options.length = Milliseconds(
      NumberOf("SOAK_MS", static_cast<int>(options.length.count())));
  const int first = NumberOf("SOAK_SEED", kSeed);
  const int runs = NumberOf("SOAK_RUNS", 2);
  std::string failures;
  for (int i = 0; i < runs; ++i) {
    options.seed = static_cast<unsigned>(first + i);
    ReplicaSoak soak(options);
    const SoakTally tally = soak.Run();
    std::printf(
        "\nseed=%u calls:%s disturbances:%s most in window:%d "
        "violations:%zu\n",
        options.seed, Describe(tally.calls).c_str(),
        Describe(tally.disturbances).c_str(), tally.most_in_window,
        tally.violations.size());
    for (const std::string& violation : tally.violations)
      failures +=
          "seed " + std::to_string(options.seed) + ": " + violation + "\n";
  }
  STRCMP_EQUAL("", failures.c_str());
}
