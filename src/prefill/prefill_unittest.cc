#include "prefill/prefill.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using prefill::Mix;
using prefill::Prompt;

namespace {

constexpr double kTokensPerMs = 30;

/// Every `nth` of the prompts is long.
Mix MixOf(int count, int nth, int short_tokens, int long_tokens) {
  Mix mix;
  for (int i = 1; i <= count; ++i) {
    const bool is_long = i % nth == 0;
    RecordPrompt(&mix, {is_long ? long_tokens : short_tokens, 450, is_long},
                 TimePoint() + Milliseconds(i));
  }
  return mix;
}

}  // namespace

TEST_GROUP(Prefill){};

/// Guards against effects on services without long prompts.
TEST(Prefill, TakesEffectOnlyWhereLongAndShortPromptsMeet) {
  struct Row {
    const char* name;
    int count, nth, short_tokens, long_tokens;
    bool mixed;
  };
  const Row rows[] = {
      {"a quarter is long", 40, 4, 628, 1800, true},
      {"one in ten is long", 40, 10, 628, 1800, true},
      {"few seen so far", 8, 4, 628, 1800, false},
      {"all alike", 40, 2, 628, 690, false},
      {"one in a hundred is long", 400, 100, 628, 1800, false},
      {"not twice as long", 40, 4, 628, 1200, false},
      {"long ones are read at once", 40, 4, 60, 400, false},
  };
  for (const Row& row : rows) {
    const Mix mix =
        MixOf(row.count, row.nth, row.short_tokens, row.long_tokens);
    CHECK_EQUAL_TEXT(row.mixed, IsMixed(mix, kTokensPerMs), row.name);
  }
}

/// Guards against short prompts that are made late by long ones of the same
/// urgency, and against a rank above that of the short ones.
TEST(Prefill, LongPromptsRankWithShortOnesThatAreOnTime) {
  Mix mix = MixOf(40, 4, 628, 1800);
  LONGS_EQUAL(0, RankOf(mix, {1800, 550, 1}));
  LONGS_EQUAL(2, RankOf(mix, {628, 450, 2}));
  const auto first_event = [&mix](const Prompt& prompt, double ms) {
    RecordFirstEvent(&mix, prompt, ms, 0, kTokensPerMs);
  };
  first_event({1800, 550, 1}, 900);
  LONGS_EQUAL(0, RankOf(mix, {1800, 550, 1}));
  first_event({628, 450, 0}, 900);
  first_event({628, 450, 0}, 900);
  LONGS_EQUAL(1, RankOf(mix, {1800, 550, 1}));
  for (int i = 0; i < 40; ++i)
    first_event({628, 450, 0}, 100);
  LONGS_EQUAL(0, RankOf(mix, {1800, 550, 1}));
}

TEST(Prefill, BoundFollowsTheFirstEvents) {
  struct Row {
    const char* name;
    int under_way;
    double late_share;
    double min_share, max_share;  ///< Of what is read in an objective.
  };
  const Row rows[] = {
      {"on time", 12'000, 0, 1.4, 1.5},
      {"late", 20'000, 1, 0.19, 0.21},
      {"late with little under way", 1000, 1, 0.49, 0.51},
  };
  for (const Row& row : rows) {
    Mix mix = MixOf(40, 4, 628, 1800);
    const double unit = 450 * kTokensPerMs;
    for (int i = 0; i < 200; ++i)
      RecordFirstEvent(&mix, {628, 450, 0}, i < 200 * row.late_share ? 900 : 90,
                       row.under_way, kTokensPerMs);
    const double share = BoundTokens(mix, kTokensPerMs) / unit;
    CHECK_TEXT(share >= row.min_share && share <= row.max_share, row.name);
  }
}

/// Guards against a cost that hides what a prompt does to others.
TEST(Prefill, CostGrowsWithThoseThatAreDelayed) {
  const Mix mix = MixOf(40, 4, 628, 1800);
  const auto cost = [&mix](int running, int prompt_tokens, int tokens) {
    return CostForOthersMs(mix, {running, prompt_tokens, kTokensPerMs, 540},
                           tokens);
  };
  DOUBLES_EQUAL(0, cost(0, 0, 1800), 1e-9);
  CHECK(cost(10, 0, 1800) > cost(5, 0, 1800));
  CHECK(cost(10, 0, 1800) < 20);  // Nobody is late.
  CHECK(cost(10, 8000, 1800) > 10 * cost(10, 0, 1800));
  CHECK(cost(10, 8000, 1800) > 2 * cost(10, 8000, 628));
  CHECK(cost(1, 9000, 1800) < cost(10, 9000, 1800));
  CHECK(cost(0, 9000, 1800) > 0);  // Beyond the bound.
}
