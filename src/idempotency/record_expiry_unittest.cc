#include "idempotency/record_expiry.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

constexpr Milliseconds kRetention{1000};

}  // namespace

TEST_GROUP(RecordExpiry){};

// Guards against the deletion of a record that a repeated call may still need.
TEST(RecordExpiry, ExpiresOnlyRecordsOfKnownAge) {
  // 10 s between the versions 100 and 200, 0.5 s to each later tick.
  const ExpiryTicks ticks = {{100, 0}, {200, 10000}, {300, 500}, {400, 500}};
  struct Row {
    const char* name;
    RecordState state;
    std::int64_t version;       ///< Of the record.
    std::int64_t list_version;  ///< Of the list that it was read from.
    bool expired;
  };
  const Row rows[] = {
      {"as old as the retention time", RecordState::kDone, 200, 400, true},
      {"older", RecordState::kDone, 5, 400, true},
      {"younger by one write", RecordState::kDone, 201, 400, false},
      {"written since the last tick", RecordState::kDone, 450, 500, false},
      {"reserved", RecordState::kReserved, 200, 400, true},
      {"not run", RecordState::kNotRun, 200, 400, true},
      {"sending, not ten times as old", RecordState::kSending, 101, 400, false},
      {"sending, ten times as old", RecordState::kSending, 100, 400, true},
      {"written again, list older than the last tick", RecordState::kDone, 200,
       399, false},
      {"the platform was restored", RecordState::kDone, 150, 160, false},
  };
  for (const Row& row : rows) {
    CHECK_EQUAL_TEXT(
        row.expired,
        IsExpired(ticks, row.state, row.version, row.list_version, kRetention),
        row.name);
  }
}

// Guards against ages that depend on a wall clock, which can jump, or that
// include time which no process has measured.
TEST(RecordExpiry, AgeIsTheSumOfMeasuredSpans) {
  struct Row {
    const char* name;
    ExpiryTicks ticks;
    std::int64_t version;  ///< The newest version as old as kRetention.
  };
  const Row rows[] = {
      {"no tick", {}, 0},
      {"one tick", {{10, 0}}, 0},
      {"the span before the first tick", {{10, 5000}}, 0},
      {"one span short", {{10, 0}, {20, 999}}, 0},
      {"one span", {{10, 0}, {20, 1000}}, 10},
      {"a process that was paused", {{10, 0}, {20, 90000}}, 10},
      {"many planners that held the lease briefly",
       {{10, 0}, {20, 0}, {30, 0}, {40, 0}},
       0},
      {"no record was written", {{10, 0}, {10, 400}, {10, 400}, {10, 400}}, 10},
      {"several spans", {{10, 0}, {20, 400}, {30, 600}, {40, 400}}, 20},
  };
  for (const Row& row : rows)
    LONGS_EQUAL_TEXT(row.version, HighestVersionOfMinAge(row.ticks, kRetention),
                     row.name);
}

// Guards against a list of ticks that grows without bound, and against dropping
// ticks that are still needed for the age of a `sending` record.
TEST(RecordExpiry, TicksCoverTheRetentionOfSendingRecords) {
  ExpiryTicks ticks;
  for (std::int64_t version = 1; version <= 1000; ++version)
    CHECK(AppendTick(&ticks, version, Milliseconds{100}, kRetention));
  LONGS_EQUAL(101, ticks.size());
  LONGS_EQUAL(990, HighestVersionOfMinAge(ticks, kRetention));
  LONGS_EQUAL(
      900, HighestVersionOfMinAge(ticks, kRetention * kSendingRetentionFactor));
}

// Guards against treating new records as old after the platform was restored
// to an earlier state and its versions have decreased.
TEST(RecordExpiry, LowerVersionClearsTheHistory) {
  ExpiryTicks ticks = {{100, 0}, {200, 5000}};
  CHECK(!AppendTick(&ticks, 150, Milliseconds{5000}, kRetention));
  LONGS_EQUAL(1, ticks.size());
  LONGS_EQUAL(0, HighestVersionOfMinAge(ticks, kRetention));
}

// Guards against the use of damaged ticks.
TEST(RecordExpiry, ParsesOnlyTicksInOrder) {
  struct Row {
    const char* json;
    bool valid;
  };
  const Row rows[] = {
      {R"({"ticks":[]})", true},
      {R"({"ticks":[[1,0],[1,5],[2,7]]})", true},
      {R"({"ticks":[[2,0],[1,5]]})", false},
      {R"({"ticks":[[1,0],[2,-5]]})", false},
      {R"({"ticks":[[1]]})", false},
      {R"({"ticks":["1"]})", false},
      {R"({})", false},
      {"", false},
  };
  for (const Row& row : rows) {
    const Result<ExpiryTicks> ticks = ParseExpiryTicks(row.json);
    CHECK_EQUAL_TEXT(row.valid, ticks.has_value(), row.json);
    if (ticks)
      STRCMP_EQUAL(row.json, FormatExpiryTicks(ticks.value()).c_str());
  }
}
