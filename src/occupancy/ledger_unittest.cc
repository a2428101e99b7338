#include "occupancy/ledger.h"

#include <map>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
// NOLINTNEXTLINE(google-build-using-namespace)
using namespace coltsfootvane::occupancy;

namespace {

constexpr EndpointKey kKey = 7;
const TimePoint kNow{std::chrono::hours(1)};

WorkUpdate Running(std::int32_t process, std::int64_t sequence, int running) {
  WorkUpdate update;
  update.endpoint = kKey;
  update.process = process;
  update.sequence = sequence;
  update.work.running = running;
  return update;
}

}  // namespace

TEST_GROUP(Ledger){};

/// Guards against sums that drift after lost, repeated or overtaken updates, or
/// that keep the work of daemons that have died or started again.
TEST(Ledger, SumsFollowTheLatestUpdates) {
  struct Row {
    const char* name;
    std::vector<std::pair<DaemonId, WorkUpdate>> updates;
    Milliseconds later;
    int expected;  ///< For daemon 1.
  };
  const std::vector<Row> rows = {
      {"the asker's own work is left out",
       {{1, Running(1, 1, 5)}, {2, Running(1, 1, 3)}},
       Milliseconds(0),
       3 + 4},
      {"a report's figures give way",
       {{9, Running(1, 1, 1)}},
       Milliseconds(0),
       1},
      {"repeated",
       {{2, Running(1, 1, 3)}, {2, Running(1, 1, 3)}},
       Milliseconds(0),
       3 + 4},
      {"overtaken",
       {{2, Running(1, 2, 3)}, {2, Running(1, 1, 9)}},
       Milliseconds(0),
       3 + 4},
      {"one in between lost",
       {{2, Running(1, 1, 3)}, {2, Running(1, 3, 1)}},
       Milliseconds(0),
       1 + 4},
      {"started again",
       {{2, Running(1, 9, 3)}, {2, Running(2, 1, 1)}},
       Milliseconds(0),
       1 + 4},
      {"died", {{2, Running(1, 9, 3)}}, kEntryLifetime, 0},
      {"not yet expired",
       {{2, Running(1, 9, 3)}},
       kEntryLifetime - Milliseconds(1),
       3 + 4},
  };
  for (const Row& row : rows) {
    Ledger ledger;
    const std::vector<std::pair<DaemonId, EndpointWork>> reported = {
        {9, {4, 0, 0, 0}}};
    BeginTracking(kKey, reported, kNow, &ledger);
    for (const auto& [from, update] : row.updates)
      ApplyUpdate(from, update, kNow, &ledger);
    LONGS_EQUAL_TEXT(
        row.expected,
        ReadLoad(kKey, 1, kNow + row.later, &ledger).others.running, row.name);
    ExpireEntries(kNow + row.later + kTrackingTimeout, &ledger);
    CHECK_TEXT(!IsTracked(ledger, kKey), row.name);
  }
}

/// Guards against a new load tracker that makes its endpoint look idle.
TEST(Ledger, NewTrackersDoNotHideReportedWork) {
  TrackedLoad answer;
  answer.others.running = 2;
  const EndpointWork reported{9, 0, 0, 0};
  LONGS_EQUAL(9, CombineWithReports(answer, reported).running);
  answer.tracked_for = kYoungTracker;
  LONGS_EQUAL(2, CombineWithReports(answer, reported).running);
}

/// Guards against limits that each daemon has to learn by its own refusals, and
/// that stay after their cause has passed.
TEST(Ledger, RefusalsTellAllDaemonsOfTheLimit) {
  Ledger ledger;
  BeginTracking(kKey, {}, kNow, &ledger);
  LONGS_EQUAL(0, ReadLoad(kKey, 1, kNow, &ledger).limit);
  ApplyUpdate(3, Running(1, 1, 20), kNow, &ledger);
  WorkUpdate refusal = Running(1, 1, 10);
  refusal.refused = true;
  ApplyUpdate(2, refusal, kNow, &ledger);
  LONGS_EQUAL(30, ReadLoad(kKey, 1, kNow, &ledger).limit);
  const auto later = [&ledger](int s) {
    return ReadLoad(kKey, 1, kNow + std::chrono::seconds(s), &ledger).limit;
  };
  LONGS_EQUAL(40, later(10));
  LONGS_EQUAL(0, later(31));
}

/// Guards against trackers that all move when one daemon comes or goes, and
/// that are not spread evenly.
TEST(Ledger, TrackersAreSpreadAndStable) {
  std::vector<DaemonId> daemons;
  for (DaemonId daemon = 1; daemon <= 100; ++daemon)
    daemons.push_back(daemon);
  std::vector<DaemonId> fewer(daemons.begin(), daemons.end() - 1);
  std::map<DaemonId, int> counts;
  for (EndpointKey key = 0; key < 1300; ++key) {
    const DaemonId tracker = FindTracker(key, daemons);
    ++counts[tracker];
    if (tracker != 100)
      LONGS_EQUAL(tracker, FindTracker(key, fewer));
  }
  for (const auto& [daemon, count] : counts)
    CHECK(count < 40);
  LONGS_EQUAL(0, FindTracker(1, {}));
}
