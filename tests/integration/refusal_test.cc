#include <algorithm>
#include <csignal>
#include <future>
#include <map>
#include <thread>
#include <vector>

#include "booking_calls.h"
#include "http_calls.h"
#include "site.h"

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::Clock;
using coltsfootvane::Milliseconds;
using coltsfootvane::TimePoint;
using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
namespace http = coltsfootvane::http;
using Json = nlohmann::json;

std::string Classes(int completion_ms, int queue_length) {
  std::string text = "classes:\n";
  for (const char* name : {"interactive", "lookup", "overnight"}) {
    text += std::string("  ") + name +
            ":\n    value: 1\n    minimum_share: 0.2\n    first_token_ms: 600\n"
            "    token_gap_ms: 54\n    completion_ms: " +
            std::to_string(completion_ms) +
            "\n    queue_length: " + std::to_string(queue_length) + "\n";
  }
  return text;
}

SiteOptions SmallSite(int completion_ms, int queue_length, int slots) {
  SiteOptions options;
  options.models = {{"diagnosis", 4000, 2}};
  options.adapters.clear();
  options.engines.resize(2);
  for (EngineOptions& engine : options.engines) {
    engine.slots = slots;
    engine.token_ms = 20;
  }
  options.daemons = 2;
  options.classes = Classes(completion_ms, queue_length);
  return options;
}

http::Request Completion(const std::string& prompt, int tokens) {
  http::Request request = ChatRequest("diagnosis", prompt, tokens, false);
  request.headers.push_back(InteractiveKey());
  return request;
}

/// Sends `count` requests, one each `interval_ms`, to the daemons in turn.
std::vector<Answer> SendMany(const Site& site,
                             int count,
                             int interval_ms,
                             const http::Request& request) {
  std::vector<std::future<Answer>> pending;
  pending.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    const http::Address to =
        site.daemons[static_cast<std::size_t>(i) % site.daemons.size()].entry;
    pending.push_back(
        std::async(std::launch::async, [=] { return Ask(to, request); }));
    std::this_thread::sleep_for(Milliseconds{interval_ms});
  }
  std::vector<Answer> answers;
  answers.reserve(pending.size());
  for (std::future<Answer>& one : pending)
    answers.push_back(one.get());
  return answers;
}

struct Tally {
  int complete = 0;
  int not_run = 0;
  int unknown = 0;
  long false_not_run = 0;   ///< Ran although refused as not run.
  Milliseconds slowest{0};  ///< Refusal as not run.
  std::map<std::string, int> types;
};

/// Checks the form of each refusal and compares it with what the stand-ins
/// counted per request id.
Tally CheckRefusals(const std::vector<Answer>& answers, const Json& counts) {
  Tally tally;
  for (const Answer& answer : answers) {
    if (answer.status == 200) {
      ++tally.complete;
      continue;
    }
    const std::string context =
        std::to_string(answer.status) + " " + answer.body;
    CHECK_TEXT(answer.run == "no" || answer.run == "unknown", context.c_str());
    CHECK_TEXT(answer.retry_after_ms > 0, context.c_str());
    CHECK_TEXT(!answer.request_id.empty(), context.c_str());
    ++tally.types[answer.type];
    if (!answer.IsNotRun()) {
      ++tally.unknown;
      continue;
    }
    ++tally.not_run;
    tally.false_not_run += CountOf(counts, answer.request_id) > 0 ? 1 : 0;
    tally.slowest = std::max(tally.slowest, answer.time);
  }
  return tally;
}

void Print(const char* name, const Tally& tally) {
  std::printf(
      "\n%s: complete=%d not_run=%d unknown=%d false_not_run=%ld "
      "slowest=%ld ms;",
      name, tally.complete, tally.not_run, tally.unknown, tally.false_not_run,
      static_cast<long>(tally.slowest.count()));
  for (const auto& [type, count] : tally.types)
    std::printf(" %s=%d", type.c_str(), count);
}

/// Checks that refusals are true, that some are of `type`, and that each came
/// within a tenth of the completion time.
void CheckRefusedAtOnce(const Site& site,
                        const std::vector<Answer>& answers,
                        const char* label,
                        const char* type,
                        int completion_ms) {
  const Tally tally =
      CheckRefusals(answers, Site::SumCounts(site.engines, "started"));
  Print(label, tally);
  LONGS_EQUAL(0, tally.false_not_run);
  CHECK(tally.types.count(type) > 0);
  CHECK_TEXT(tally.slowest < Milliseconds{completion_ms / 10},
             "a refusal came late");
}

}  // namespace

TEST_GROUP(Refusals){};

// Guards against requests that wait for their deadline although the fleet
// cannot serve them, and against "not run" for a request that an engine began.
TEST(Refusals, OverloadIsRefusedEarlyAndTruthfully) {
  constexpr int kCompletionMs = 3000;
  SiteOptions options = SmallSite(kCompletionMs, 256, 2);
  options.daemons = 3;
  Site site{options};
  site.StartAll();
  // 400 requests of about 0.3 s in 4 s; the limits allow at most about half.
  const std::vector<Answer> answers =
      SendMany(site, 400, 10, Completion("overload", 15));
  const Tally tally =
      CheckRefusals(answers, Site::SumCounts(site.engines, "started"));
  Print("overload", tally);
  LONGS_EQUAL(0, tally.false_not_run);
  CHECK(tally.not_run >= 50);
  CHECK(tally.complete >= 30);
  CHECK_TEXT(tally.slowest < Milliseconds{kCompletionMs / 2},
             "a refusal came late");
}

// Guards against a wait for slots of endpoints that have stopped to answer.
TEST(Refusals, StalledEnginesAreRefusedEarly) {
  constexpr int kCompletionMs = 6000;
  Site site{SmallSite(kCompletionMs, 256, 2)};
  site.StartAll();
  CheckRefusals(SendMany(site, 30, 10, Completion("before", 5)),
                Json::object());
  for (StandinProcess& engine : site.engines)
    engine.process->Signal(SIGSTOP);
  const std::vector<Answer> answers =
      SendMany(site, 60, 10, Completion("stalled", 15));
  for (StandinProcess& engine : site.engines)
    engine.process->Signal(SIGCONT);
  const Tally tally =
      CheckRefusals(answers, Site::SumCounts(site.engines, "started"));
  Print("stalled", tally);
  LONGS_EQUAL(0, tally.false_not_run);
  CHECK(tally.not_run > 0);
  CHECK_TEXT(tally.slowest < Milliseconds{kCompletionMs / 2},
             "a refusal came late");
}

// Guards against an unbounded queue.
TEST(Refusals, FullQueueIsRefusedAtOnce) {
  constexpr int kCompletionMs = 20000;
  Site site{SmallSite(kCompletionMs, 4, 1)};
  site.StartAll();
  const std::vector<Answer> answers =
      SendMany(site, 60, 1, Completion("queue", 40));
  CheckRefusedAtOnce(site, answers, "queue", "queue_full", kCompletionMs);
}

// Guards against callers that wait for a thread of a full entry listener.
TEST(Refusals, FullEntryIsRefusedAtOnce) {
  constexpr int kCompletionMs = 20000;
  SiteOptions options = SmallSite(kCompletionMs, 256, 4);
  options.entry_threads = 32;
  options.daemons = 1;
  Site site{options};
  site.StartAll();
  const std::vector<Answer> answers =
      SendMany(site, 120, 1, Completion("entry", 100));
  CheckRefusedAtOnce(site, answers, "entry", "entry_full", kCompletionMs);
}

// Guards against requests that wait for engines which refuse connections.
TEST(Refusals, RefusedConnectionsAreRefusedEarly) {
  constexpr int kCompletionMs = 20000;
  SiteOptions options = SmallSite(kCompletionMs, 256, 4);
  options.proxies = true;
  Site site{options};
  site.StartAll();
  for (const StandinProcess& engine : site.engines)
    SetFaults(engine.proxy_control, {{"refuse", true}});
  const std::vector<Answer> answers =
      SendMany(site, 30, 20, Completion("refused", 5));
  const Tally tally =
      CheckRefusals(answers, Site::SumCounts(site.engines, "started"));
  Print("connection refused", tally);
  LONGS_EQUAL(30, tally.not_run);
  LONGS_EQUAL(0, tally.false_not_run);
  CHECK_TEXT(tally.slowest < Milliseconds{kCompletionMs / 4},
             "a refusal came late");
}

// Guards against requests that wait for a copy which no engine has.
TEST(Refusals, NoCopyIsRefusedAtOnce) {
  constexpr int kCompletionMs = 20000;
  Site site{SmallSite(kCompletionMs, 256, 4)};
  site.StartAll();
  for (const StandinProcess& engine : site.engines)
    SetFaults(engine.direct, {{"leaving", true}});
  const std::vector<Answer> answers =
      SendMany(site, 30, 20, Completion("leaving", 5));
  const Tally tally =
      CheckRefusals(answers, Site::SumCounts(site.engines, "started"));
  Print("leaving", tally);
  CHECK(tally.types.count("no_copy") > 0);
  LONGS_EQUAL(0, tally.false_not_run);
  CHECK_TEXT(tally.slowest < Milliseconds{kCompletionMs / 10},
             "a refusal came late");
}

// Guards against "not run" once a byte has reached an engine.
TEST(Refusals, LostResponsesAreUnknown) {
  SiteOptions options = SmallSite(4000, 256, 4);
  options.proxies = true;
  Site site{options};
  site.StartAll();
  for (const StandinProcess& engine : site.engines)
    SetFaults(engine.proxy_control, {{"drop_response", 1000}});
  const std::vector<Answer> answers =
      SendMany(site, 12, 20, Completion("lost", 5));
  const Tally tally =
      CheckRefusals(answers, Site::SumCounts(site.engines, "started"));
  Print("response lost", tally);
  LONGS_EQUAL(0, tally.false_not_run);
  CHECK(tally.unknown > 0);
}

// Guards against requests that wait through several ejections of all engines
// and are refused near their deadlines.
TEST(Refusals, EjectedEnginesAreRefusedEarly) {
  constexpr int kCompletionMs = 20000;
  SiteOptions options = SmallSite(kCompletionMs, 256, 4);
  options.proxies = true;
  Site site{options};
  site.StartAll();
  for (const StandinProcess& engine : site.engines)
    SetFaults(engine.proxy_control, {{"drop_response", 1000}});
  const std::vector<Answer> answers =
      SendMany(site, 12, 20, Completion("ejected", 5));
  const Tally tally =
      CheckRefusals(answers, Site::SumCounts(site.engines, "started"));
  Print("ejected", tally);
  LONGS_EQUAL(0, tally.false_not_run);
  CHECK_TEXT(tally.slowest < Milliseconds{kCompletionMs / 2},
             "a refusal came late");
}

// Guards against calls with a key that wait for a platform which is down.
TEST(Refusals, PlatformDownForAKey) {
  constexpr int kCompletionMs = 10000;
  Site site{SmallSite(kCompletionMs, 256, 4)};
  site.StartAll();
  const auto check = [&](const char* name) {
    const std::vector<Answer> answers =
        SendMany(site, 20, 10, BookingRequest(name, "{}"));
    const Tally tally =
        CheckRefusals(answers, Site::SumCounts(site.services, "requests"));
    Print(name, tally);
    LONGS_EQUAL_TEXT(20, tally.not_run, name);
    LONGS_EQUAL_TEXT(0, tally.false_not_run, name);
    CHECK_TEXT(tally.slowest < Milliseconds{kCompletionMs / 2}, name);
  };
  SetFaults(site.platform, {{"outage", true}});
  check("outage");
  SetFaults(site.platform, Json::object());
  site.platform_process->Signal(SIGSTOP);
  // The signal reaches the threads one after another.
  std::this_thread::sleep_for(Milliseconds{100});
  check("paused");
  site.platform_process->Signal(SIGCONT);
  site.platform_process->Kill();
  check("killed");
  CHECK(site.ServiceEffects().empty());
}
