#include <algorithm>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "gateway_process.h"
#include "live_daemons.h"
#include "replica_site.h"
#include "soak_options.h"
#include "support/free_port.h"
#include "support/replica_standin.h"
#include "support/store_standin.h"

#include <CppUTest/TestHarness.h>

// Guards against a burst of calls after the store has come back from an older
// copy: daemons that all list again, or that call again and again.
//
// By hand with other fleets: DRILL_CALLS_DAEMONS=100. A daemon takes some 20
// MB.

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::BooksConfig;
using testing::GatewayProcess;
using testing::NumberOf;
using testing::ReplicaStandin;
using testing::StoreStandin;

namespace {

using BoostError = boost::system::error_code;

constexpr Milliseconds kAway{1000};
constexpr Milliseconds kCounted{10'000};  ///< From the return on.
/// From the return until operator and replicas write their lost writes again.
constexpr Milliseconds kWrittenAgain{300};
constexpr Milliseconds kRouteAdded{1000};  ///< After the return.
constexpr Milliseconds kInForceLimit{3000};
constexpr Milliseconds kBurst{100};
constexpr Milliseconds kHeartbeat{1000};
constexpr Milliseconds kTurnInterval{10};    ///< Of the test's event loop.
constexpr Milliseconds kCallInterval{1000};  ///< Of each daemon's callers.
/// Between two attempts to get an answer on the added route.
constexpr Milliseconds kAttemptInterval{100};
/// Daemons that start together; the start is not what is measured.
constexpr int kStartedTogether = 10;

/// Larger fleets have a reader and two daemons that stand by for it.
constexpr int kMaxSmallFleet = 24;
constexpr int kReaders = 3;

/// Returns how many more calls a return from a copy may cost than a return
/// without loss, by the design (docs/design/store-eras.md).
int MaxMoreCalls(int daemons) {
  constexpr int kKinds = 2;  // Configurations and endpoints.
  const int registrations = daemons;
  const int listing = daemons > kMaxSmallFleet ? kReaders : daemons;
  return registrations + listing * kKinds;
}

/// The calls from the return of the store on.
struct Figures {
  int calls = 0;
  int most_in_burst = 0;
  Milliseconds burst_end{0};                ///< After the return.
  Milliseconds longest_stall{0};            ///< Of the event loop of the test.
  std::map<std::string, int> by_operation;  ///< With the kind.
  Milliseconds in_force{-1};  ///< Of the added route; -1 if it never was.
};

Figures Count(const std::vector<StoreStandin::Call>& log, TimePoint from) {
  Figures figures;
  std::deque<TimePoint> burst;
  for (const StoreStandin::Call& call : log) {
    if (call.at < from || call.at >= from + kCounted)
      continue;
    ++figures.calls;
    ++figures.by_operation[call.operation + " " + call.kind];
    burst.push_back(call.at);
    while (call.at - burst.front() >= kBurst)
      burst.pop_front();
    if (static_cast<int>(burst.size()) <= figures.most_in_burst)
      continue;
    figures.most_in_burst = static_cast<int>(burst.size());
    figures.burst_end =
        std::chrono::duration_cast<Milliseconds>(call.at - from);
  }
  return figures;
}

int Watches(const Figures& figures) {
  int watches = 0;
  for (const auto& [operation, count] : figures.by_operation)
    watches += operation.compare(0, 6, "watch ") == 0 ? count : 0;
  return watches;
}

struct CallsSite {
  boost::asio::io_context io;
  std::string host = testing::OwnLoopbackHost();
  StoreStandin store{&this->io, this->host};
  ReplicaStandin replica{&this->io, this->host, "r1"};
  std::vector<std::unique_ptr<GatewayProcess>> daemons;
  int calls = 0;
  int version = 1;
  bool away = false;  ///< Until lost writes are written again.
  TimePoint last_turn = Clock::now();
  Milliseconds longest_stall{0};

  explicit CallsSite(int count) {
    this->store.page_size = 500;  // A list of the daemons is one call.
    testing::GatewayOptions options;
    options.peer_port = testing::FreePort(this->host);
    options.more_settings = "bounds.configApplyMs=3000\nbounds.drainMs=3000\n";
    for (int i = 0; i < count; ++i) {
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

  void After(Milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<boost::asio::steady_timer>(this->io, delay);
    timer->async_wait([timer, action = std::move(action)](BoostError ec) {
      if (!ec)
        action();
    });
  }

  void Repeat(Milliseconds interval, const std::function<void()>& action) {
    this->After(interval, [this, interval, action] {
      action();
      this->Repeat(interval, action);
    });
  }

  /// Returns whether all daemons are ready and know each other.
  bool Start() {
    this->store.Put("config", "main", BooksConfig(this->version));
    this->store.Put("servers", "r1", this->replica.Entry());
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
      this->daemons[i]->Start();
      if ((i + 1) % kStartedTogether == 0)
        this->RunFor(Milliseconds(200));
    }
    if (!testing::AwaitAllLive(this->daemons, Milliseconds(30'000)))
      return false;
    this->Repeat(kTurnInterval, [this] {
      const TimePoint now = Clock::now();
      this->longest_stall = std::max(
          this->longest_stall, std::chrono::duration_cast<Milliseconds>(
                                   now - this->last_turn - kTurnInterval));
      this->last_turn = now;
    });
    this->Repeat(kHeartbeat, [this] {
      if (!this->away)
        this->store.Put("servers", "r1", this->replica.Entry());
    });
    this->Repeat(kCallInterval, [this] {
      for (const auto& daemon : this->daemons)
        this->Call(daemon.get(), "/safe/1", [](int) {});
    });
    return true;
  }

  void Call(GatewayProcess* daemon,
            const std::string& path,
            const std::function<void(int)>& on_status) {
    net::RequestHead head;
    head.method = "POST";
    head.target = path;
    head.fields = {{"Request-Id", "id" + std::to_string(++this->calls)},
                   {"Deadline-Ms", "4000"},
                   {"Host", "h"}};
    daemon->client.Call(daemon->Callers(), std::move(head), {},
                        Milliseconds(6000), net::ConnectionUse::kKept,
                        [on_status](const Result<net::WholeResponse>& answer) {
                          on_status(answer ? answer.value().head.status : 0);
                        });
  }

  void AddRoute() {
    this->store.Put("config", "main", BooksConfig(++this->version));
  }

  /// Calls the newest route at the daemon until it answers with 200.
  void AwaitRoute(GatewayProcess* daemon, const std::shared_ptr<int>& missing) {
    const std::string path = "/version" + std::to_string(this->version) + "/1";
    this->Call(daemon, path, [this, daemon, missing](int status) {
      if (status == 200)
        --*missing;
      else
        this->After(kAttemptInterval, [this, daemon, missing] {
          this->AwaitRoute(daemon, missing);
        });
    });
  }

  /// Returns the calls of all daemons by cause, as their metrics say.
  std::map<std::string, int> CallsByCause() {
    const std::string name = "\ncoltsfootvane_store_calls_by_cause_total{";
    std::map<std::string, int> causes;
    for (const auto& daemon : this->daemons) {
      const std::string metrics = daemon->Metrics();
      for (std::size_t at = metrics.find(name); at != std::string::npos;
           at = metrics.find(name, at + 1)) {
        const std::size_t labels = at + name.size();
        const std::size_t end = metrics.find('}', labels);
        causes[metrics.substr(labels, end - labels)] +=
            std::atoi(metrics.c_str() + end + 1);
      }
    }
    return causes;
  }

  /// Takes the store away and counts from its return on. Copies that are 0 ms
  /// old lack nothing.
  Figures Run(Milliseconds copy_age) {
    this->AddRoute();
    this->RunFor(Milliseconds(2000));
    this->away = true;
    this->store.faults.away = true;
    this->RunFor(kAway);
    std::vector<StoreStandin::LostWrite> lost;
    if (copy_age.count() > 0)
      lost = this->store.Rewind(copy_age);
    this->store.faults.away = false;
    const TimePoint returned = Clock::now();
    this->longest_stall = Milliseconds(0);
    this->After(kWrittenAgain, [this, lost] {
      for (const StoreStandin::LostWrite& one : lost) {
        if (one.kind == "servers" || one.kind == "config")
          this->store.WriteAgain(one);
      }
      this->away = false;
    });
    const auto missing =
        std::make_shared<int>(static_cast<int>(this->daemons.size()));
    Milliseconds in_force{-1};
    this->After(kRouteAdded, [this, missing] {
      this->AddRoute();
      for (const auto& daemon : this->daemons)
        this->AwaitRoute(daemon.get(), missing);
    });
    this->daemons[0]->RunUntil([missing] { return *missing == 0; },
                               static_cast<int>(kCounted.count()));
    if (*missing == 0)
      in_force = std::chrono::duration_cast<Milliseconds>(
          Clock::now() - returned - kRouteAdded);
    this->RunFor(TimeLeft(returned + kCounted, Clock::now()));
    Figures figures = Count(this->store.call_log, returned);
    figures.in_force = in_force;
    figures.longest_stall = this->longest_stall;
    return figures;
  }
};

struct Row {
  const char* name;
  Milliseconds copy_age;
  Figures figures;
  std::map<std::string, int> causes;
};

void Print(int daemons, const Row& row) {
  std::printf(
      "%d daemons, %s: calls %d, most in 100 ms %d (until %d ms after the "
      "return), longest stall of the test %d ms, route in force after %d ms\n ",
      daemons, row.name, row.figures.calls, row.figures.most_in_burst,
      static_cast<int>(row.figures.burst_end.count()),
      static_cast<int>(row.figures.longest_stall.count()),
      static_cast<int>(row.figures.in_force.count()));
  for (const auto& [operation, count] : row.figures.by_operation)
    std::printf(" %s: %d,", operation.c_str(), count);
  std::printf("\n  by cause, from 2 s before the outage on:");
  for (const auto& [cause, count] : row.causes) {
    if (count > 0)
      std::printf(" %s: %d,", cause.c_str(), count);
  }
  std::printf("\n");
}

}  // namespace

TEST_GROUP(DrillCalls){};

TEST(DrillCalls, AnOlderCopyCostsFewCallsOfEachDaemon) {
  const int daemons = NumberOf("DRILL_CALLS_DAEMONS", 30);
  Row rows[] = {{"nothing lost", Milliseconds(0), {}, {}},
                {"copy 5 s old", Milliseconds(5000), {}, {}}};
  CallsSite site(daemons);
  CHECK(site.Start());
  // Watches that were made before the others were known come to their end.
  site.RunFor(Milliseconds(3500));
  for (Row& row : rows) {
    const std::map<std::string, int> before = site.CallsByCause();
    row.figures = site.Run(row.copy_age);
    row.causes = site.CallsByCause();
    for (const auto& [cause, count] : before)
      row.causes[cause] -= count;
    Print(daemons, row);
  }
  for (const Row& row : rows) {
    CHECK_TEXT(row.figures.in_force.count() >= 0, row.name);
    CHECK_TEXT(row.figures.in_force <= kInForceLimit, row.name);
  }
  const int more = rows[1].figures.calls - rows[0].figures.calls;
  const int more_watches = Watches(rows[1].figures) - Watches(rows[0].figures);
  std::printf("more calls: %d, of these watches: %d; at most %d\n", more,
              more_watches, MaxMoreCalls(daemons));
  CHECK(more <= MaxMoreCalls(daemons));
}
