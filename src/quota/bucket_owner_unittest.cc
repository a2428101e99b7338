#include "quota/bucket_owner.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using quota::BucketOwner;
using quota::Verdict;

namespace {

const TimePoint kStart{std::chrono::hours(1)};

struct Step {
  int at_ms;
  double units;
  int rank;
  double settled;
  Verdict verdict;
  double level;  ///< Afterwards.
};

struct Row {
  const char* name;
  quota::Limit limit;
  std::vector<Step> steps;
};

quota::Request MakeRequest(const quota::Limit& limit, const Step& step) {
  quota::Request request;
  request.team = 1;
  request.limit = limit;
  request.units = step.units;
  request.rank = step.rank;
  request.settled = step.settled;
  return request;
}

constexpr Verdict kGranted = Verdict::kGranted;
constexpr Verdict kRefused = Verdict::kRefused;

}  // namespace

TEST_GROUP(BucketOwner){};

/// Guards against tokens that appear or vanish: by large requests, returns and
/// debts, and against a burst that leaves nothing for urgent requests.
TEST(BucketOwner, UnitsAreCountedOnce) {
  const Row rows[] = {
      {"a new bucket has a quarter of a second",
       {100, 100, 1},
       {{0, 20, 0, 0, kGranted, 5}, {0, 20, 0, 0, kRefused, 5}}},
      {"fills up to the burst",
       {100, 50, 1},
       {{0, 0, 0, 0, kGranted, 25}, {5000, 10, 0, 0, kGranted, 40}}},
      {"a fifth is for the ranks below 2",
       {100, 100, 1},
       {{0, 0, 0, 0, kGranted, 25},
        {5000, 79, 0, 0, kGranted, 21},
        {5000, 10, 2, 0, kRefused, 21},
        {5000, 10, 1, 0, kGranted, 11}}},
      {"small bursts are not divided",
       {100, 30, 1},
       {{0, 0, 0, 0, kGranted, 25}, {5000, 30, 3, 0, kGranted, 0}}},
      {"a request larger than the burst leaves a debt",
       {100, 10, 1},
       {{0, 0, 0, 0, kGranted, 10},
        {100, 40, 0, 0, kGranted, -30},
        {300, 5, 0, 0, kRefused, -10}}},
      {"without a burst",
       {10, 0, 1},
       {{0, 1, 0, 0, kGranted, -1},
        {50, 1, 0, 0, kRefused, -0.5},
        {100, 1, 0, 0, kGranted, -1}}},
      {"larger than the debt allowed",
       {100, 10, 1},
       {{0, 50'000, 0, 0, kRefused, 10}}},
      {"returned and spent units",
       {100, 100, 1},
       {{0, 20, 0, 0, kGranted, 5},
        {0, 10, 0, -20, kGranted, 15},
        {0, 10, 0, 30, kRefused, -15}}},
  };
  for (const Row& row : rows) {
    BucketOwner owner;
    for (const Step& step : row.steps) {
      const auto reply = owner.Decide(MakeRequest(row.limit, step), {},
                                      kStart + Milliseconds(step.at_ms));
      CHECK_TEXT(reply.verdict == step.verdict, row.name);
      DOUBLES_EQUAL_TEXT(step.level, reply.level, 1e-6, row.name);
      CHECK_EQUAL_TEXT(reply.verdict == kRefused,
                       reply.retry_after > Milliseconds(0), row.name);
    }
  }
}

/// Guards against a lowered limit that the tokens saved before outlast, and
/// against an old configuration that raises it again.
TEST(BucketOwner, TheNewestLimitHolds) {
  BucketOwner owner;
  const Step nothing{0, 0, 0, 0, kGranted, 0};
  owner.Decide(MakeRequest({100, 100, 1}, nothing), {}, kStart);
  const TimePoint later = kStart + Milliseconds(2000);
  auto reply = owner.Decide(MakeRequest({10, 20, 2}, nothing), {}, later);
  DOUBLES_EQUAL(20, reply.level, 1e-6);
  reply = owner.Decide(MakeRequest({100, 100, 1}, nothing), {},
                       later + Milliseconds(500));
  DOUBLES_EQUAL(20, reply.level, 1e-6);
}

/// Guards against a second bucket beside that of a daemon that still grants.
TEST(BucketOwner, AStandInGrantsAnAllowanceOnly) {
  BucketOwner owner;
  quota::Ownership stand_in;
  stand_in.stands_in = true;
  stand_in.share = 0.5;
  const Step one{0, 1, 0, 0, kGranted, 0};
  quota::Request request = MakeRequest({100, 100, 1}, one);
  request.level = quota::KnownLevel{100, Milliseconds(100)};
  int granted = 0;
  for (int ms = 0; ms < 10'000; ms += 10) {
    const auto reply =
        owner.Decide(request, stand_in, kStart + Milliseconds(ms));
    granted += reply.verdict == kGranted ? 1 : 0;
  }
  // 0.8 of a tenth of what a window allows, times the share.
  LONGS_EQUAL(36, granted);
  // Once the other daemon is known to be silent, it grants its part of the
  // rate.
  stand_in.stands_in = false;
  for (int ms = 10'000; ms < 12'000; ms += 10) {
    const auto reply =
        owner.Decide(request, stand_in, kStart + Milliseconds(ms));
    granted += reply.verdict == kGranted ? 1 : 0;
  }
  CHECK(granted > 36 + 95 && granted <= 36 + 100);
}
