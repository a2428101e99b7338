#include "daemon/view_check.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using daemon::IsCheckDue;
using daemon::ViewCheck;

namespace {

constexpr TimePoint kNow{Milliseconds(5'000'000)};

}  // namespace

TEST_GROUP(ViewCheck){};

// Guards against a view that is relied on for as long as nobody notices that
// those are lost who confirmed it.
TEST(ViewCheck, IsDueWellWithinTheTimeForChanges) {
  struct Row {
    const char* name;
    int limit_ms;
    int confirmed_ms_ago;
    bool due;
    double latest_share = ViewCheck::kUsualShare;
  };
  const Row rows[] = {
      {"just confirmed", 2000, 0, false},
      {"before the earliest check", 2000, 990, false},
      {"after the latest check", 2000, 1400, true},
      {"longer limit, before", 4000, 1990, false},
      {"longer limit, after", 4000, 2800, true},
      {"large fleet, before", 3000, 1490, false, ViewCheck::kLargeFleetShare},
      {"large fleet, after", 3000, 1800, true, ViewCheck::kLargeFleetShare},
  };
  std::mt19937_64 random(20261205);
  for (const Row& row : rows) {
    for (int i = 0; i < 200; ++i) {
      ViewCheck check;
      check.latest_share = row.latest_share;
      RecordConfirmation(kNow - Milliseconds(row.confirmed_ms_ago),
                         Milliseconds(row.limit_ms), &random, &check);
      CHECK_EQUAL_TEXT(row.due, IsCheckDue(check, kNow), row.name);
    }
  }
}

TEST(ViewCheck, IsDueBeforeTheFirstConfirmation) {
  CHECK(IsCheckDue(ViewCheck(), kNow));
}

// Guards against an older confirmation that arrives later and brings the check
// forward, or puts it off.
TEST(ViewCheck, OlderConfirmationsChangeNothing) {
  std::mt19937_64 random(20261205);
  ViewCheck check;
  RecordConfirmation(kNow, Milliseconds(2000), &random, &check);
  const ViewCheck before = check;
  RecordConfirmation(kNow - Milliseconds(500), Milliseconds(2000), &random,
                     &check);
  CHECK(check.confirmed_at == before.confirmed_at);
  CHECK(check.check_at == before.check_at);
}

// Guards against a fleet in which all daemons read the store at the same time
// once nobody confirms their views.
TEST(ViewCheck, DaemonsCheckAtDifferentTimes) {
  constexpr int kDaemons = 300;
  constexpr Milliseconds kLimit{4000};
  constexpr Milliseconds kNews{20};  // Until the first one has told the others.
  TimePoint first = kNow + kLimit;
  std::vector<ViewCheck> checks(kDaemons);
  for (int i = 0; i < kDaemons; ++i) {
    std::mt19937_64 random(static_cast<std::uint64_t>(i));
    ViewCheck& check = checks[static_cast<std::size_t>(i)];
    RecordConfirmation(kNow, kLimit, &random, &check);
    first = std::min(first, check.check_at);
  }
  int together = 0;
  for (const ViewCheck& check : checks)
    together += check.check_at < first + kNews ? 1 : 0;
  CHECK(together < kDaemons / 10);
}
