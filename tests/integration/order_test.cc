#include <signal.h>

#include <algorithm>
#include <map>
#include <string>

#include "crash_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CrashSite;
using testing::CrashSiteOrder;

namespace {

/// Returns the number of orders with a lower fencing token than an earlier one
/// at the same engine, from that time on.
int CountOutdated(const CrashSite& site, TimePoint from) {
  std::map<std::string, int> highest;
  int outdated = 0;
  for (const CrashSiteOrder& order : site.orders) {
    int& token = highest[order.engine];
    outdated += order.fencing_token < token && order.at > from ? 1 : 0;
    token = std::max(token, order.fencing_token);
  }
  return outdated;
}

}  // namespace

TEST_GROUP(Orders){};

/// Guards against a holder of the lease that stood still, and goes on to give
/// orders when it wakes though another daemon holds the lease by then.
TEST(Orders, HoldersThatStoodStillGiveNoOrders) {
  CrashSite site(3, 4, 3);
  CHECK(site.Start());
  site.AskForAdapters();
  site.StartCalls(40, 0);
  CHECK(site.RunUntil([&] { return site.orders.size() > 20; }, 10'000));
  const std::string holder = site.orders.back().holder;
  std::size_t index = 0;
  while (index < 3 && holder.find("vm-" + std::to_string(index)) != 0)
    ++index;
  CHECK(index < 3);
  site.daemons[index]->process->Signal(SIGSTOP);
  const bool taken_over = site.RunUntil(
      [&] { return site.orders.back().holder != holder; }, 15'000);
  site.RunFor(1000);
  site.daemons[index]->process->Signal(SIGCONT);
  const TimePoint woken = Clock::now();
  site.RunFor(4000);
  site.StopCalls();
  CHECK(taken_over);
  CHECK_EQUAL(0, CountOutdated(site, woken));
}
