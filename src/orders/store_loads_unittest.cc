#include "orders/store_loads.h"

#include <algorithm>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TEST_GROUP(StoreLoads){};

// Guards against bursts beyond the rate: loads planned at different times begin
// together when the unloads that they wait for end at the same time.
TEST(StoreLoads, LoadsBeginWithinTheRate) {
  constexpr double kPerS = 1.6;
  constexpr Milliseconds kTickInterval{100};
  const Milliseconds window{5000};
  constexpr double kMaxLoadsInWindow = orders::kMaxBurstLoads + kPerS * 5;
  constexpr int kLongestUnloadMs = 6000;
  std::mt19937 random(20261204);
  TimePoint now{Milliseconds(1'000'000)};
  orders::StoreLoads loads{orders::kMaxBurstLoads, now};
  std::vector<TimePoint> unload_ends;
  std::vector<TimePoint> begun_at;
  for (int tick = 0; tick < 3000; ++tick, now += kTickInterval) {
    Refill(&loads, kPerS, now);
    for (auto it = unload_ends.begin(); it != unload_ends.end();) {
      if (*it > now || !TryTakeLoad(&loads)) {
        ++it;
        continue;
      }
      begun_at.push_back(now);
      it = unload_ends.erase(it);
    }
    if (MayPlanLoad(loads, static_cast<int>(unload_ends.size())))
      unload_ends.push_back(now + Milliseconds(random() % kLongestUnloadMs));
    const auto recent = std::count_if(
        begun_at.begin(), begun_at.end(),
        [now, window](TimePoint at) { return now - at < window; });
    CHECK(static_cast<double>(recent) <= kMaxLoadsInWindow);
  }
  // Loads that wait for unloads reserve some of the rate, but not most of it.
  CHECK(static_cast<double>(begun_at.size()) > kPerS * 300 / 4);
}

TEST(StoreLoads, PlannedLoadsReduceWhatMayBePlanned) {
  struct Row {
    double available;
    int planned;
    bool allowed;
  };
  const Row rows[] = {
      {3, 0, true}, {3, 2, true}, {3, 3, false}, {0.9, 0, false}};
  for (const Row& row : rows) {
    const orders::StoreLoads loads{row.available, TimePoint()};
    CHECK_EQUAL(row.allowed, MayPlanLoad(loads, row.planned));
  }
}
