#include <signal.h>

#include <cstdio>
#include <string>

#include "large_site.h"
#include "replica_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::BooksConfig;
using testing::GatewayProcess;
using testing::LargeSite;

namespace {

constexpr Milliseconds kQuietTime{6000};

nlohmann::json LongConfig(int version, std::size_t bytes) {
  nlohmann::json config = BooksConfig(version);
  config["comment"] = std::string(bytes, static_cast<char>('a' + version));
  return config;
}

struct Row {
  const char* name;
  int signal;  ///< Of the reader, right before the change; 0: none.
  bool departure;
  std::size_t config_bytes;  ///< More than a datagram has, if above 0.
};

}  // namespace

TEST_GROUP(StoreNews){};

// Guards against a fleet whose calls to the store grow with the number of
// daemons, and against changes that are late once the reader is lost.
TEST(StoreNews, OneReadsForAllAndChangesAreInForceInTime) {
  const Row rows[] = {{"nothing lost", 0, false, 0},
                      {"long configuration", 0, false, 150'000},
                      {"reader killed", SIGKILL, false, 0},
                      {"reader frozen before a departure", SIGSTOP, true, 0}};
  LargeSite site;
  CHECK_TEXT(site.Start(), "start");
  std::printf("calls until all are ready: %d\n", site.store.calls);
  int before = site.store.calls;
  site.RunFor(kQuietTime);
  const int quiet_calls = site.store.calls - before;
  std::printf("calls in a quiet time: %d\n", quiet_calls);
  before = site.store.calls;
  for (int i = 0; i < 20; ++i) {
    site.store.Put("servers", "r1", site.replica.Entry());
    site.store.Put("servers", "r2", site.replica.Entry("draining"));
    site.RunFor(Milliseconds(150));
    site.store.Remove("servers", "r2");
    site.RunFor(Milliseconds(150));
  }
  const int busy_calls = site.store.calls - before;
  std::printf("calls with 60 changes: %d\n", busy_calls);
  int version = 1;
  for (const Row& row : rows) {
    GatewayProcess* const reader = site.Reader();
    CHECK_TEXT(reader != nullptr, row.name);
    if (row.signal != 0) {
      reader->process->Signal(row.signal);
      site.lost.insert(reader);
    }
    site.RunFor(Milliseconds(50));
    version += 2;
    const std::string path =
        row.departure ? "/safe/1" : "/version" + std::to_string(version) + "/1";
    if (row.departure)
      site.store.Put("servers", "r1", site.replica.Entry("draining"));
    else
      site.store.Put("config", "main", LongConfig(version, row.config_bytes));
    const Milliseconds longest =
        site.TimeUntilAllDiffer(path, row.departure ? 200 : 404, Clock::now());
    std::printf("%s: as before until %lld ms, calls so far %d\n", row.name,
                static_cast<long long>(longest.count()), site.store.calls);
    std::size_t fetched = 0;
    for (const auto& daemon : site.daemons) {
      const char* const none = "store_news_total{event=\"fetched\"} 0";
      const std::string metrics =
          site.lost.count(daemon.get()) > 0 ? none : daemon->Metrics();
      fetched += metrics.find(none) == std::string::npos ? 1 : 0;
    }
    std::printf("  daemons that fetched: %zu\n", fetched);
    CHECK_TEXT(longest <= LargeSite::kInForceLimit, row.name);
    if (row.signal == SIGKILL) {
      site.RunFor(Milliseconds(4000));
    }
  }
  // Of 27 daemons that watch by themselves each makes 4 calls a second while
  // there are changes, and two otherwise, with those for the lease.
  CHECK(quiet_calls < LargeSite::kDaemons * 6);
  CHECK(busy_calls < LargeSite::kDaemons * 8);
}
