#include "objectapi/retry.h"

#include "objectapi/call_budget.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::objectapi {
namespace {

struct DelayRow {
  int attempt;
  double random;
  int retry_after_ms;
  int delay_ms;
};

// With a first delay of 100 ms and a longest one of 1000 ms.
constexpr DelayRow kDelayRows[] = {
    {1, 0, 0, 50},   {1, 1, 0, 100},     {2, 1, 0, 200},     {4, 1, 0, 800},
    {5, 1, 0, 1000}, {5, 0, 0, 500},     {1000, 1, 0, 1000}, {0, 1, 0, 100},
    {-5, 1, 0, 100}, {1, 0, 2000, 2000}, {1, 1, 2000, 3000}, {5, 1, 900, 1000},
};

struct TakeRow {
  int at_ms;
  bool taken;
};

// At 2 calls a second, so with a burst of 4.
constexpr TakeRow kTakeRows[] = {
    {0, true},    {0, true},    {0, true},    {0, true},    {0, false},
    {400, false}, {500, true},  {500, false}, {400, false}, {1000, true},
    {9000, true}, {9000, true}, {9000, true}, {9000, true}, {9000, false},
};

}  // namespace

TEST_GROUP(Retry){};

// Guards against delays that overflow, grow without bound, or undercut the
// time that the platform asked for.
TEST(Retry, DelaysGrowToTheLongest) {
  const Backoff backoff{Milliseconds{100}, Milliseconds{1000}};
  for (const DelayRow& row : kDelayRows) {
    const Milliseconds delay =
        BackoffDelay(backoff, row.attempt, row.random, row.retry_after_ms);
    CHECK_EQUAL(row.delay_ms, delay.count());
  }
}

// Guards against delays outside of their range for any random number.
TEST(Retry, RandomFractionIsWithinBounds) {
  for (int i = 0; i < 1000; ++i) {
    const double fraction = RandomFraction();
    CHECK(fraction >= 0 && fraction <= 1);
  }
}

// Guards against a daemon that exceeds its share of the platform's rate, also
// after a pause or when the times of two threads arrive out of order.
TEST(Retry, BudgetBoundsCalls) {
  const TimePoint start = Clock::now();
  CallBudget budget(2, start);
  for (const TakeRow& row : kTakeRows)
    CHECK_EQUAL(row.taken, budget.Take(start + Milliseconds{row.at_ms}));
}

}  // namespace coltsfootvane::objectapi
