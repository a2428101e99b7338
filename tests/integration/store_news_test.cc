#include <signal.h>

#include <cstdio>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "replica_site.h"
#include "support/free_port.h"
#include "support/replica_standin.h"
#include "support/store_standin.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::BooksConfig;
using testing::GatewayProcess;
using testing::ReplicaStandin;
using testing::StoreStandin;

namespace {

/// More than a small fleet has, so that one reads the store for all.
constexpr int kDaemons = 27;
constexpr Milliseconds kInForceLimit{2000};
constexpr Milliseconds kQuietTime{6000};

struct LargeSite {
  boost::asio::io_context io;
  std::string host = testing::OwnLoopbackHost();
  StoreStandin store{&this->io, this->host};
  ReplicaStandin replica{&this->io, this->host, "r1"};
  std::vector<std::unique_ptr<GatewayProcess>> daemons;
  std::set<const GatewayProcess*> lost;
  int calls = 0;

  LargeSite() {
    testing::GatewayOptions options;
    options.peer_port = testing::FreePort(this->host);
    for (int i = 0; i < kDaemons; ++i) {
      options.name = "vm-" + std::to_string(i);
      this->daemons.push_back(std::make_unique<GatewayProcess>(
          &this->io, testing::MoreLoopbackHost(i),
          this->store.server.AddressText(), options));
    }
  }

  void RunFor(Milliseconds time) {
    this->daemons[0]->RunUntil([] { return false; },
                               static_cast<int>(time.count()));
  }

  bool Start() {
    this->store.Put("config", "main", BooksConfig(1));
    this->store.Put("servers", "r1", this->replica.Entry());
    for (const auto& daemon : this->daemons)
      daemon->Start();
    const std::string all_live =
        "coltsfootvane_live_daemons " + std::to_string(kDaemons);
    for (const auto& daemon : this->daemons) {
      const bool ready =
          daemon->AwaitReady() &&
          daemon->RunUntil(
              [&] {
                return daemon->Metrics().find(all_live) != std::string::npos;
              },
              20'000);
      if (!ready)
        return false;
    }
    // Watches that were made before the others were known come to their end.
    this->RunFor(Milliseconds(3500));
    return true;
  }

  /// Returns the daemon that reads the store for the others, as it logs.
  GatewayProcess* Reader() {
    for (const auto& daemon : this->daemons) {
      if (this->lost.count(daemon.get()) > 0)
        continue;
      const std::string log = daemon->Log();
      const std::size_t last = log.rfind("role=");
      if (last != std::string::npos &&
          log.compare(last, 11, "role=reader") == 0)
        return daemon.get();
    }
    return nullptr;
  }

  int Call(GatewayProcess* daemon, const std::string& path) {
    net::RequestHead head;
    head.method = "POST";
    head.target = path;
    head.fields = {{"Request-Id", "id" + std::to_string(++this->calls)},
                   {"Deadline-Ms", "4000"},
                   {"Host", "h"}};
    const auto answer = daemon->CallAt(daemon->Callers(), std::move(head));
    return answer && answer->has_value() ? answer->value().head.status : 0;
  }

  /// Returns how long after `changed_at` the last daemon that is not lost
  /// answers as before.
  Milliseconds TimeUntilAllDiffer(const std::string& path,
                                  int old_status,
                                  TimePoint changed_at) {
    Milliseconds longest{0};
    for (const auto& daemon : this->daemons) {
      if (this->lost.count(daemon.get()) > 0)
        continue;
      while (this->Call(daemon.get(), path) == old_status &&
             Clock::now() < changed_at + kInForceLimit * 2) {
        longest =
            std::chrono::duration_cast<Milliseconds>(Clock::now() - changed_at);
        this->RunFor(Milliseconds(5));
      }
    }
    return longest;
  }
};

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
    CHECK_TEXT(longest <= kInForceLimit, row.name);
    if (row.signal == SIGKILL) {
      site.RunFor(Milliseconds(4000));
    }
  }
  // Of 27 daemons that watch by themselves each makes 4 calls a second while
  // there are changes, and two otherwise, with those for the lease.
  CHECK(quiet_calls < kDaemons * 6);
  CHECK(busy_calls < kDaemons * 8);
}
