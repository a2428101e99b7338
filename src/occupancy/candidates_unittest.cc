#include "occupancy/candidates.h"

#include <algorithm>
#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace coltsfootvane::occupancy;

TEST_GROUP(Candidates){};

/// Guards against candidates that leave out the endpoint with the cached
/// prompt, or that are not drawn in proportion to their capacity.
TEST(Candidates, AreDrawnByWeight) {
  std::mt19937_64 random(1);
  std::uniform_real_distribution<double> uniform(0, 1);
  int first[3] = {};
  for (int i = 0; i < 6000; ++i) {
    std::vector<WeightedEndpoint> endpoints = {{1, 0}, {2, 0}, {3, 0}};
    for (WeightedEndpoint& endpoint : endpoints)
      endpoint.draw = uniform(random);
    ++first[DrawCandidates(endpoints, 1, std::nullopt).front()];
    const auto drawn = DrawCandidates(endpoints, 2, 0);
    LONGS_EQUAL(2, drawn.size());
    LONGS_EQUAL(0, drawn.front());
  }
  DOUBLES_EQUAL(1000, first[0], 150);
  DOUBLES_EQUAL(2000, first[1], 150);
  DOUBLES_EQUAL(3000, first[2], 150);
  CHECK(DrawCandidates({}, 3, std::nullopt).empty());
}

/// Guards against daemons that all send to an endpoint whose load tracker is
/// silent and that has little work by old reports.
TEST(Candidates, UnansweredOnesGetTheirShareOnly) {
  const ComparedCandidate busy{90, true, {1, 0.5}};
  const ComparedCandidate idle{10, true, {1, 0.4}};
  const ComparedCandidate drawn{5, false, {1, 0.9}};
  const ComparedCandidate not_drawn{5, false, {1, 0.1}};
  struct Row {
    std::vector<ComparedCandidate> candidates;
    std::size_t expected;
  };
  const std::vector<Row> rows = {{{busy, idle}, 1},
                                 {{busy, idle, not_drawn}, 1},
                                 {{busy, idle, drawn}, 2},
                                 {{not_drawn, drawn}, 1}};
  for (const Row& row : rows)
    LONGS_EQUAL(row.expected, ChooseCandidate(row.candidates));
}
