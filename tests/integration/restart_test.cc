#include <fcntl.h>

#include <algorithm>
#include <boost/asio/ip/udp.hpp>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "process_usage.h"
#include "replica_site.h"
#include "support/free_port.h"
#include "support/loopback_server.h"
#include "support/replica_standin.h"
#include "support/store_standin.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::GatewayProcess;
using testing::ReplicaSite;

namespace {

/// Within which service has to be back after the daemons are.
constexpr Milliseconds kRecoveryLimit{12'000};
constexpr int kCalls = 20;

/// Kills the daemon, starts it again, and returns how many of kCalls calls are
/// served once it has had the time to recover, which ends with the first one.
int CallsServedAfterRestart(ReplicaSite* site) {
  site->daemon.process->Kill();
  site->daemon.Start();
  const TimePoint limit = Clock::now() + kRecoveryLimit;
  while (site->Call("/safe/").status != 200 && Clock::now() < limit)
    site->RunFor(100);
  int served = 0;
  for (int i = 0; i < kCalls; ++i)
    served += site->Call("/safe/").status == 200 ? 1 : 0;
  return served;
}

}  // namespace

TEST_GROUP(Restart){};

// Guards against an entry of another writer that hides the others of its kind
// from a daemon that starts, as its name is written into the call for the next
// page: no request is served while it stands (RECOVER, issue 58).
TEST(Restart, OddNamesInTheStoreHideNoReplica) {
  struct Row {
    const char* kind;
    const char* name;  ///< Ends the first page, unless said otherwise.
  };
  const Row rows[] = {{"servers", "r1 x"},           {"servers", "r1#x"},
                      {"servers", "r1\"x"},          {"servers", "r1\xc3\xa9"},
                      {"servers", "r1\r\nHost: x"},  {"servers", "r1%"},
                      {"servers", "r1&x"},           {"servers", "&x"},
                      {"servers", "r1&after=r9"},    {"servers", "r1%7Ax"},
                      {"servers", "r1+x"},           {"servers", "r1/../x"},
                      {"servers", "r1?x=1"},         {"config", "a&x"},
                      {"coltsfootvane-daemons", " "}};
  for (const Row& row : rows) {
    ReplicaSite site(3);
    CHECK_TEXT(site.Start(), row.name);
    site.store.Put(row.kind, row.name, {{"x", 1}});
    site.store.Put(row.kind, std::string(row.name) + "y", {{"x", 1}});
    LONGS_EQUAL_TEXT(kCalls, CallsServedAfterRestart(&site), row.name);
    LONGS_EQUAL_TEXT(0, site.store.refused_targets, row.name);
  }
}

// Guards against a daemon that starts and refuses everything, though it has
// read most endpoints: the store refuses a later page of each listing.
TEST(Restart, EndpointsOfAFirstPageAreUsed) {
  for (const char* const kind : {"servers", "config"}) {
    ReplicaSite site(3);
    CHECK_TEXT(site.Start(), kind);
    for (const char* const name : {"x1", "x2", "x3"})
      site.store.Put(kind, name, {{"x", 1}});
    site.store.faults.refuses_pages = true;
    LONGS_EQUAL_TEXT(kCalls, CallsServedAfterRestart(&site), kind);
    LONGS_EQUAL_TEXT(200, site.daemon.Ready(), kind);
    // The listing that is complete in the end shows what is gone.
    site.silent.insert("r1");
    site.store.Remove("servers", "r1");
    site.store.faults.refuses_pages = false;
    CHECK_TEXT(site.RunUntil(
                   [&site] {
                     return site.daemon.Log().find("endpoint-gone") !=
                            std::string::npos;
                   },
                   5000),
               kind);
  }
}

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

constexpr int kRestartingDaemons = 6;

/// Daemons before one replica, which all start at the same moment.
struct RestartSite {
  boost::asio::io_context io;
  std::string host = testing::OwnLoopbackHost();
  testing::StoreStandin store{&this->io, this->host};
  testing::ReplicaStandin replica{&this->io, this->host, "r1"};
  std::vector<std::unique_ptr<GatewayProcess>> daemons;

  RestartSite() {
    this->store.Put("config", "main", testing::BooksConfig(1));
    this->store.Put("servers", "r1", this->replica.Entry());
    testing::GatewayOptions options;
    options.peer_port = testing::FreePort(this->host);
    for (int i = 0; i < kRestartingDaemons; ++i) {
      options.name = "vm-" + std::to_string(i);
      this->daemons.push_back(std::make_unique<GatewayProcess>(
          &this->io, testing::MoreLoopbackHost(i),
          this->store.server.AddressText(), options));
    }
  }

  bool AwaitAllReady() {
    return std::all_of(this->daemons.begin(), this->daemons.end(),
                       [](const auto& daemon) { return daemon->AwaitReady(); });
  }

  void KillAllAndStart() {
    for (const auto& daemon : this->daemons)
      daemon->process->Kill();
    for (const auto& daemon : this->daemons)
      daemon->Start();
  }

  int Call(GatewayProcess* daemon) {
    net::RequestHead head;
    head.method = "POST";
    head.target = "/safe/";
    head.fields = {
        {"Request-Id", "id"}, {"Deadline-Ms", "4000"}, {"Host", "h"}};
    const auto answer = daemon->CallAt(daemon->Callers(), std::move(head));
    return answer && answer->has_value() ? answer->value().head.status : 0;
  }
};

}  // namespace

// Guards against daemons that end, or serve nothing for long, when all start at
// once beside a store that is slow or turns them away (FAULT and RECOVER, issue
// 58).
TEST(Restart, AllDaemonsReturnBesideAStoreInTrouble) {
  struct Row {
    const char* name;
    void (*disturb)(testing::StoreFaults*);
  };
  const Row rows[] = {
      {"no trouble", [](testing::StoreFaults*) {}},
      {"refuses", [](testing::StoreFaults* f) { f->unavailable = true; }},
      {"silent", [](testing::StoreFaults* f) { f->silent = true; }},
      {"closes", [](testing::StoreFaults* f) { f->away = true; }},
      {"loses answers",
       [](testing::StoreFaults* f) { f->loses_answers = true; }},
      {"loses watches",
       [](testing::StoreFaults* f) { f->loses_watches = true; }},
  };
  constexpr int kTroubleMs = 5000;
  for (const Row& row : rows) {
    RestartSite site;
    for (const auto& daemon : site.daemons)
      daemon->Start();
    CHECK_TEXT(site.AwaitAllReady(), row.name);
    row.disturb(&site.store.faults);
    site.KillAllAndStart();
    site.daemons[0]->RunUntil([] { return false; }, kTroubleMs);
    site.store.faults = testing::StoreFaults();
    const TimePoint limit = Clock::now() + kRecoveryLimit;
    for (const auto& daemon : site.daemons) {
      while (site.Call(daemon.get()) != 200 && Clock::now() < limit)
        daemon->RunUntil([] { return false; }, 100);
      CHECK_TEXT(Clock::now() < limit, row.name);
      CHECK_TEXT(daemon->process->IsRunning(), row.name);
    }
  }
}

// Guards against a process that ends at its start, since an address that it
// needs is still taken for a moment, or one that it does not need for good.
TEST(Restart, AnAddressThatIsTakenEndsNoStart) {
  struct Row {
    const char* name;
    bool is_released;
  };
  const Row rows[] = {{"callers", true},
                      {"health", true},
                      {"datagrams", true},
                      {"metrics", false},
                      {"other daemons", false}};
  for (const Row& row : rows) {
    boost::asio::io_context io;
    const std::string host = testing::OwnLoopbackHost();
    testing::StoreStandin store(&io, host);
    store.Put("config", "main", testing::BooksConfig(1));
    testing::GatewayOptions options;
    options.peer_port = testing::FreePort(host);
    options.metrics_port = testing::FreePort(host);
    GatewayProcess daemon(&io, host, store.server.AddressText(), options);
    const auto ip = boost::asio::ip::make_address(host);
    const std::string name = row.name;
    tcp::endpoint taken = daemon.Callers();
    if (name == "health")
      taken = daemon.Health();
    else if (name == "metrics")
      taken = {ip, static_cast<unsigned short>(options.metrics_port)};
    else if (name == "other daemons")
      taken = {ip, static_cast<unsigned short>(options.peer_port)};
    tcp::acceptor acceptor(io);
    udp::socket socket(io);
    if (name == "datagrams") {
      socket =
          udp::socket(io, {ip, static_cast<unsigned short>(options.peer_port)});
    } else {
      acceptor = tcp::acceptor(io, taken, false);
    }
    // The process would inherit what it is to find taken.
    fcntl(
        name == "datagrams" ? socket.native_handle() : acceptor.native_handle(),
        F_SETFD, FD_CLOEXEC);
    daemon.Start();
    daemon.RunUntil([] { return false; }, 1500);
    CHECK_TEXT(daemon.process->IsRunning(), row.name);
    STRCMP_CONTAINS("listen-failed", daemon.Log().c_str());
    if (row.is_released) {
      acceptor.close();
      socket.close();
    }
    CHECK_TEXT(daemon.AwaitReady(), row.name);
    CHECK_TEXT(daemon.process->IsRunning(), row.name);
  }
}

// Guards against a process that ends at its start, since its settings are
// still being written.
TEST(Restart, SettingsThatAreBeingWrittenEndNoStart) {
  boost::asio::io_context io;
  const std::string host = testing::OwnLoopbackHost();
  testing::StoreStandin store(&io, host);
  store.Put("config", "main", testing::BooksConfig(1));
  GatewayProcess daemon(&io, host, store.server.AddressText());
  std::ofstream(daemon.SettingsPath()) << "nodeName=vm-1\nlisten.front=127.0";
  daemon.StartWithOldSettings();
  daemon.RunUntil([] { return false; }, 1000);
  CHECK(daemon.process->IsRunning());
  daemon.WriteSettings(8);
  CHECK(daemon.AwaitReady());
}

// Guards against a daemon that reads pages for ever and keeps all that they
// list: two pages that lead to each other fill the memory of its VM (251 MB in
// 41 s, a way to FAULT, issue 58).
TEST(Restart, PagesWithoutEndFillNoMemory) {
  constexpr int kEntries = 500;
  constexpr long kMemoryKb = 182L * 1024;
  constexpr int kSeconds = 20;
  /// Listings begin again with a growing pause.
  constexpr int kMaxCalls = 40 * kSeconds;
  ReplicaSite site(1);
  int calls = 0;
  const auto page_text = [&site](const std::string& prefix) {
    std::string items = R"({"metadata":{"name":"r1","revision":101},"spec":)" +
                        site.replicas[0]->Entry().dump() + "}";
    for (int i = 0; i < kEntries; ++i)
      items += R"(,{"metadata":{"name":")" + prefix + std::to_string(i) +
               R"(","revision":101},"spec":{"x":1}})";
    return R"({"items":[)" + items + R"(],"hasMore":true,"at":150})";
  };
  const std::string pages[] = {page_text("g"), page_text("h")};
  testing::LoopbackServer store(
      &site.io, site.host,
      [&](const testing::ReceivedRequest& request,
          const std::shared_ptr<net::TcpStream>& stream) {
        if (request.head.target.rfind("/objects/servers", 0) != 0) {
          site.store.Serve(request, stream);
          return;
        }
        testing::Reply(stream, 200, pages[calls++ % 2], {{"Store-Era", "1"}});
      });
  site.PutConfig(1);
  GatewayProcess daemon(&site.io, testing::MoreLoopbackHost(0),
                        store.AddressText());
  daemon.Start();
  daemon.RunUntil([] { return false; }, kSeconds * 1000);
  CHECK(daemon.process->IsRunning());
  CHECK(testing::StatusKb(daemon.process->Pid(), "VmHWM:") < kMemoryKb);
  CHECK(calls < kMaxCalls);
  LONGS_EQUAL(200, daemon.Ready());
}
