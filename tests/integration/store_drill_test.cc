#include <cstdio>
#include <string>

#include "drill_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::DrillSite;
using testing::StoreDrill;

namespace {

constexpr int kDaemons = 13;

struct Row {
  const char* name;
  bool replaces_holder;
  StoreDrill drill;
};

void Print(const char* name, const testing::DrillTally& tally) {
  std::printf(
      "%s: calls %d, routed %d, late 404 %d, regressions %d, late at leaving "
      "replicas %d, orders %d, shared tokens %d, fenced %d\n",
      name, tally.calls, tally.routed, tally.late_refusals, tally.regressions,
      tally.late_arrivals, tally.orders, tally.shared_tokens, tally.fenced);
  for (const std::string& finding : tally.findings)
    std::printf("  %s\n", finding.c_str());
}

void Check(const Row& row) {
  DrillSite site(kDaemons, 52);
  CHECK_TEXT(site.Start(), row.name);
  site.RunFor(Milliseconds(3000));
  if (row.replaces_holder)
    CHECK_TEXT(site.ReplaceHolder(Milliseconds(500)), row.name);
  site.RunFor(Milliseconds(1000));
  site.Leave("r1");
  site.Remove("r2");
  site.RunFor(Milliseconds(1500));
  site.Run(row.drill);
  site.RunFor(Milliseconds(4000));
  site.Leave("r3");
  site.RunFor(Milliseconds(4000));
  const int orders_before = site.tally.orders;
  site.RunFor(Milliseconds(5000));
  Print(row.name, site.tally);
  std::printf("  tokens:%s\n", site.DescribeHolders().c_str());
  CHECK_TEXT(site.tally.routed > 0, row.name);
  CHECK_TEXT(site.tally.orders > orders_before, row.name);
  LONGS_EQUAL_TEXT(0, site.tally.late_refusals, row.name);
  LONGS_EQUAL_TEXT(0, site.tally.regressions, row.name);
  LONGS_EQUAL_TEXT(0, site.tally.late_arrivals, row.name);
  LONGS_EQUAL_TEXT(0, site.tally.shared_tokens, row.name);
}

}  // namespace

TEST_GROUP(StoreDrill){};

// Guards against daemons that drop a change since its revision was given out
// before: a store that comes back from a copy gives revisions out again.
TEST(StoreDrill, ChangesAfterTheReturnAreInForceInTime) {
  Check({"copy 9 s old",
         false,
         {Milliseconds(1000), Milliseconds(9000), Milliseconds(300)}});
}

// Guards against a fencing token that two daemons use: the copy has the lease
// of an earlier holder, whose VM runs a new process.
TEST(StoreDrill, NoFencingTokenIsUsedTwice) {
  Check({"holder replaced, copy 7 s old",
         true,
         {Milliseconds(1000), Milliseconds(7000), Milliseconds(300)}});
}

// Guards against a holder whose orders are all refused: the copy has no lease,
// so that its epochs begin anew.
TEST(StoreDrill, OrdersGoOnAfterACopyWithoutTheLease) {
  Check({"holder replaced, copy older than the lease",
         true,
         {Milliseconds(1000), Milliseconds(20'000), Milliseconds(300)}});
}

// Guards against requests at endpoints that have left, as the copy calls them
// ready.
TEST(StoreDrill, DeparturesOutlastTheReturn) {
  Check({"copy 7 s old, written again late",
         false,
         {Milliseconds(500), Milliseconds(7000), Milliseconds(4000)}});
}

// Guards against requests at endpoints that had left before a daemon started:
// the copy calls them ready, and this daemon has never seen them (DrillSoak).
TEST(StoreDrill, DeparturesOutlastTheReturnInADaemonThatStartedLater) {
  constexpr int kStarted = 4;
  DrillSite site(kDaemons, 52);
  CHECK(site.Start());
  site.RunFor(Milliseconds(3000));
  site.Leave("r1");
  site.Remove("r2");
  site.RunFor(Milliseconds(1000));
  site.Kill(kStarted);
  site.RunFor(Milliseconds(500));
  site.Heal(kStarted);
  site.RunFor(Milliseconds(4000));
  site.Run({Milliseconds(500), Milliseconds(8000), Milliseconds(4000)});
  site.RunFor(Milliseconds(8000));
  Print("daemon started after the departures", site.tally);
  CHECK(site.tally.routed > 0);
  LONGS_EQUAL(0, site.tally.late_arrivals);
}

// Guards against requests at endpoints that left while a daemon stood still:
// the copy, which the daemon reads first after it has woken, calls them ready.
TEST(StoreDrill, DeparturesOutlastTheReturnInADaemonThatStoodStill) {
  constexpr int kFrozen = 4;
  DrillSite site(kDaemons, 53);
  CHECK(site.Start());
  // Daemons that have just started ask who has left in any case.
  site.RunFor(Milliseconds(7000));
  site.Freeze(kFrozen);
  site.RunFor(Milliseconds(500));
  site.Leave("r1");
  site.Remove("r2");
  site.RunFor(Milliseconds(3500));
  site.Begin({Milliseconds(500), Milliseconds(8000), Milliseconds(8000)});
  site.RunFor(Milliseconds(1000));
  site.Heal(kFrozen);
  site.RunFor(Milliseconds(10'000));
  Print("daemon stood still during the departures", site.tally);
  CHECK(site.tally.routed > 0);
  LONGS_EQUAL(0, site.tally.late_arrivals);
}

// Guards against a mere outage being taken for another history.
TEST(StoreDrill, AnOutageWithoutLossChangesNothing) {
  Check({"nothing lost",
         false,
         {Milliseconds(2000), Milliseconds(0), Milliseconds(0)}});
}
