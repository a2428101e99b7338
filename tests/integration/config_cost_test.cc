#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "large_site.h"
#include "process_usage.h"
#include "replica_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::GatewayProcess;
using testing::LargeSite;

namespace {

constexpr int kChanges = 5;
constexpr Milliseconds kChangeInterval{400};
/// A change of one route in the largest table may cost a daemon so many times
/// what it costs in the smallest one.
constexpr double kMaxCostRatio = 2;
/// Scheduling and the clock of the processor blur smaller differences.
constexpr double kMeasuringErrorMs = 2;

/// Returns a configuration with that many more routes of everyday length.
nlohmann::json ConfigWith(int version, int more_routes) {
  nlohmann::json config = testing::BooksConfig(version);
  nlohmann::json route = config["routes"][0];
  for (int i = 0; i < more_routes; ++i) {
    const std::string number = std::to_string(10'000'000 + i * 7919);
    route["name"] = "route-" + number;
    route["host"] = "h" + number.substr(0, 4) + ".example";
    route["pathPrefix"] = "/more" + number + "/";
    config["routes"].push_back(route);
  }
  return config;
}

/// Returns the processor time of each daemon in ms, in their order.
std::vector<double> UsedMs(const LargeSite& site) {
  std::vector<double> used;
  for (const auto& daemon : site.daemons)
    used.push_back(std::chrono::duration<double, std::milli>(
                       testing::ProcessorTime(daemon->process->Pid()))
                       .count());
  return used;
}

double MedianOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

/// Runs the site for as long as the changes take, and returns what each daemon
/// uses meanwhile.
template <class Change>
std::vector<double> UseDuring(LargeSite* site, const Change& change) {
  const std::vector<double> before = UsedMs(*site);
  for (int i = 0; i < kChanges; ++i) {
    change();
    site->RunFor(kChangeInterval);
  }
  std::vector<double> used = UsedMs(*site);
  for (std::size_t i = 0; i < used.size(); ++i)
    used[i] -= before[i];
  return used;
}

}  // namespace

TEST_GROUP(ConfigCost){};

// Guards against a change of one route that costs each daemon as much as the
// whole table: on a tenth of a core it is then late, and all else waits.
TEST(ConfigCost, FollowsTheChangeNotTheTable) {
  const int sizes[] = {49, 1449, 4250};
  LargeSite site;
  CHECK_TEXT(site.Start(), "start");
  int version = 1;
  double smallest_table_ms = 0;
  for (const int routes : sizes) {
    nlohmann::json config = ConfigWith(++version, routes);
    site.store.Put("config", "main", config);
    site.RunFor(Milliseconds(4000));
    const double idle_ms = MedianOf(UseDuring(&site, [] {}));
    const double busy_ms = MedianOf(UseDuring(&site, [&] {
      config["version"] = ++version;
      config["routes"].back()["pathPrefix"] =
          "/newest" + std::to_string(version) + "/";
      site.store.Put("config", "main", config);
    }));
    const std::string newest = "/newest" + std::to_string(version) + "/1";
    const std::string host = config["routes"].back()["host"];
    for (const auto& daemon : site.daemons)
      LONGS_EQUAL_TEXT(200, site.Call(daemon.get(), newest, host),
                       newest.c_str());
    const double change_ms = std::max(0.0, busy_ms - idle_ms) / kChanges;
    std::printf("%d routes: %.2f ms of a daemon for a change of one route\n",
                routes, change_ms);
    if (routes == sizes[0])
      smallest_table_ms = change_ms;
    CHECK_TEXT(
        change_ms <= smallest_table_ms * kMaxCostRatio + kMeasuringErrorMs,
        std::to_string(routes).c_str());
  }
}
