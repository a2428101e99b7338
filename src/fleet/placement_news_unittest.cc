#include "fleet/placement_news.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using fleet::EnginePlacement;
using fleet::PlacementNews;

namespace {

constexpr std::size_t kAdaptersPerEngine = 6;
constexpr Milliseconds kPublishInterval{100};
/// Size of a published engine, model or adapter.
constexpr double kBytesPerItem = 4;

std::vector<EnginePlacement> MakeEngines(std::uint32_t count) {
  std::vector<EnginePlacement> engines;
  for (std::uint32_t i = 1; i <= count; ++i) {
    EnginePlacement engine;
    engine.endpoint = i;
    for (std::uint32_t j = 0; j < kAdaptersPerEngine; ++j)
      engine.adapters.push_back(i * 100 + j);
    engines.push_back(engine);
  }
  return engines;
}

bool Contains(const std::vector<EnginePlacement>& placements,
              std::uint32_t endpoint) {
  for (const EnginePlacement& placement : placements) {
    if (placement.endpoint == endpoint)
      return true;
  }
  return false;
}

}  // namespace

TEST_GROUP(PlacementNews){};

// Guards against a lease holder that spends its processor time and its link on
// telling all daemons where adapters are: each adapter that is replaced used to
// send the placement of all engines to all daemons.
TEST(PlacementNews, WhatAHolderSendsIsBounded) {
  struct Row {
    const char* name;
    std::size_t daemons;
    std::uint32_t engines;
    int swaps_per_publication;  ///< Of an adapter for another.
  };
  const Row rows[] = {{"small site", 13, 9, 1},
                      {"medium site", 93, 60, 5},
                      {"large site", 295, 160, 20},
                      {"two years on", 320, 1300, 60}};
  constexpr int kPublications = 300;
  // A fifth of the slowest link.
  constexpr double kMaxBytesPerS = 250'000;
  for (const Row& row : rows) {
    PlacementNews news;
    std::vector<EnginePlacement> engines = MakeEngines(row.engines);
    TimePoint now{std::chrono::hours(1)};
    std::size_t items = 0;
    std::uint32_t adapter = 1'000'000;
    for (int i = 0; i < kPublications; ++i) {
      for (int j = 0; j < row.swaps_per_publication; ++j) {
        ++adapter;
        engines[adapter % row.engines].adapters[j % kAdaptersPerEngine] =
            adapter;
      }
      fleet::AddRoom(row.daemons, now, &news);
      for (const EnginePlacement& sent : fleet::TakeNews(engines, &news))
        items += fleet::CountItems(sent);
      now += kPublishInterval;
    }
    const std::chrono::duration<double> played =
        kPublishInterval * kPublications;
    const double bytes_per_s = static_cast<double>(items * row.daemons) *
                               kBytesPerItem / played.count();
    CHECK_TEXT(bytes_per_s <= kMaxBytesPerS, row.name);
  }
}

// Guards against requests that are sent to a copy while it is unloaded, and
// against daemons that never learn of a placement.
TEST(PlacementNews, RetiringModelsComeFirstAndAllEnginesInTurn) {
  struct Row {
    const char* name;
    std::size_t daemons;
    std::uint32_t engines;
    Milliseconds whole_turn;
  };
  const Row rows[] = {{"small site", 13, 9, Milliseconds(500)},
                      {"large site", 295, 160, Milliseconds(10'000)}};
  for (const Row& row : rows) {
    PlacementNews news;
    std::vector<EnginePlacement> engines = MakeEngines(row.engines);
    TimePoint now{std::chrono::hours(1)};
    std::set<std::uint32_t> told;
    for (Milliseconds passed{0}; passed < row.whole_turn * 2;
         passed += kPublishInterval) {
      if (passed == row.whole_turn)
        told.clear();
      fleet::AddRoom(row.daemons, now, &news);
      for (const EnginePlacement& sent : fleet::TakeNews(engines, &news))
        told.insert(sent.endpoint);
      now += kPublishInterval;
    }
    LONGS_EQUAL_TEXT(row.engines, told.size(), row.name);
    engines.back().retiring.push_back(7);
    const std::vector<EnginePlacement> first = fleet::TakeNews(engines, &news);
    const std::vector<EnginePlacement> second = fleet::TakeNews(engines, &news);
    CHECK_TEXT(Contains(first, row.engines), row.name);
    CHECK_TEXT(Contains(second, row.engines), row.name);
  }
}

TEST(PlacementNews, DatagramsAreBoundedAndHoldAll) {
  const std::vector<std::vector<EnginePlacement>> datagrams =
      fleet::SplitIntoDatagrams(MakeEngines(160));
  std::size_t engines = 0;
  for (const std::vector<EnginePlacement>& contents : datagrams) {
    std::size_t items = 0;
    for (const EnginePlacement& placement : contents)
      items += fleet::CountItems(placement);
    CHECK(items <= 200);
    engines += contents.size();
  }
  LONGS_EQUAL(160, engines);
  CHECK(fleet::SplitIntoDatagrams({}).empty());
}

// Guards against an older placement that arrives late, and against one of a
// lease holder that has been replaced.
TEST(PlacementNews, LaterPlacementsReplaceEarlierOnes) {
  struct Row {
    const char* name;
    fleet::PlacementVersion version;
    bool applied;
  };
  const Row rows[] = {{"first", {3, 10}, true},
                      {"the same again", {3, 10}, false},
                      {"later", {3, 11}, true},
                      {"late", {3, 9}, false},
                      {"of the next holder", {4, 1}, true},
                      {"of the holder before", {3, 12}, false}};
  fleet::AppliedPlacements applied;
  for (const Row& row : rows)
    CHECK_EQUAL_TEXT(row.applied, fleet::TryApply(1, row.version, &applied),
                     row.name);
  CHECK(fleet::TryApply(2, {3, 1}, &applied));
}

// Guards against memory that grows with each endpoint that was ever registered.
TEST(PlacementNews, EndpointsThatHaveGoneAreForgotten) {
  auto endpoint = std::make_shared<gateway::Endpoint>();
  endpoint->key = 1;
  fleet::AppliedPlacements applied;
  for (std::uint32_t key = 1; key <= 100; ++key) {
    CHECK(fleet::TryApply(key, {1, key}, &applied));
    fleet::ForgetGone(std::vector<gateway::EndpointPtr>{endpoint}, &applied);
    CHECK(applied.size() <= 2);
  }
  CHECK_FALSE(fleet::TryApply(1, {1, 1}, &applied));
}
