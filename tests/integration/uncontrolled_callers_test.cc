#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "caller_crowd.h"
#include "gateway_process.h"
#include "process_usage.h"
#include "replica_site.h"
#include "support/free_port.h"
#include "support/replica_standin.h"
#include "support/store_standin.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerCrowd;
using testing::CrowdHead;
using testing::CrowdInput;
using testing::OpenDescriptors;
using testing::ReceivedRequest;
using testing::ReplicaStandin;
using testing::StatusKb;
using testing::UnreadKb;

namespace {

using Json = nlohmann::json;
using StreamPtr = std::shared_ptr<net::TcpStream>;

// The crowds and the bounds were fixed before the daemon was changed for them.
constexpr int kMemoryMb = 64;
constexpr int kMaxFds = 600;
constexpr int kFdsOfFiles = 200;  ///< Of `limits.maxFds`, not for connections.
constexpr std::size_t kMaxBody = 4UL * 1024 * 1024;
constexpr std::size_t kFarOver = 24UL * 1024 * 1024;
constexpr std::size_t kOrdinaryBody = 2000;
constexpr int kSettleMs = 8000;  ///< At most, for what the crowd sends.
constexpr int kStayMs = 1500;    ///< The crowd stays connected for that long.

Json LargeBodiesConfig() {
  Json config = testing::BooksConfig(1);
  config["limits"] = {{"maxHeaderBytes", 16384},
                      {"maxBodyBytes", kMaxBody},
                      {"headerTimeoutMs", 3000},
                      {"idleTimeoutMs", 15000}};
  return config;
}

struct Site {
  boost::asio::io_context io;
  std::string host = testing::OwnLoopbackHost();
  testing::StoreStandin store{&this->io, this->host};
  ReplicaStandin first{&this->io, this->host, "r1"};
  ReplicaStandin second{&this->io, this->host, "r2"};
  testing::GatewayProcess daemon{&this->io,
                                 this->host,
                                 this->store.server.AddressText(),
                                 {"vm-1", 0, kMemoryMb, kMaxFds}};
  std::size_t largest_whole_body = 0;  ///< That a replica received.
  bool ignores_crowd = false;          ///< Replicas do not answer it.
  long peak_kb = 0;                    ///< Resident and unread.
  int peak_descriptors = 0;

  bool Start() {
    for (ReplicaStandin* const replica : {&this->first, &this->second}) {
      replica->answer = [this, replica](const ReceivedRequest& request,
                                        const StreamPtr& stream) {
        if (request.body.find_first_not_of('x') == std::string::npos)
          this->largest_whole_body =
              std::max(this->largest_whole_body, request.body.size());
        const std::string_view id =
            net::FieldValue(request.head.fields, "Request-Id");
        if (!this->ignores_crowd || id != "crowd")
          replica->Run(request, stream);
      };
    }
    this->store.Put("config", "main", LargeBodiesConfig());
    this->store.Put("servers", "r1", this->first.Entry());
    this->store.Put("servers", "r2", this->second.Entry());
    this->daemon.Start();
    return this->daemon.AwaitReady();
  }

  void Measure() {
    const int pid = this->daemon.process->Pid();
    const long kb = StatusKb(pid, "VmRSS:") + UnreadKb(this->daemon.Callers());
    this->peak_kb = std::max(this->peak_kb, kb);
    this->peak_descriptors =
        std::max(this->peak_descriptors, OpenDescriptors(pid));
  }

  /// Runs the loop and measures the daemon.
  bool RunUntil(const std::function<bool()>& condition, int milliseconds) {
    TimePoint measured;
    return this->daemon.RunUntil(
        [this, &condition, &measured] {
          if (Clock::now() >= measured + Milliseconds(20)) {
            this->Measure();
            measured = Clock::now();
          }
          return condition();
        },
        milliseconds);
  }

  /// Sends one request and returns the status of its answer; 0 for none.
  int Call(const char* id, const std::string& body, bool chunked) {
    net::RequestHead head;
    head.method = "POST";
    head.target = "/safe/1";
    head.fields = {{"Request-Id", id}, {"Deadline-Ms", "4000"}, {"Host", "h"}};
    if (chunked)
      head.fields.push_back({"Transfer-Encoding", "chunked"});
    else
      head.fields.push_back({"Content-Length", std::to_string(body.size())});
    std::string answer;
    bool ended = false;
    StreamPtr connection;
    net::Connect(&this->io, this->daemon.Callers(), Milliseconds(5000),
                 Milliseconds(20'000), [&](StreamPtr stream) {
                   ended = stream == nullptr;
                   if (!stream)
                     return;
                   connection = std::move(stream);
                   net::StreamEvents events;
                   events.on_data = [&answer](std::string_view bytes) {
                     answer.append(bytes);
                   };
                   events.on_end = [&ended](net::StreamEnd) { ended = true; };
                   connection->Start(std::move(events));
                   connection->Write(net::FormatHead(head) + body);
                 });
    this->RunUntil(
        [&] { return ended || answer.find("\r\n\r\n") != std::string::npos; },
        9000);
    if (connection)
      connection->Close();
    return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
  }
};

struct Crowd {
  const char* name;
  int callers;
  CrowdInput input;
  bool unanswered = false;  ///< Endpoints do not answer the crowd.
};

std::string Declared(std::size_t bytes) {
  return CrowdHead("Content-Length: " + std::to_string(bytes));
}

std::string Chunked() {
  return CrowdHead("Transfer-Encoding: chunked");
}

/// Checks that the daemon survives a crowd within its limits and serves an
/// ordinary caller beside it and after it.
void CheckCrowd(const Crowd& crowd) {
  Site site;
  site.ignores_crowd = crowd.unanswered;
  CHECK_TEXT(site.Start(), crowd.name);
  site.Measure();
  const long calm_kb = site.peak_kb;
  CallerCrowd callers(&site.io, crowd.input);
  callers.Join(site.daemon.Callers(), crowd.callers);
  site.RunUntil([&] { return callers.Settled() == crowd.callers; }, kSettleMs);
  site.RunUntil([] { return false; }, kStayMs);
  const std::string body(kOrdinaryBody, 'x');
  const int beside = site.Call("beside", body, false);
  const int answered = callers.Answered();
  const int ended = callers.Ended();
  callers.Leave();
  const int after = site.Call("after", body, false);
  const bool runs = site.daemon.process->IsRunning();
  const long peak_kb =
      std::max(site.peak_kb, StatusKb(site.daemon.process->Pid(), "VmHWM:"));
  std::printf(
      "%s: %ld MB before, %ld MB at most, %d descriptors at most, beside it "
      "%d, after it %d; %d answered, %d ended, %zu MB sent\n",
      crowd.name, calm_kb / 1024, peak_kb / 1024, site.peak_descriptors, beside,
      after, answered, ended, callers.SentBytes() >> 20);
  CHECK_TEXT(runs, crowd.name);
  CHECK_TEXT(peak_kb < kMemoryMb * 1024L, crowd.name);
  CHECK_TEXT(site.peak_descriptors < kMaxFds - kFdsOfFiles, crowd.name);
  LONGS_EQUAL_TEXT(200, beside, crowd.name);
  LONGS_EQUAL_TEXT(200, after, crowd.name);
}

}  // namespace

// Guards against callers that the operators do not control: each alone is
// within the limits of one request, and together they take the memory or the
// descriptors of the daemon, which ends it or leaves nothing to others. No
// times and no shares of served requests are checked.
TEST_GROUP(UncontrolledCallers){};

TEST(UncontrolledCallers, SixtyStopOneByteShort) {
  CheckCrowd({"60 stop one byte short",
              60,
              {Declared(kMaxBody), "", kMaxBody - 1, ""}});
}

TEST(UncontrolledCallers, ThreeHundredStopOneByteShort) {
  CheckCrowd({"300 stop one byte short",
              300,
              {Declared(kMaxBody), "", kMaxBody - 1, ""}});
}

TEST(UncontrolledCallers, SixtySendChunksOf16Bytes) {
  const std::string block = testing::CrowdChunks(16);
  constexpr std::size_t kWireBytes = kMaxBody / 16 * 22;
  CheckCrowd(
      {"60 in chunks of 16 bytes", 60, {Chunked(), block, kWireBytes, ""}});
}

TEST(UncontrolledCallers, SixtySendWholeBodies) {
  CheckCrowd({"60 whole bodies", 60, {Declared(kMaxBody), "", kMaxBody, ""}});
}

TEST(UncontrolledCallers, SixtySendFarMoreThanAllowed) {
  CheckCrowd({"60 far over the limit, declared",
              60,
              {Declared(kFarOver), "", kFarOver, ""}});
}

TEST(UncontrolledCallers, SixtySendFarMoreThanAllowedInChunks) {
  const std::string block = testing::CrowdChunks(32UL * 1024);
  CheckCrowd({"60 far over the limit, in chunks",
              60,
              {Chunked(), block, kFarOver, ""}});
}

TEST(UncontrolledCallers, SixtySendFarMoreThanTheyDeclare) {
  CheckCrowd(
      {"60 far more than declared", 60, {Declared(10), "", kFarOver, ""}});
}

TEST(UncontrolledCallers, FiveHundredStopWithinTheHead) {
  std::string head = CrowdHead("Content-Length: 10");
  head.resize(head.size() / 2);
  CheckCrowd({"500 stop within the head", 500, {head, "", 0, ""}});
}

// Later than the others, and after the change: bodies that need no grant, heads
// whose fields take many times their bytes, and bodies that wait at endpoints.
TEST(UncontrolledCallers, ThreeHundredSmallBodiesStopOneByteShort) {
  constexpr std::size_t kSmall = 60'000;
  CheckCrowd({"300 small bodies stop one byte short",
              300,
              {Declared(kSmall), "", kSmall - 1, ""}});
}

TEST(UncontrolledCallers, ThreeHundredSendHeadsOfManyFields) {
  std::string lines = "Content-Length: 10";
  while (lines.size() < 15'000)
    lines += "\r\na:";
  CheckCrowd({"300 heads of many fields", 300, {CrowdHead(lines), "", 9, ""}});
}

TEST(UncontrolledCallers, SixtySendWholeBodiesThatNobodyAnswers) {
  CheckCrowd({"60 whole bodies without an answer",
              60,
              {Declared(kMaxBody), "", kMaxBody, ""},
              true});
}

TEST(UncontrolledCallers, ThreeHundredSendChunksOfOneByte) {
  const std::string block = testing::CrowdChunks(1);
  CheckCrowd(
      {"300 in chunks of one byte", 300, {Chunked(), block, kMaxBody, ""}});
}

// Guards against bounds for crowds that refuse a single large request.
TEST(UncontrolledCallers, LargestBodiesAreServedInCalm) {
  struct Row {
    const char* name;
    std::size_t chunk;  ///< 0 for a body with its length.
  };
  const Row rows[] = {
      {"with its length", 0}, {"chunks of 16", 16}, {"chunks of 64 KB", 65536}};
  for (const Row& row : rows) {
    Site site;
    CHECK_TEXT(site.Start(), row.name);
    std::string body;
    if (row.chunk == 0) {
      body.assign(kMaxBody, 'x');
    } else {
      char line[32];
      std::snprintf(line, sizeof(line), "%zx\r\n", row.chunk);
      const std::string chunk = line + std::string(row.chunk, 'x') + "\r\n";
      for (std::size_t sent = 0; sent < kMaxBody; sent += row.chunk)
        body += chunk;
      body += "0\r\n\r\n";
    }
    const int status = site.Call("large", body, row.chunk > 0);
    std::printf("largest body, %s: %d, %ld MB at most\n", row.name, status,
                StatusKb(site.daemon.process->Pid(), "VmHWM:") / 1024);
    LONGS_EQUAL_TEXT(200, status, row.name);
    LONGS_EQUAL_TEXT(kMaxBody, site.largest_whole_body, row.name);
    CHECK_TEXT(site.peak_kb < kMemoryMb * 1024L, row.name);
  }
}
