#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <csignal>
#include <future>
#include <map>
#include <random>
#include <thread>
#include <vector>

#include "base/digest.h"
#include "booking_calls.h"
#include "booking_run.h"
#include "http_calls.h"
#include "idempotency/record.h"
#include "site.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::Clock;
using coltsfootvane::DigestHex;
using coltsfootvane::Milliseconds;
using coltsfootvane::Result;
using coltsfootvane::TimePoint;
using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
namespace http = coltsfootvane::http;
using Json = nlohmann::json;

/// Padding of answers just below and just above what a record keeps.
constexpr std::size_t kStoredBytes = std::size_t{250} * 1024;
constexpr std::size_t kUnstoredBytes = std::size_t{257} * 1024;

/// Counts requests; closes each connection after reading, in turn by FIN and
/// by RST, without an answer.
class ClosingPeer {
 public:
  ClosingPeer() {
    this->address.host = OwnLoopbackHost();
    this->listener = ListenOnFreePort(this->address.host, &this->address.port);
    this->thread = std::thread([this] { this->Serve(); });
  }
  ~ClosingPeer() {
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
  }
  ClosingPeer(const ClosingPeer&) = delete;
  ClosingPeer& operator=(const ClosingPeer&) = delete;

  http::Address address;
  std::atomic<int> requests{0};

 private:
  void Serve() {
    for (;;) {
      const int fd = ::accept(this->listener, nullptr, nullptr);
      if (fd < 0)
        return;
      char buffer[4096];
      if (::recv(fd, buffer, sizeof(buffer), 0) > 0)
        ++this->requests;
      const linger reset{this->requests % 2, 0};
      ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
      ::close(fd);
    }
  }

  int listener = -1;
  std::thread thread;
};

}  // namespace

TEST_GROUP(AtMostOnce){};

// Guards against a second effect of a key under faults of every process, a
// false "not run", and a key that can never be run.
TEST(AtMostOnce, NoKeyHasTwoEffectsUnderFaults) {
  Site site{BookingSite()};
  site.StartAll();
  BookingRun run(&site);
  run.Run();
  run.RepeatUntilFinal();
  run.Check();
}

// Guards against a daemon that sends on a reservation which another daemon
// took over while it was paused between its two record steps.
TEST(AtMostOnce, PausedDaemonDoesNotSendAfterATakeover) {
  constexpr int kCalls = 40;
  Site site{BookingSite()};
  site.StartAll();
  SetFaults(site.platform, {{"delay_ms", 400}, {"match_kind", "records"}});
  std::vector<std::future<Answer>> paused;
  for (int i = 0; i < kCalls; ++i) {
    const std::string key = "paused-" + std::to_string(i);
    paused.push_back(std::async(std::launch::async, [&site, key] {
      return Ask(site.daemons[0].entry, BookingRequest(key, BodyOf(key)));
    }));
  }
  std::this_thread::sleep_for(Milliseconds{250});
  site.daemons[0].process->Signal(SIGSTOP);
  SetFaults(site.platform, Json::object());
  std::this_thread::sleep_for(Milliseconds{400});
  int reserved = 0;
  for (int i = 0; i < kCalls; ++i) {
    const std::string key = "paused-" + std::to_string(i);
    reserved += RecordStateOf(site, key) == "reserved" ? 1 : 0;
    const Answer answer =
        Ask(site.daemons[1].entry, BookingRequest(key, BodyOf(key)));
    LONGS_EQUAL_TEXT(200, answer.status, answer.body.c_str());
  }
  site.daemons[0].process->Signal(SIGCONT);
  int replayed = 0;
  for (std::future<Answer>& answer : paused)
    replayed += answer.get().replayed ? 1 : 0;
  const Json effects = site.ServiceEffects();
  long total = 0;
  for (const auto& [key, count] : effects.items())
    total += count.get<long>();
  std::printf("\ntaken over=%d replayed to the paused=%d effects=%ld of %d\n",
              reserved, replayed, total, kCalls);
  LONGS_EQUAL(kCalls, total);
  LONGS_EQUAL(kCalls, effects.size());
  CHECK(reserved > 0);
}

// Guards against a write of the second step that takes effect after its sender
// gave up: the key must neither stay unknown nor run twice.
TEST(AtMostOnce, LateSecondStepIsFencedOff) {
  constexpr int kCalls = 30;
  Site site{BookingSite()};
  site.StartAll();
  SetFaults(site.platform, {{"delay_ms", 300}, {"match_kind", "records"}});
  std::vector<std::future<Answer>> calls;
  for (int i = 0; i < kCalls; ++i) {
    const std::string key = "late-" + std::to_string(i);
    calls.push_back(std::async(std::launch::async, [&site, key] {
      return Ask(site.daemons[0].entry, BookingRequest(key, BodyOf(key)));
    }));
  }
  std::this_thread::sleep_for(Milliseconds{450});
  SetFaults(site.platform, {{"delay_write_effect_ms", 1500},
                            {"count", 10000},
                            {"match_kind", "records"}});
  std::this_thread::sleep_for(Milliseconds{1000});
  SetFaults(site.platform, Json::object());
  int not_run = 0;
  for (std::future<Answer>& call : calls)
    not_run += call.get().IsNotRun() ? 1 : 0;
  std::this_thread::sleep_for(Milliseconds{1500});
  for (int i = 0; i < kCalls; ++i) {
    const std::string key = "late-" + std::to_string(i);
    Answer answer;
    const bool settled = WaitUntil(In(5000), [&] {
      answer = Ask(site.daemons[2].entry, BookingRequest(key, BodyOf(key)));
      return answer.status == 200;
    });
    CHECK_TEXT(settled, (key + answer.body).c_str());
  }
  const Json effects = site.ServiceEffects();
  std::printf("\nnot run at first=%d of %d\n", not_run, kCalls);
  LONGS_EQUAL(kCalls, effects.size());
  for (const auto& [key, count] : effects.items())
    LONGS_EQUAL_TEXT(1, count.get<long>(), key.c_str());
  CHECK(not_run > 0);
}

// Guards against answers to calls with a key that hide what was run.
TEST(AtMostOnce, AnswersPerKey) {
  Site site{BookingSite()};
  site.StartAll();
  struct Row {
    const char* name;
    const char* key;
    const char* query;
    const char* body;
    std::size_t pad_bytes;
    int status;
    const char* run;
    bool replayed;
    long effects;  ///< Of the key, afterwards.
  };
  const Row rows[] = {
      {"no key", "", "", "{}", 0, 400, "no", false, 0},
      {"first", "a", "", R"({"n":1})", 0, 200, "", false, 1},
      {"repeat", "a", "", R"({"n":1})", 0, 200, "", true, 1},
      {"other body", "a", "", R"({"n":2})", 0, 422, "no", false, 1},
      {"other query", "a", "n=2", R"({"n":1})", 0, 422, "no", false, 1},
      {"first with a query", "q", "n=1", "{}", 0, 200, "", false, 1},
      {"repeat with a query", "q", "n=1", "{}", 0, 200, "", true, 1},
      {"repeat without its query", "q", "", "{}", 0, 422, "no", false, 1},
      {"largest stored", "b", "", "{}", kStoredBytes, 200, "", false, 1},
      {"its repeat", "b", "", "{}", 0, 200, "", true, 1},
      {"too large to store", "c", "", "{}", kUnstoredBytes, 200, "", false, 1},
      {"its repeat", "c", "", "{}", 0, 409, "yes", true, 1},
  };
  std::map<std::string, std::string> first_bodies;
  std::size_t daemon = 0;
  for (const Row& row : rows) {
    for (const StandinProcess& service : site.services)
      SetFaults(service.direct, {{"pad_bytes", row.pad_bytes}});
    http::Request request = BookingRequest(row.key, row.body);
    request.query = row.query;
    if (*row.key == '\0')
      request.headers.pop_back();
    const Answer answer =
        Ask(site.daemons[daemon++ % site.daemons.size()].entry, request);
    LONGS_EQUAL_TEXT(row.status, answer.status, row.name);
    STRCMP_EQUAL_TEXT(row.run, answer.run.c_str(), row.name);
    CHECK_EQUAL_TEXT(row.replayed, answer.replayed, row.name);
    LONGS_EQUAL_TEXT(row.effects, site.ServiceEffects().value(row.key, 0L),
                     row.name);
    if (answer.status == 200 && !row.replayed)
      first_bodies[row.key] = answer.body;
    if (answer.status == 200)
      STRCMP_EQUAL_TEXT(first_bodies[row.key].c_str(), answer.body.c_str(),
                        row.name);
  }
}

// Guards against an http client that sends a request again, on its own, after
// the peer has read it and closed the connection.
TEST(AtMostOnce, ClientSendsOnceToAPeerThatCloses) {
  constexpr int kCalls = 200;
  ClosingPeer peer;
  for (int i = 0; i < kCalls; ++i) {
    const Result<http::Response> response =
        http::Call({peer.address, In(2000), In(2000)},
                   BookingRequest("k" + std::to_string(i), "{}"));
    CHECK(!response.has_value());
    CHECK(response.assume_error().code == coltsfootvane::ErrorCode::kUnknown);
  }
  LONGS_EQUAL(kCalls, peer.requests);
}
