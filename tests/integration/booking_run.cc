#include "booking_run.h"

#include <csignal>
#include <future>
#include <utility>

#include "base/digest.h"
#include "http_calls.h"
#include "idempotency/record.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::testing {
namespace {

constexpr int kWorkers = 25;
constexpr std::size_t kCallersAtOnce = 16;

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

}  // namespace

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

std::vector<Answer> CallKeys(const Site& site,
                             const std::string& prefix,
                             int count) {
  std::vector<Answer> answers(static_cast<std::size_t>(count));
  std::vector<std::thread> workers;
  for (std::size_t worker = 0; worker < kCallersAtOnce; ++worker) {
    workers.emplace_back([&, worker] {
      for (std::size_t i = worker; i < answers.size(); i += kCallersAtOnce) {
        const std::string key = prefix + std::to_string(i);
        answers[i] = Ask(site.daemons[i % site.daemons.size()].entry,
                         BookingRequest(key, BodyOf(key)));
      }
    });
  }
  for (std::thread& worker : workers)
    worker.join();
  return answers;
}

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
  std::mt19937_64 worker_random(kBookingSeed + 1 +
                                static_cast<std::uint64_t>(worker));
  for (int i = worker; i < kBookingKeys; i += kWorkers) {
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
  std::printf("\nseed=%llu\n", static_cast<unsigned long long>(kBookingSeed));
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
  for (int i = worker; i < kBookingKeys; i += kWorkers) {
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
  std::printf("keys=%d effects=%ld keys_with_two_effects=%ld\n", kBookingKeys,
              total, repeated);
  for (const KeyHistory& history : this->histories)
    this->CheckKey(history);
  std::printf("calls=%d replays=%d not_run=%d\n", this->calls, this->replays,
              this->not_run);
  std::printf("unknown for ever: with effect %d, without %d\n",
              this->unknown_with_effect, this->unknown_without_effect);
  CHECK(this->faults["daemon_killed"] > 0 && this->faults["daemon_paused"] > 0);
}

}  // namespace coltsfootvane::testing
