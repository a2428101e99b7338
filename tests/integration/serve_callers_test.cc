#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <cstdio>
#include <functional>
#include <future>
#include <string>

#include "caller_crowd.h"
#include "http_calls.h"
#include "process_usage.h"
#include "site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerCrowd;
using testing::CrowdInput;

namespace {

// The crowds and the bounds were fixed before the server was changed for them.
// All other settings have their defaults.
constexpr int kMemoryMb = 112;
constexpr int kMaxFds = 600;
constexpr int kEntryThreads = 256;
constexpr std::size_t kMaxBody = 1024UL * 1024;
constexpr std::size_t kFarOver = 24UL * 1024 * 1024;
constexpr int kSettleMs = 8000;  ///< At most, for what the crowd sends.
constexpr int kStayMs = 1500;    ///< The crowd stays connected for that long.
constexpr int kAttemptsMs = 9000;

testing::SiteOptions Options() {
  testing::SiteOptions options;
  options.models = {{"diagnosis", 4000, 1}};
  options.adapters.clear();
  options.engines.resize(1);
  options.services = 1;
  options.daemons = 1;
  options.entry_threads = kEntryThreads;
  options.memory_mb = kMemoryMb;
  options.max_fds = kMaxFds;
  return options;
}

std::string Head(const std::string& line) {
  return "POST /booking/offers HTTP/1.1\r\nHost: h\r\n"
         "Authorization: Bearer key-counter\r\n" +
         line + "\r\n\r\n";
}

std::string Declared(std::size_t bytes) {
  return Head("Content-Length: " + std::to_string(bytes));
}

std::string Chunked() {
  return Head("Transfer-Encoding: chunked");
}

struct CrowdSite {
  CrowdSite() : site(Options()) {
    this->site.StartAll();
    const http::Address& entry = this->site.daemons[0].entry;
    this->address = {boost::asio::ip::make_address(entry.host),
                     static_cast<unsigned short>(entry.port)};
  }

  int Pid() const { return this->site.daemons[0].process->Pid(); }

  void Measure() {
    const long kb = testing::StatusKb(this->Pid(), "VmRSS:") +
                    testing::UnreadKb(this->address);
    this->peak_kb = std::max(this->peak_kb, kb);
    this->peak_descriptors =
        std::max(this->peak_descriptors, testing::OpenDescriptors(this->Pid()));
  }

  bool RunUntil(const std::function<bool()>& condition, int milliseconds) {
    const TimePoint deadline = testing::In(milliseconds);
    TimePoint measured;
    while (!condition()) {
      if (Clock::now() >= deadline)
        return false;
      this->io.restart();
      this->io.run_one_for(Milliseconds(20));
      if (Clock::now() < measured + Milliseconds(20))
        continue;
      this->Measure();
      measured = Clock::now();
    }
    return true;
  }

  /// Sends an ordinary request, again after a rejection as a caller does, while
  /// the crowd goes on. Returns the last status; 0 without an answer.
  int CallOrdinary(const std::string& prompt) {
    http::Request chat =
        testing::ChatRequest("diagnosis", prompt, 1, /*stream=*/false);
    chat.headers.push_back(testing::InteractiveKey());
    const http::Address entry = this->site.daemons[0].entry;
    std::future<int> status = std::async(std::launch::async, [entry, chat] {
      int last = 0;
      testing::WaitUntil(testing::In(kAttemptsMs), [&last, &entry, &chat] {
        const Result<http::Response> response =
            http::Call({entry, testing::In(3000), testing::In(3000)}, chat);
        last = response ? response.assume_value().status : 0;
        return last == 200;
      });
      return last;
    });
    this->RunUntil(
        [&status] {
          return status.wait_for(Milliseconds(0)) == std::future_status::ready;
        },
        kAttemptsMs + 4000);
    return status.get();
  }

  testing::Site site;
  boost::asio::io_context io;
  boost::asio::ip::tcp::endpoint address;
  long peak_kb = 0;  ///< Resident and unread.
  int peak_descriptors = 0;
};

struct Crowd {
  const char* name;
  int callers;
  CrowdInput input;
};

/// Checks that the daemon survives a crowd within its limits and serves an
/// ordinary caller beside it and after it.
void CheckCrowd(const Crowd& crowd) {
  CrowdSite site;
  site.Measure();
  const long calm_kb = site.peak_kb;
  CallerCrowd callers(&site.io, crowd.input);
  callers.Join(site.address, crowd.callers);
  site.RunUntil([&] { return callers.Settled() == crowd.callers; }, kSettleMs);
  site.RunUntil([] { return false; }, kStayMs);
  const int beside = site.CallOrdinary("beside");
  const int answered = callers.Answered();
  const int ended = callers.Ended();
  callers.Leave();
  const int after = site.CallOrdinary("after");
  const bool runs = site.site.daemons[0].process->IsRunning();
  const long peak_kb =
      std::max(site.peak_kb, testing::StatusKb(site.Pid(), "VmHWM:"));
  std::printf(
      "%s: %ld MB before, %ld MB at most, %d descriptors at most, beside it "
      "%d, after it %d; %d answered, %d ended, %zu MB sent\n",
      crowd.name, calm_kb / 1024, peak_kb / 1024, site.peak_descriptors, beside,
      after, answered, ended, callers.SentBytes() >> 20);
  CHECK_TEXT(runs, crowd.name);
  CHECK_TEXT(peak_kb < kMemoryMb * 1024L, crowd.name);
  CHECK_TEXT(site.peak_descriptors < kMaxFds, crowd.name);
  LONGS_EQUAL_TEXT(200, beside, crowd.name);
  LONGS_EQUAL_TEXT(200, after, crowd.name);
}

}  // namespace

// Guards against callers of `serve` that the operators do not control: each
// alone is within the limits of one request, and together they take the memory
// or the descriptors of the VM. No times and no shares of served requests are
// checked.
TEST_GROUP(ServeCallers){};

TEST(ServeCallers, ThreeHundredStopOneByteShort) {
  CheckCrowd({"300 stop one byte short",
              300,
              {Declared(kMaxBody), "", kMaxBody - 1, ""}});
}

TEST(ServeCallers, ThreeHundredStopWithinLargeChunks) {
  const std::string block = testing::CrowdChunks(32UL * 1024);
  CheckCrowd({"300 stop within chunks of 32 KB",
              300,
              {Chunked(), block, kMaxBody - 1, ""}});
}

TEST(ServeCallers, ThreeHundredStopWithinChunksOf16Bytes) {
  const std::string block = testing::CrowdChunks(16);
  constexpr std::size_t kWireBytes = kMaxBody / 16 * 22;
  CheckCrowd({"300 stop within chunks of 16 bytes",
              300,
              {Chunked(), block, kWireBytes, ""}});
}

TEST(ServeCallers, ThreeHundredSendWholeBodies) {
  CheckCrowd({"300 whole bodies", 300, {Declared(kMaxBody), "", kMaxBody, ""}});
}

TEST(ServeCallers, ThreeHundredSmallBodiesStopOneByteShort) {
  constexpr std::size_t kSmall = 60'000;
  CheckCrowd({"300 small bodies stop one byte short",
              300,
              {Declared(kSmall), "", kSmall - 1, ""}});
}

TEST(ServeCallers, SixtySendFarMoreThanAllowed) {
  CheckCrowd({"60 far over the limit, declared",
              60,
              {Declared(kFarOver), "", kFarOver, ""}});
}

TEST(ServeCallers, SixtySendFarMoreThanAllowedInChunks) {
  const std::string block = testing::CrowdChunks(32UL * 1024);
  CheckCrowd({"60 far over the limit, in chunks",
              60,
              {Chunked(), block, kFarOver, ""}});
}

TEST(ServeCallers, EightHundredStopWithinTheHead) {
  std::string head = Head("Content-Length: 10");
  head.resize(head.size() / 2);
  CheckCrowd({"800 stop within the head", 800, {head, "", 0, ""}});
}

// Guards against bounds for crowds that refuse a single large request.
TEST(ServeCallers, LargestBodyIsServedInCalm) {
  CrowdSite site;
  constexpr std::size_t kRestOfBody = 1024;
  const std::string prompt(kMaxBody - kRestOfBody, 'x');
  LONGS_EQUAL(200, site.CallOrdinary(prompt));
  CHECK(site.peak_kb < kMemoryMb * 1024L);
}
