#include <algorithm>
#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "http_calls.h"
#include "peer/codec.h"
#include "peer/config_peer.h"
#include "raw_input.h"
#include "site.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
using coltsfootvane::Clock;
using coltsfootvane::Milliseconds;
using coltsfootvane::Result;
using coltsfootvane::TimePoint;
using nlohmann::json;
namespace http = coltsfootvane::http;

constexpr unsigned kSeed = 20261204;
constexpr int kInputsPerListener = 300;
constexpr int kDatagrams = 3000;
constexpr int kEntryThreads = 32;
constexpr std::size_t kMaxBody = 1024UL * 1024;  ///< Default of the settings.
constexpr std::size_t kSmallBody = 64UL * 1024;  ///< Exempt from the sum.
constexpr int kBodyConnections = 4 * kEntryThreads;
constexpr int kOversizedBodies = 8;
constexpr int kOtherCalls = 5;
/// The promise for an accepted configuration; see docs/design.md, section 1.
constexpr int kInForceMs = 9000;
constexpr int kSlowSenders = 200;
constexpr std::size_t kHeaderConnections = 50;
/// The cap and what the HTTP library may have read beyond it.
constexpr std::size_t kMaxHeader = (64UL + 16) * 1024;
constexpr std::size_t kHeaderBytes = 4096UL * 1024;
/// For arenas and buffers that the allocator keeps.
constexpr long kAllocatorKb = 32L * 1024;

/// Returns the value of `name` in the process' status; -1 if there is none.
long StatusKb(const DaemonProcess& daemon, std::string_view name) {
  std::ifstream status("/proc/" + std::to_string(daemon.process->Pid()) +
                       "/status");
  std::string word;
  while (status >> word) {
    long value = 0;
    if (word == name && status >> value)
      return value;
  }
  return -1;
}

long ResidentKb(const DaemonProcess& daemon) {
  return StatusKb(daemon, "VmRSS:");
}

SiteOptions BadInputSite() {
  SiteOptions options;
  options.models = {{"diagnosis", 4000, 1}};
  options.adapters.clear();
  options.daemons = 2;
  options.entry_threads = kEntryThreads;
  return options;
}

struct Answered {
  int completions = 0;
  int health = 0;
  double slowest_ms = 0;
};

/// Calls the entry and the admin listener of the daemon `count` times as other
/// callers do, with 2 s for each call.
Answered CallAsOthers(const DaemonProcess& daemon, int count) {
  Answered answered;
  for (int i = 0; i < count; ++i) {
    http::Request chat = ChatRequest("diagnosis", "other", 1, false);
    chat.headers.push_back(InteractiveKey());
    const TimePoint start = Clock::now();
    const Result<http::Response> completion =
        http::Call({daemon.entry, In(2000), In(2000)}, chat);
    const std::chrono::duration<double, std::milli> took = Clock::now() - start;
    answered.slowest_ms = std::max(answered.slowest_ms, took.count());
    if (completion && completion.assume_value().status == 200)
      ++answered.completions;
    const Result<http::Response> health = http::Call(
        {daemon.admin, In(2000), In(2000)}, {"GET", "/health", "", {}, ""});
    if (health && health.assume_value().status == 200)
      ++answered.health;
  }
  return answered;
}

/// Writes `data` on every connection, on ten of them at once.
void WriteAtOnce(const Connections& connections, const std::string& data) {
  constexpr std::size_t kAtOnce = 10;
  std::vector<std::thread> writers;
  for (std::size_t writer = 0; writer < kAtOnce; ++writer) {
    writers.emplace_back([&, writer] {
      for (std::size_t i = writer; i < connections.size(); i += kAtOnce)
        static_cast<void>(connections[i]->Write(data));
    });
  }
  for (std::thread& writer : writers)
    writer.join();
}

/// A header that never ends.
std::string EndlessHeader() {
  return "GET /health HTTP/1.1\r\nX-Pad: " + std::string(4000, 'a');
}

void Report(const std::string& line) {
  std::printf("  %s\n", line.c_str());
}

std::string Describe(const Answered& answered) {
  return "completions=" + std::to_string(answered.completions) +
         " health=" + std::to_string(answered.health) +
         " slowest_ms=" + std::to_string(answered.slowest_ms);
}

}  // namespace

TEST_GROUP(BadInput){};

// Guards against malformed input that ends the daemon, takes its memory or
// stops it from answering others.
TEST(BadInput, EveryListenerSurvivesMalformedInput) {
  Site site{BadInputSite()};
  site.StartAll();
  const DaemonProcess& daemon = site.daemons[0];
  std::mt19937 random(kSeed);
  const long before = ResidentKb(daemon);
  SendInputs(daemon.entry, kInputsPerListener,
             [&random] { return BadHttp(&random); });
  SendInputs(daemon.admin, kInputsPerListener,
             [&random] { return BadHttp(&random); });
  SendInputs(daemon.peer, kInputsPerListener,
             [&random] { return BadFrame(&random); });
  coltsfootvane::peer::PeerMessage ping;
  ping.sender = site.daemons[1].id;
  ping.membership.emplace();
  const std::string valid =
      coltsfootvane::peer::EncodeMessage(ping, Clock::now());
  SendDatagrams(daemon.peer, kDatagrams,
                [&] { return BadDatagram(&random, valid); });
  const Answered answered = CallAsOthers(daemon, 10);
  const long after = ResidentKb(daemon);
  Report("seed=" + std::to_string(kSeed) +
         " inputs=" + std::to_string(3 * kInputsPerListener + kDatagrams) +
         " resident_kb=" + std::to_string(before) + "->" +
         std::to_string(after) + " " + Describe(answered));
  CHECK(daemon.process->IsRunning());
  LONGS_EQUAL(10, answered.completions);
  LONGS_EQUAL(10, answered.health);
  CHECK(after - before < kAllocatorKb);
}

// Guards against bodies that take memory by the number of connections, and
// against large ones that never end and keep others from being answered.
TEST(BadInput, BodiesStayWithinTheCaps) {
  Site site{BadInputSite()};
  site.StartAll();
  const DaemonProcess& daemon = site.daemons[0];
  const long before = ResidentKb(daemon);
  const std::string unfinished =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: " +
      std::to_string(kMaxBody) + "\r\n\r\n" + std::string(kMaxBody - 1, 'b');
  Connections connections;
  for (int i = 0; i < kBodyConnections; ++i) {
    connections.push_back(std::make_unique<RawConnection>(daemon.entry));
    static_cast<void>(connections.back()->Write(unfinished));
  }
  std::this_thread::sleep_for(Milliseconds{500});
  const long during = ResidentKb(daemon);
  const Answered answered = CallAsOthers(daemon, kOtherCalls);
  // A string may have twice the capacity that it needs.
  const long bound_kb = 2 *
                            static_cast<long>(kEntryThreads * kMaxBody +
                                              kBodyConnections * kSmallBody) /
                            1024 +
                        kAllocatorKb;
  Report("connections=" + std::to_string(kBodyConnections) + " resident_kb=" +
         std::to_string(before) + "->" + std::to_string(during) +
         " bound_kb=" + std::to_string(bound_kb) + " " + Describe(answered));
  LONGS_EQUAL(kOtherCalls, answered.completions);
  LONGS_EQUAL(kOtherCalls, answered.health);
  CHECK(during - before < bound_kb);
}

// Guards against one request whose body is above the cap of its listener.
TEST(BadInput, OversizedBodiesAreCut) {
  Site site{BadInputSite()};
  site.StartAll();
  const DaemonProcess& daemon = site.daemons[0];
  const long before = ResidentKb(daemon);
  const std::string header =
      "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: "
      "67108864\r\n\r\n";
  const std::string part(kMaxBody, 'b');
  int cut = 0;
  Connections connections;
  for (int i = 0; i < kOversizedBodies; ++i) {
    connections.push_back(std::make_unique<RawConnection>(daemon.entry));
    bool taken = connections.back()->Write(header);
    for (int parts = 0; taken && parts < 64; ++parts)
      taken = connections.back()->Write(part);
    cut += taken ? 0 : 1;
  }
  const long during = ResidentKb(daemon);
  const long bound_kb =
      2 * static_cast<long>(kOversizedBodies * kMaxBody) / 1024 + kAllocatorKb;
  Report("oversized=" + std::to_string(kOversizedBodies) + " cut=" +
         std::to_string(cut) + " resident_kb=" + std::to_string(before) + "->" +
         std::to_string(during));
  LONGS_EQUAL(kOversizedBodies, cut);
  CHECK(during - before < bound_kb);
  LONGS_EQUAL(kOtherCalls, CallAsOthers(daemon, kOtherCalls).completions);
}

// Guards against huge headers that end the daemon, keep others from being
// answered, take memory by the bytes sent, or leave more memory in use with
// every round.
TEST(BadInput, HugeHeadersAreNotKept) {
  Site site{BadInputSite()};
  site.StartAll();
  const DaemonProcess& daemon = site.daemons[0];
  const long before = ResidentKb(daemon);
  const std::string unfinished =
      "GET /v1/models HTTP/1.1\r\nX-Pad: " + std::string(kHeaderBytes, 'a');
  long after_round[3] = {0, 0, 0};
  for (long& resident : after_round) {
    Connections connections;
    for (std::size_t i = 0; i < kHeaderConnections; ++i)
      connections.push_back(std::make_unique<RawConnection>(daemon.entry));
    WriteAtOnce(connections, unfinished);
    std::this_thread::sleep_for(Milliseconds{500});
    resident = ResidentKb(daemon);
    const Answered answered = CallAsOthers(daemon, kOtherCalls);
    LONGS_EQUAL(kOtherCalls, answered.completions);
    LONGS_EQUAL(kOtherCalls, answered.health);
  }
  // A string may have twice the capacity that it needs.
  const long bound_kb =
      2 * static_cast<long>(kHeaderConnections * kMaxHeader) / 1024 +
      kAllocatorKb;
  const long sent_kb =
      static_cast<long>(kHeaderConnections * kHeaderBytes / 1024);
  Report("sent_kb=" + std::to_string(sent_kb) + " resident_kb=" +
         std::to_string(before) + "->" + std::to_string(after_round[0]) + "->" +
         std::to_string(after_round[1]) + "->" +
         std::to_string(after_round[2]) +
         " bound_kb=" + std::to_string(bound_kb) +
         " peak_kb=" + std::to_string(StatusKb(daemon, "VmHWM:")));
  for (const long resident : after_round)
    CHECK(resident - before < bound_kb);
}

// Guards against senders of single bytes that hold the threads of a listener.
TEST(BadInput, SlowSendersKeepNobodyOut) {
  Site site{BadInputSite()};
  site.StartAll();
  const DaemonProcess& daemon = site.daemons[0];
  for (const http::Address* listener : {&daemon.entry, &daemon.admin}) {
    const SlowSenders senders(*listener, EndlessHeader(), kSlowSenders);
    CHECK(WaitUntil(In(10000), [&senders] { return senders.rounds >= 10; }));
    const Answered answered = CallAsOthers(daemon, kOtherCalls);
    Report(std::string(listener == &daemon.entry ? "entry " : "admin ") +
           Describe(answered));
    LONGS_EQUAL(kOtherCalls, answered.completions);
    LONGS_EQUAL(kOtherCalls, answered.health);
  }
}

// Guards against slow senders at the peer port that keep a daemon from getting
// the configuration of a peer within the time promised for it.
TEST(BadInput, SlowSendersDoNotStopPeers) {
  Site site{BadInputSite()};
  site.StartAll();
  const DaemonProcess& daemon = site.daemons[0];
  const std::string frame("\x00\x00\x0f\xff", 4);
  const SlowSenders senders(daemon.peer, frame + std::string(4000, 'a'),
                            kSlowSenders);
  CHECK(WaitUntil(In(10000), [&senders] { return senders.rounds >= 2; }));
  const TimePoint start = Clock::now();
  const auto fetches = [&daemon] {
    return coltsfootvane::peer::FetchFromPeer(daemon.peer, 0, In(3000))
        .has_value();
  };
  const bool fetched = WaitUntil(In(kInForceMs), fetches);
  const std::chrono::duration<double, std::milli> took = Clock::now() - start;
  const Answered answered = CallAsOthers(daemon, kOtherCalls);
  Report("peer fetched=" + std::to_string(fetched) +
         " ms=" + std::to_string(took.count()) + " " + Describe(answered));
  CHECK(fetched);
  LONGS_EQUAL(kOtherCalls, answered.completions);
  LONGS_EQUAL(kOtherCalls, answered.health);
}
