#include <boost/asio/steady_timer.hpp>
#include <cstdio>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "gateway_process.h"
#include "replica_site.h"
#include "support/free_port.h"
#include "support/loopback_server.h"
#include "support/replica_standin.h"
#include "support/store_standin.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::BooksConfig;
using testing::GatewayProcess;
using testing::LoopbackServer;
using testing::ReceivedRequest;
using testing::ReplicaStandin;
using testing::StoreStandin;

namespace {

using Json = nlohmann::json;
using StreamPtr = std::shared_ptr<net::TcpStream>;

constexpr int kMemoryMb = 64;
constexpr std::size_t kBlockBytes = 64UL * 1024;
constexpr Milliseconds kPace{2};

std::string Chunk(std::size_t bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

std::string ChunkedHead(net::Fields fields, const char* type) {
  net::ResponseHead head;
  head.status = 200;
  head.fields = std::move(fields);
  head.fields.push_back({"Content-Type", type});
  head.fields.push_back({"Transfer-Encoding", "chunked"});
  return net::FormatHead(head);
}

/// A service of engines, whose reports the lease holder reads.
Json EngineConfig() {
  Json config = BooksConfig(1);
  config["services"].push_back(
      {{"name", "llm"},
       {"engine",
        {{"slots", 4},
         {"weightsMb", 1000},
         {"loadsPerS", 50},
         {"adapterSlots", 8},
         {"models", {{{"name", "m"}, {"weightsMb", 500}, {"adapters", 2}}}}}}});
  return config;
}

/// Endpoints that send without end, and a daemon with little memory.
struct EndlessSite {
  boost::asio::io_context io;
  std::string host = testing::OwnLoopbackHost();
  StoreStandin store{&this->io, this->host};
  ReplicaStandin replica{&this->io, this->host, "r1"};
  LoopbackServer engines{
      &this->io, this->host,
      [this](const ReceivedRequest&, const StreamPtr& stream) {
        this->endless.push_back(stream);
        ++this->engine_calls;
        stream->Write(ChunkedHead({}, "application/json"));
      }};
  GatewayProcess daemon{&this->io,
                        this->host,
                        this->store.server.AddressText(),
                        {"vm-1", 0, kMemoryMb}};
  boost::asio::steady_timer pace{this->io};
  std::vector<StreamPtr> endless;  ///< To the daemon.
  std::vector<StreamPtr> callers;
  std::string block = Chunk(kBlockBytes);
  std::string answers;  ///< Received by callers.
  int engine_calls = 0;
  int ended = 0;  ///< Callers whose connection has ended.

  EndlessSite() { this->Send(); }

  void Send() {
    for (const StreamPtr& stream : this->endless) {
      if (stream->IsOpen() && stream->UnsentBytes() < kBlockBytes)
        stream->Write(this->block);
    }
    this->pace.expires_after(kPace);
    this->pace.async_wait([this](const boost::system::error_code& ec) {
      if (!ec)
        this->Send();
    });
  }

  bool Start(const Json& config) {
    this->store.Put("config", "main", config);
    this->store.Put("servers", "r1", this->replica.Entry());
    this->daemon.Start();
    return this->daemon.AwaitReady();
  }

  void RegisterEngines(int count) {
    for (int i = 0; i < count; ++i) {
      const std::string id = "e" + std::to_string(i);
      this->store.Put("servers", id,
                      {{"service", "llm"},
                       {"address", this->engines.AddressText()},
                       {"zone", "dc"},
                       {"version", "1"},
                       {"slots", 4},
                       {"state", "ready"},
                       {"sequence", 1},
                       {"born", 1'700'000'000'000 + i},
                       {"phase", "unified"},
                       {"models", Json::array()}});
    }
  }

  /// Opens connections to the daemon that send `bytes`.
  void Call(int count, const std::string& bytes, bool reads) {
    for (int i = 0; i < count; ++i) {
      net::Connect(&this->io, this->daemon.Callers(), Milliseconds(5000),
                   Milliseconds(20'000),
                   [this, bytes, reads](StreamPtr stream) {
                     if (!stream)
                       return;
                     net::StreamEvents events;
                     events.on_data = [this](std::string_view data) {
                       this->answers.append(data.substr(0, 32)).append("\n");
                     };
                     events.on_end = [this](net::StreamEnd) { ++this->ended; };
                     stream->Start(std::move(events));
                     if (!reads)
                       stream->PauseReading();
                     stream->Write(bytes);
                     this->callers.push_back(std::move(stream));
                   });
    }
  }

  /// Returns the most memory that the daemon has had, in MB.
  int PeakMb() const {
    std::ifstream status("/proc/" + std::to_string(daemon.process->Pid()) +
                         "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.rfind("VmHWM:", 0) == 0)
        return std::atoi(line.c_str() + 6) / 1024;
    }
    return 0;
  }
};

std::string Request(const char* path, int number) {
  net::RequestHead head;
  head.method = "POST";
  head.target = path;
  head.fields = {{"Request-Id", "id" + std::to_string(number)},
                 {"Deadline-Ms", "4000"},
                 {"Host", "h"},
                 {"Content-Length", "0"}};
  return net::FormatHead(head);
}

}  // namespace

TEST_GROUP(EndlessBytes){};

// Guards against endpoints that send without end, and callers that take
// nothing, many at once: each connection alone stays within its bounds, and all
// together fill the daemon's memory, which ends all its requests.
TEST(EndlessBytes, ManyAtOnceStayWithinTheMemoryOfTheDaemon) {
  struct Row {
    const char* name;
    const char* path;
    const char* type;
    int callers;
    bool reads;
    int engines;
  };
  const Row rows[] = {
      {"event without end", "/stream/1", "text/event-stream", 150, true, 0},
      {"callers that do not read", "/safe/1", "text/plain", 400, false, 0},
      {"callers that read", "/safe/1", "text/plain", 100, true, 0},
      {"reports", "/safe/1", "text/plain", 0, true, 150},
  };
  for (const Row& row : rows) {
    EndlessSite site;
    site.replica.answer = [&site, &row](const ReceivedRequest& request,
                                        const StreamPtr& stream) {
      stream->Write(ChunkedHead(testing::AnswerFields(request), row.type));
      site.endless.push_back(stream);
    };
    CHECK_TEXT(site.Start(row.engines > 0 ? EngineConfig() : BooksConfig(1)),
               row.name);
    site.RegisterEngines(row.engines);
    site.Call(row.callers, Request(row.path, 1), row.reads);
    site.daemon.RunUntil(
        [&] { return row.callers > 0 && site.ended >= row.callers; }, 6000);
    std::printf("%s: %d MB, %d callers ended, %d engine calls\n", row.name,
                site.PeakMb(), site.ended, site.engine_calls);
    CHECK_TEXT(site.daemon.process->IsRunning(), row.name);
    CHECK_TEXT(site.PeakMb() < kMemoryMb, row.name);
    CHECK_TEXT(row.engines == 0 || site.engine_calls > row.engines / 2,
               row.name);
    // It has got over it.
    site.replica.answer = [&site](const ReceivedRequest& request,
                                  const StreamPtr& stream) {
      site.replica.Run(request, stream);
    };
    for (const StreamPtr& caller : site.callers)
      caller->Close();
    net::RequestHead head;
    head.method = "POST";
    head.target = "/safe/1";
    head.fields = {
        {"Request-Id", "last"}, {"Deadline-Ms", "4000"}, {"Host", "h"}};
    CHECK_TEXT(site.daemon.RunUntil(
                   [&] {
                     const auto answer =
                         site.daemon.CallAt(site.daemon.Callers(), head);
                     return answer && answer->has_value() &&
                            answer->value().head.status == 200;
                   },
                   5000),
               row.name);
  }
}

// Guards against a caller that sends requests one after the other and takes no
// answer: the answers would pile up in the daemon.
TEST(EndlessBytes, CallersThatTakeNoAnswerAreNotServedFurther) {
  EndlessSite site;
  constexpr int kRequests = 3000;
  constexpr int kServedAtMost = 300;  // What buffers take, and a few more.
  const std::string body(60UL * 1024, 'x');
  site.replica.answer = [&site, &body](const ReceivedRequest& request,
                                       const StreamPtr& stream) {
    ++site.replica.runs["all"];
    testing::Reply(stream, 200, body, testing::AnswerFields(request));
  };
  CHECK(site.Start(BooksConfig(1)));
  std::string requests;
  for (int i = 0; i < kRequests; ++i)
    requests += Request("/safe/1", i);
  site.Call(1, requests, false);
  site.daemon.RunUntil([] { return false; }, 4000);
  std::printf("%d of %d served, %d MB\n", site.replica.runs["all"], kRequests,
              site.PeakMb());
  CHECK(site.replica.runs["all"] < kServedAtMost);
  CHECK(site.PeakMb() < kMemoryMb);
  // Once it reads, it gets the rest.
  site.callers.front()->ResumeReading();
  CHECK(site.daemon.RunUntil(
      [&site] { return site.replica.runs["all"] == kRequests; }, 20'000));
}
