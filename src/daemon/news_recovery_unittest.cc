#include "daemon/news_recovery.h"

#include "daemon/transfer_budget.h"
#include "fleet/member_table.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using daemon::NewsRecovery;
using daemon::RecoveryKind;
using daemon::RecoveryStep;
using store::Place;

namespace {

constexpr TimePoint kNow{Milliseconds(5'000'000)};

}  // namespace

TEST_GROUP(NewsRecovery){};

// Guards against a lost datagram that costs a call to the store, and against a
// gap that is never closed.
TEST(NewsRecovery, AsksDaemonsBeforeTheStore) {
  std::mt19937_64 random(1);
  NewsRecovery recovery;
  CHECK(NextStep(Place(0), kNow, &random, &recovery) == RecoveryStep::kNone);
  Want(Place(20), 7, RecoveryKind::kChanges, kNow, Milliseconds(50), &recovery);
  Want(Place(19), 8, RecoveryKind::kChanges, kNow, Milliseconds(0), &recovery);
  LONGS_EQUAL(20, recovery.wanted.revision);
  CHECK(NextStep(Place(10), kNow, &random, &recovery) == RecoveryStep::kNone);
  std::vector<RecoveryStep> steps;
  std::vector<TimePoint> listed_at;
  for (TimePoint at = kNow; at < kNow + Milliseconds(9000);
       at += Milliseconds(10)) {
    const RecoveryStep step = NextStep(Place(10), at, &random, &recovery);
    if (step != RecoveryStep::kNone)
      steps.push_back(step);
    if (step == RecoveryStep::kList)
      listed_at.push_back(at);
    if (step == RecoveryStep::kFetch)
      EndFetch(at, &random, &recovery);
  }
  CHECK(steps.size() >= 8 && steps.size() <= 50);
  for (std::size_t i = 0; i < 7; ++i)
    CHECK(steps[i] == (i < 2   ? RecoveryStep::kAsk
                       : i < 6 ? RecoveryStep::kFetch
                               : RecoveryStep::kList));
  CHECK(listed_at.size() >= 2 && listed_at.size() <= 5);
  for (std::size_t i = 1; i < listed_at.size(); ++i)
    CHECK(listed_at[i] - listed_at[i - 1] >= Milliseconds(2000));
  CHECK(NextStep(Place(20), kNow + Milliseconds(20'000), &random, &recovery) ==
        RecoveryStep::kNone);
  CHECK(!recovery.wanted.IsKnown());
}

// Guards against hundreds of daemons that fetch the state of thousands of
// endpoints from each other at the same time, again before the first transfer
// can end: seen with 300 daemons and 3,000 endpoints after all had restarted.
TEST(NewsRecovery, LargeStatesAreFetchedLast) {
  struct Row {
    int entries;
    bool reads_changes;
    int fetches;  ///< In the first two seconds.
  };
  const Row rows[] = {{60, false, 4},
                      {256, false, 3},
                      {257, true, 2},
                      {999, true, 1},
                      {3000, true, 1}};
  for (const Row& row : rows) {
    std::mt19937_64 random(1);
    NewsRecovery recovery;
    recovery.entries = row.entries;
    Want(Place(20), 7, RecoveryKind::kChanges, kNow, Milliseconds(0),
         &recovery);
    int reads = 0;
    int fetches = 0;
    for (int ms = 0; ms < 2000; ms += 10) {
      const RecoveryStep step =
          NextStep(Place(10), kNow + Milliseconds(ms), &random, &recovery);
      CHECK(step != RecoveryStep::kReadChanges || fetches == 0);
      reads += step == RecoveryStep::kReadChanges ? 1 : 0;
      fetches += step == RecoveryStep::kFetch ? 1 : 0;
    }
    LONGS_EQUAL(row.reads_changes ? 1 : 0, reads);
    LONGS_EQUAL(row.fetches, fetches);
  }
}

// Guards against a view that stays behind because the one daemon that it is
// fetched from, or the store, is silent: after a partition, connections hang
// until they time out, while other daemons could answer.
TEST(NewsRecovery, NoStepWaitsForASilentOne) {
  struct Row {
    const char* name;
    RecoveryKind kind;
    RecoveryStep silent;  ///< Gets no response; steps before it are refused.
    int answered_within_ms;
  };
  const Row rows[] = {
      {"daemon fetched from", RecoveryKind::kChanges, RecoveryStep::kFetch,
       800},
      {"daemon with the configuration", RecoveryKind::kWhole,
       RecoveryStep::kFetch, 500},
      {"store", RecoveryKind::kChanges, RecoveryStep::kList, 1400},
      {"store, for a configuration", RecoveryKind::kWhole, RecoveryStep::kList,
       1200},
  };
  for (const Row& row : rows) {
    std::mt19937_64 random(3);
    NewsRecovery recovery;
    Want(Place(20), 7, row.kind, kNow, Milliseconds(0), &recovery);
    bool silent = false;
    TimePoint answered;
    for (TimePoint at = kNow;
         answered == TimePoint() && at < kNow + Milliseconds(9000);
         at += Milliseconds(10)) {
      const RecoveryStep step = NextStep(Place(10), at, &random, &recovery);
      if (step == RecoveryStep::kNone)
        continue;
      if (silent && step != RecoveryStep::kList)
        answered = at;
      silent = silent || step == row.silent;
      // Daemons that are too busy say so at once.
      if (step == RecoveryStep::kFetch && row.silent != step)
        EndFetch(at, &random, &recovery);
    }
    CHECK_TEXT(answered != TimePoint(), row.name);
    CHECK_TEXT(answered - kNow <= Milliseconds(row.answered_within_ms),
               row.name);
  }
}

// Guards against a second fetch that shares the link with one that comes in
// (CONFIG, issue 55).
TEST(NewsRecovery, AFetchThatComesInIsWaitedFor) {
  std::mt19937_64 random(3);
  NewsRecovery recovery;
  Want(Place(20), 7, RecoveryKind::kWhole, kNow, Milliseconds(0), &recovery);
  int fetches = 0;
  for (int ms = 0; ms <= 3000; ms += 50) {
    const TimePoint at = kNow + Milliseconds(ms);
    fetches +=
        NextStep(Place(10), at, &random, &recovery) == RecoveryStep::kFetch;
    PostponeFetch(at, &recovery);
  }
  LONGS_EQUAL(1, fetches);
}

// Guards against a link that is full of configurations for others.
TEST(NewsRecovery, TransfersAreBounded) {
  daemon::TransferBudget budget;
  int granted = 0;
  for (int i = 0; i < 200; ++i)
    granted += TryTransfer(100'000, kNow + Milliseconds(i * 10), &budget);
  CHECK(granted >= 12 && granted <= 17);
}

// Guards against readers that cannot reach the store, and against daemons that
// disagree for good who reads.
TEST(NewsRecovery, ReadersReachTheStore) {
  constexpr std::uint32_t kDaemons = 143;
  std::vector<std::uint32_t> first;
  for (std::uint32_t own = 1; own <= kDaemons; ++own) {
    fleet::MemberTable table;
    for (std::uint32_t other = 1; other <= kDaemons; ++other) {
      if (other == own)
        continue;
      fleet::gen::Report report;
      report.sequence = 1;
      report.store_reachable = other % 2 == 0;
      report.leaving = other % 10 == 0;
      ApplyReport(&table, other, report, kNow, Milliseconds(1600));
    }
    const auto readers = ReaderOrder(table, own, own % 2 == 0, false, 3, kNow);
    LONGS_EQUAL(3, readers.size());
    if (own % 10 == 0)
      continue;
    if (first.empty())
      first = readers;
    CHECK(readers == first);
    for (const std::uint32_t reader : readers)
      CHECK(reader % 2 == 0 && reader % 10 != 0);
  }
}
