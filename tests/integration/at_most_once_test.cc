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

constexpr std::uint64_t kSeed = 20261204;
constexpr int kKeys = 1000;
constexpr int kWorkers = 25;
constexpr int kRepeatPauseMs = 100;
/// Padding of answers just below and just above what a record keeps.
constexpr std::size_t kStoredBytes = std::size_t{250} * 1024;
constexpr std::size_t kUnstoredBytes = std::size_t{257} * 1024;

constexpr char kShortClasses[] = R"(classes:
  interactive:
    value: 10
    minimum_share: 0.5
    first_token_ms: 600
    token_gap_ms: 54
    completion_ms: 4000
    queue_length: 256
  lookup:
    value: 3
    minimum_share: 0.2
    first_token_ms: 2000
    token_gap_ms: 100
    completion_ms: 4000
    queue_length: 256
  overnight:
    value: 1
    minimum_share: 0.1
    first_token_ms: 60000
    token_gap_ms: 1000
    completion_ms: 120000
    queue_length: 1024
)";

SiteOptions BookingSite() {
  SiteOptions options;
  options.models = {{"diagnosis", 4000, 1}};
  options.adapters.clear();
  options.engines.resize(1);
  options.services = 3;
  options.daemons = 4;
  options.proxies = true;
  options.classes = kShortClasses;
  return options;
}

std::string BodyOf(const std::string& key) {
  return Json{{"camera", "M3"}, {"booking", key}}.dump();
}

/// Returns the state of the key's record, or what is wrong with it.
std::string RecordStateOf(const Site& site, const std::string& key) {
  const std::string name =
      coltsfootvane::RecordName("counter", "/booking/bookings", key);
  const Json object =
      GetJson(site.platform, "/apis/coltsfootvane/v1/records/" + name);
  return object.is_object() ? object["spec"].value("state", "none") : "missing";
}

/// Everything that the callers of one key were told.
struct KeyHistory {
  std::string key;
  std::vector<Answer> answers;
  bool refused_replica = false;  ///< A replica refused connections meanwhile.
  Answer last;

  bool HasCut() const {
    for (const Answer& answer : this->answers) {
      if (answer.status == 0)
        return true;
    }
    return false;
  }
};

/// Keys are called by workers while Disturb() injects faults one after another.
class BookingRun {
 public:
  explicit BookingRun(Site* site)
      : site(site), random(kSeed), histories(kKeys) {}

  void Run();
  void RepeatUntilFinal();
  void Check();

 private:
  void Work(int worker);
  /// Returns whether a key of this worker has no final answer yet.
  bool RepeatOpenKeys(int worker, std::size_t pass);
  void CallKey(KeyHistory* history, std::mt19937_64* worker_random);
  void Disturb();
  void Inject(int kind);
  /// Counts the states of the records when a daemon is stopped.
  void CountStates();
  void CountFault(const char* name) { ++this->faults[name]; }
  void SetPlatform(Json faults_of_records, int for_ms);
  void PauseDaemon();
  void KillDaemon();
  void RefuseAtReplica();
  void CheckAnswer(const KeyHistory& history, const Answer& answer);
  void CheckKey(const KeyHistory& history);
  void Settle();
  std::size_t Pick(std::size_t count) { return this->random() % count; }
  void Sleep(int ms) { std::this_thread::sleep_for(Milliseconds{ms}); }

  Site* site;
  std::mt19937_64 random;
  std::vector<KeyHistory> histories;
  std::atomic<int> working{0};
  std::atomic<int> refusing{0};  ///< Odd while a replica refuses connections.
  std::map<std::string, int> faults;
  std::map<std::string, int> states_at_stop;
  Json effects;
  Json requests;
  int not_run = 0;
  int calls = 0;
  int replays = 0;
  int unknown_with_effect = 0;
  int unknown_without_effect = 0;
};

void BookingRun::CallKey(KeyHistory* history, std::mt19937_64* worker_random) {
  const int refusing_before = this->refusing.load();
  const http::Request request =
      BookingRequest(history->key, BodyOf(history->key));
  for (int round = 0; round < 2; ++round) {
    std::vector<std::future<Answer>> at_once;
    const std::size_t count = 1 + (*worker_random)() % 3;
    for (std::size_t i = 0; i < count; ++i) {
      const std::size_t daemon =
          (*worker_random)() % this->site->daemons.size();
      at_once.push_back(std::async(std::launch::async, [=] {
        return Ask(this->site->daemons[daemon].entry, request);
      }));
    }
    for (std::future<Answer>& answer : at_once)
      history->answers.push_back(answer.get());
    std::this_thread::sleep_for(Milliseconds{50 + (*worker_random)() % 200});
  }
  history->refused_replica =
      refusing_before % 2 == 1 || refusing_before != this->refusing.load();
}

void BookingRun::Work(int worker) {
  std::mt19937_64 worker_random(kSeed + 1 + static_cast<std::uint64_t>(worker));
  for (int i = worker; i < kKeys; i += kWorkers) {
    KeyHistory& history = this->histories[static_cast<std::size_t>(i)];
    history.key = "booking-" + std::to_string(i);
    this->CallKey(&history, &worker_random);
  }
  --this->working;
}

void BookingRun::SetPlatform(Json faults_of_records, int for_ms) {
  faults_of_records["match_kind"] = "records";
  SetFaults(this->site->platform, faults_of_records);
  this->Sleep(for_ms);
  SetFaults(this->site->platform, Json::object());
}

void BookingRun::CountStates() {
  const Json list =
      GetJson(this->site->platform, "/apis/coltsfootvane/v1/records");
  if (!list.is_object())
    return;
  for (const Json& item : list["items"])
    ++this->states_at_stop[item["spec"].value("state", "none")];
}

void BookingRun::PauseDaemon() {
  // The delay spreads the calls over their steps when the pause begins.
  const int delay_ms = 20 + static_cast<int>(this->Pick(180));
  SetFaults(this->site->platform,
            {{"delay_ms", delay_ms}, {"match_kind", "records"}});
  this->Sleep(200);
  Process& process =
      *this->site->daemons[this->Pick(this->site->daemons.size())].process;
  process.Signal(SIGSTOP);
  this->CountStates();
  SetFaults(this->site->platform, Json::object());
  this->Sleep(300 + static_cast<int>(this->Pick(700)));
  process.Signal(SIGCONT);
}

void BookingRun::KillDaemon() {
  const int delay_ms = 20 + static_cast<int>(this->Pick(180));
  SetFaults(this->site->platform,
            {{"delay_ms", delay_ms}, {"match_kind", "records"}});
  this->Sleep(200);
  const std::size_t index = this->Pick(this->site->daemons.size());
  this->site->daemons[index].process->Kill();
  this->CountStates();
  SetFaults(this->site->platform, Json::object());
  this->Sleep(200);
  this->site->StartDaemon(index);
}

void BookingRun::RefuseAtReplica() {
  const StandinProcess& service =
      this->site->services[this->Pick(this->site->services.size())];
  ++this->refusing;
  SetFaults(service.proxy_control, {{"refuse", true}});
  this->Sleep(300);
  SetFaults(service.proxy_control, Json::object());
  ++this->refusing;
}

void BookingRun::Inject(int kind) {
  const StandinProcess& service =
      this->site->services[this->Pick(this->site->services.size())];
  switch (kind) {
    case 0:
      this->CountFault("platform_delay");
      this->SetPlatform({{"delay_ms", 20 + this->Pick(200)}}, 400);
      break;
    case 1:
      this->CountFault("platform_response_lost_window");
      this->SetPlatform({{"lose_response_after_write", 12}}, 300);
      break;
    case 2:
      this->CountFault("platform_late_effect_window");
      this->SetPlatform(
          {{"delay_write_effect_ms", 100 + this->Pick(1500)}, {"count", 12}},
          300);
      break;
    case 3:
      this->CountFault("platform_outage");
      this->SetPlatform({{"outage", true}}, 300);
      break;
    case 4:
      this->CountFault("service_response_lost_window");
      SetFaults(service.direct, {{"lose_response", 4}});
      this->Sleep(200);
      break;
    case 5:
      this->CountFault("proxy_response_lost_window");
      SetFaults(service.proxy_control, {{"drop_response", 4}});
      this->Sleep(200);
      break;
    case 6:
      this->CountFault("replica_refuses");
      this->RefuseAtReplica();
      break;
    case 7:
      this->CountFault("daemon_paused");
      this->PauseDaemon();
      break;
    case 8:
      this->CountFault("daemon_killed");
      this->KillDaemon();
      break;
    default:
      this->CountFault("service_delay");
      SetFaults(service.direct, {{"delay_ms", 300}});
      this->Sleep(300);
      SetFaults(service.direct, {{"delay_ms", 0}});
  }
}

void BookingRun::Disturb() {
  // Each kind occurs once in ten faults, in an order drawn from the seed.
  std::vector<int> order = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9};
  while (this->working.load() > 0) {
    std::shuffle(order.begin(), order.end(), this->random);
    for (const int kind : order) {
      if (this->working.load() == 0)
        break;
      this->Inject(kind);
      this->Sleep(50);
    }
  }
}

void BookingRun::Run() {
  std::printf("\nseed=%llu\n", static_cast<unsigned long long>(kSeed));
  this->working = kWorkers;
  std::vector<std::thread> workers;
  workers.reserve(kWorkers);
  for (int i = 0; i < kWorkers; ++i)
    workers.emplace_back([this, i] { this->Work(i); });
  this->Disturb();
  for (std::thread& worker : workers)
    worker.join();
  this->Settle();
}

void BookingRun::Settle() {
  SetFaults(this->site->platform, Json::object());
  for (const StandinProcess& service : this->site->services) {
    SetFaults(service.direct, {{"lose_response", 0}, {"delay_ms", 0}});
    SetFaults(service.proxy_control, Json::object());
  }
  for (std::size_t i = 0; i < this->site->daemons.size(); ++i)
    CHECK_TEXT(this->site->WaitReady(i), this->site->daemons[i].id.c_str());
}

void BookingRun::RepeatUntilFinal() {
  // Longer than the longest backoff of the background writes.
  const TimePoint deadline = In(9000);
  std::vector<std::thread> workers;
  workers.reserve(kWorkers);
  for (int worker = 0; worker < kWorkers; ++worker) {
    workers.emplace_back([this, worker, deadline] {
      for (std::size_t pass = 0; Clock::now() < deadline; ++pass) {
        if (!this->RepeatOpenKeys(worker, pass))
          return;
      }
    });
  }
  for (std::thread& worker : workers)
    worker.join();
}

bool BookingRun::RepeatOpenKeys(int worker, std::size_t pass) {
  bool any_open = false;
  for (int i = worker; i < kKeys; i += kWorkers) {
    KeyHistory& history = this->histories[static_cast<std::size_t>(i)];
    if (history.last.IsFinal())
      continue;
    const std::size_t daemon =
        (static_cast<std::size_t>(worker) + pass) % this->site->daemons.size();
    history.last = Ask(this->site->daemons[daemon].entry,
                       BookingRequest(history.key, BodyOf(history.key)));
    history.answers.push_back(history.last);
    any_open = any_open || !history.last.IsFinal();
    // Stays below the rate of writes that the platform accepts.
    this->Sleep(kRepeatPauseMs);
  }
  return any_open;
}

void BookingRun::CheckAnswer(const KeyHistory& history, const Answer& answer) {
  ++this->calls;
  const std::string context = history.key + " " + answer.body;
  if (answer.replayed)
    ++this->replays;
  if (answer.status == 200) {
    const Json body = Json::parse(answer.body, nullptr, false);
    CHECK_TEXT(body.is_object(), context.c_str());
    STRCMP_EQUAL(history.key.c_str(), body.value("key", "").c_str());
    STRCMP_EQUAL(DigestHex(BodyOf(history.key)).c_str(),
                 body.value("echo", "").c_str());
    LONGS_EQUAL_TEXT(1, this->effects.value(history.key, 0L), context.c_str());
    return;
  }
  if (answer.status == 0)
    return;
  CHECK_TEXT(answer.run == "no" || answer.run == "unknown", context.c_str());
  CHECK_TEXT(answer.retry_after_ms > 0, context.c_str());
  if (!answer.IsNotRun())
    return;
  ++this->not_run;
  LONGS_EQUAL_TEXT(0, CountOf(this->requests, answer.request_id),
                   context.c_str());
}

void BookingRun::CheckKey(const KeyHistory& history) {
  const long count = this->effects.value(history.key, 0L);
  CHECK_TEXT(
      count <= 1,
      (history.key + " had " + std::to_string(count) + " effects").c_str());
  for (const Answer& answer : history.answers)
    this->CheckAnswer(history, answer);
  if (history.last.IsFinal())
    return;
  const std::string context = history.key + " stays " + history.last.body;
  STRCMP_EQUAL_TEXT("unknown", history.last.run.c_str(), context.c_str());
  STRCMP_EQUAL_TEXT("sending", RecordStateOf(*this->site, history.key).c_str(),
                    context.c_str());
  ++(count > 0 ? this->unknown_with_effect : this->unknown_without_effect);
  // Without an effect, only an attempt that died, or that wrote to a replica
  // that closed the connection, may leave the record so.
  CHECK_TEXT(count > 0 || history.HasCut() || history.refused_replica,
             context.c_str());
}

void BookingRun::Check() {
  this->effects = this->site->ServiceEffects();
  this->requests = Site::SumCounts(this->site->services, "requests");
  long total = 0;
  long repeated = 0;
  for (const auto& [key, count] : this->effects.items()) {
    total += count.get<long>();
    repeated += count.get<long>() > 1 ? 1 : 0;
  }
  for (const auto& [name, count] : this->faults)
    std::printf("fault %s=%d\n", name.c_str(), count);
  for (const char* state : {"reserved", "sending"}) {
    std::printf("records %s when a daemon was stopped=%d\n", state,
                this->states_at_stop[state]);
    CHECK_TEXT(this->states_at_stop[state] > 0, state);
  }
  std::printf("keys=%d effects=%ld keys_with_two_effects=%ld\n", kKeys, total,
              repeated);
  for (const KeyHistory& history : this->histories)
    this->CheckKey(history);
  std::printf("calls=%d replays=%d not_run=%d\n", this->calls, this->replays,
              this->not_run);
  std::printf("unknown for ever: with effect %d, without %d\n",
              this->unknown_with_effect, this->unknown_without_effect);
  CHECK(this->faults["daemon_killed"] > 0 && this->faults["daemon_paused"] > 0);
}

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
    const char* body;
    std::size_t pad_bytes;
    int status;
    const char* run;
    bool replayed;
    long effects;  ///< Of the key, afterwards.
  };
  const Row rows[] = {
      {"no key", "", "{}", 0, 400, "no", false, 0},
      {"first", "a", R"({"n":1})", 0, 200, "", false, 1},
      {"repeat", "a", R"({"n":1})", 0, 200, "", true, 1},
      {"other body", "a", R"({"n":2})", 0, 422, "no", false, 1},
      {"largest stored", "b", "{}", kStoredBytes, 200, "", false, 1},
      {"its repeat", "b", "{}", 0, 200, "", true, 1},
      {"too large to store", "c", "{}", kUnstoredBytes, 200, "", false, 1},
      {"its repeat", "c", "{}", 0, 409, "yes", true, 1},
  };
  std::map<std::string, std::string> first_bodies;
  std::size_t daemon = 0;
  for (const Row& row : rows) {
    for (const StandinProcess& service : site.services)
      SetFaults(service.direct, {{"pad_bytes", row.pad_bytes}});
    http::Request request = BookingRequest(row.key, row.body);
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
