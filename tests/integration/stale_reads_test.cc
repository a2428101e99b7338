#include <signal.h>

#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "live_daemons.h"
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

constexpr int kDaemons = 6;
/// The daemons that read the latest state: those with the lowest addresses.
constexpr int kReaders = 3;
/// Older than changes may be when they must be in force.
constexpr Milliseconds kStaleBy{3000};
constexpr Milliseconds kInForceLimit{2000};

/// Daemons before one replica of a plain service, and a store whose cheap reads
/// are late.
struct StaleSite {
  boost::asio::io_context io;
  std::string host = testing::OwnLoopbackHost();
  StoreStandin store{&this->io, this->host};
  ReplicaStandin replica{&this->io, this->host, "r1"};
  std::vector<std::unique_ptr<GatewayProcess>> daemons;
  int calls = 0;

  StaleSite() {
    this->store.faults.stale_by = kStaleBy;
    testing::GatewayOptions options;
    options.peer_port = testing::FreePort(this->host);
    for (int i = 0; i < kDaemons; ++i) {
      options.name = "vm-" + std::to_string(i);
      this->daemons.push_back(std::make_unique<GatewayProcess>(
          &this->io, testing::MoreLoopbackHost(i),
          this->store.server.AddressText(), options));
    }
  }

  bool RunUntil(const std::function<bool()>& condition, Milliseconds limit) {
    return this->daemons[0]->RunUntil(condition,
                                      static_cast<int>(limit.count()));
  }

  void RunFor(Milliseconds time) {
    this->RunUntil([] { return false; }, time);
  }

  /// Starts the daemons, and waits until they know each other and watch what
  /// the cheap reads show.
  bool Start() {
    this->store.Put("config", "main", BooksConfig(1));
    this->store.Put("servers", "r1", this->replica.Entry());
    for (const auto& daemon : this->daemons)
      daemon->Start();
    if (!testing::AwaitAllLive(this->daemons, Milliseconds(15'000)))
      return false;
    // Ends the first watches, which were made before the others were known. A
    // cheap watch that follows one of the latest state waits for its whole
    // time.
    this->store.Put("config", "main", BooksConfig(2));
    this->RunFor(kStaleBy + Milliseconds(500));
    return true;
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

  void StopReaders(int signal) {
    for (int i = 0; i < kReaders; ++i)
      this->daemons[static_cast<std::size_t>(i)]->process->Signal(signal);
  }
};

struct Row {
  const char* name;
  int signal;          ///< Of the daemons that read the latest state; 0: none.
  Milliseconds pause;  ///< From the signal to the change.
  bool departure;      ///< The change is one of the endpoint.
};

/// Returns how long after its ack the daemon still handles a request as before
/// the change.
Milliseconds LastOldRequest(StaleSite* site,
                            GatewayProcess* daemon,
                            const Row& row,
                            TimePoint changed_at) {
  const char* const path = row.departure ? "/safe/1" : "/version3/1";
  const int old_status = row.departure ? 200 : 404;
  TimePoint last = changed_at;
  TimePoint sent = Clock::now();
  while (site->Call(daemon, path) == old_status) {
    last = sent;
    if (sent > changed_at + kStaleBy * 2)
      break;
    site->RunFor(Milliseconds(5));
    sent = Clock::now();
  }
  return std::chrono::duration_cast<Milliseconds>(last - changed_at);
}

}  // namespace

TEST_GROUP(StaleReads){};

// Guards against changes that are late once the daemons are lost that read the
// latest state for the others: before the loss is noticed, and afterwards, as
// the others went on with watches that may be late.
TEST(StaleReads, ChangesAreInForceInTimeWithoutThoseWhoReadTheLatestState) {
  const Row rows[] = {
      {"nothing lost", 0, Milliseconds(0), false},
      {"killed long before", SIGKILL, Milliseconds(4000), false},
      {"killed right before", SIGKILL, Milliseconds(100), false},
      {"frozen right before", SIGSTOP, Milliseconds(100), false},
      {"killed long before a departure", SIGKILL, Milliseconds(4000), true},
      {"killed right before a departure", SIGKILL, Milliseconds(100), true},
  };
  for (const Row& row : rows) {
    StaleSite site;
    CHECK_TEXT(site.Start(), row.name);
    if (row.signal != 0)
      site.StopReaders(row.signal);
    site.RunFor(row.pause);
    if (row.departure)
      site.store.Put("servers", "r1", site.replica.Entry("draining"));
    else
      site.store.Put("config", "main", BooksConfig(3));
    const TimePoint changed_at = Clock::now();
    for (int i = kReaders; i < kDaemons; ++i) {
      const Milliseconds last =
          LastOldRequest(&site, site.daemons[static_cast<std::size_t>(i)].get(),
                         row, changed_at);
      std::printf("%s: daemon %d as before until %lld ms\n", row.name, i,
                  static_cast<long long>(last.count()));
      CHECK_TEXT(last <= kInForceLimit, row.name);
    }
  }
}
