#include <atomic>
#include <cstdio>
#include <string>
#include <thread>
#include <vector>

#include "balanced_load.h"
#include "http_calls.h"
#include "site.h"

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::Clock;
using coltsfootvane::Milliseconds;
using coltsfootvane::Result;
using coltsfootvane::TimePoint;
using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
namespace http = coltsfootvane::http;

constexpr unsigned kSeed = 20261204;
constexpr int kCallers = 22;

/// Requests that an engine has taken so far.
long CountStarted(const StandinProcess& engine) {
  const nlohmann::json stats = GetJson(engine.direct, "/control/stats");
  long sum = 0;
  if (stats.is_object()) {
    for (const auto& [id, count] : stats["started"].items())
      sum += count.get<long>();
  }
  return sum;
}

/// Returns the time in ms from now to the last request that `engine` takes
/// within `watch_ms`; -1 if it takes none.
long WatchLastStart(const StandinProcess& engine, int watch_ms) {
  const TimePoint start = Clock::now();
  const TimePoint end = In(watch_ms);
  long known = CountStarted(engine);
  long last = -1;
  while (Clock::now() < end) {
    std::this_thread::sleep_for(Milliseconds{20});
    const long count = CountStarted(engine);
    if (count > known)
      last = static_cast<long>(
          std::chrono::duration_cast<Milliseconds>(Clock::now() - start)
              .count());
    known = count;
  }
  return last;
}

struct Sign {
  const char* name;
  nlohmann::json faults;  ///< Of the engine; null for none.
  /// The platform is down from the sign on, so that neither its list nor the
  /// published placement tells.
  bool outage;
};

}  // namespace

TEST_GROUP(Leaving){
    // Streams last for seconds, so that a sign that is read at their end only
    // comes too late.
    void Run(const Sign& sign){SiteOptions options;
EngineOptions engine;
engine.token_ms = 50;
options.engines = {engine, engine, engine};
options.models = {{"diagnosis", 4000, 3}};
options.adapters = {};
Site site{options};
site.StartAll();
StandinProcess& leaving = site.engines[0];
ListVm(site.platform, leaving.id, "live");
Tally tally;
std::atomic<int> number{0};
BalancedLoad load(&site, kSeed);
load.Start(kCallers, [&](std::size_t daemon, std::mt19937& random) {
  const std::string name = "call " + std::to_string(++number) + " ";
  http::Request request =
      ChatRequest("diagnosis", name, 20 + static_cast<int>(random() % 70));
  request.headers.push_back(InteractiveKey());
  tally.Add(CallOnce(site.daemons[daemon].entry, request), name);
});
CHECK(WaitUntil(In(10000), [&] { return CountStarted(leaving) >= 5; }));
std::this_thread::sleep_for(Milliseconds{1000});

if (sign.outage)
  SetFaults(site.platform, {{"outage", true}});
if (sign.faults.is_null())
  ListVm(site.platform, leaving.id, "leaving");
else
  SetFaults(leaving.direct, sign.faults);
const long others =
    CountStarted(site.engines[1]) + CountStarted(site.engines[2]);
const long last_ms = WatchLastStart(leaving, 4500);
const long moved =
    CountStarted(site.engines[1]) + CountStarted(site.engines[2]) - others;

if (!sign.faults.is_null()) {
  SetFaults(site.platform, nlohmann::json::object());
  SetFaults(leaving.direct, {{"leaving", false}, {"fail_requests", 0}});
  ListVm(site.platform, leaving.id, "leaving");
}
ListVm(site.platform, leaving.id, "live");
const TimePoint live = Clock::now();
const long before = CountStarted(leaving);
const bool back =
    WaitUntil(In(8000), [&] { return CountStarted(leaving) >= before + 3; });
const long back_ms = static_cast<long>(
    std::chrono::duration_cast<Milliseconds>(Clock::now() - live).count());
load.Stop();
tally.Print(std::string(sign.name) + ": last new request after " +
            std::to_string(last_ms) + " ms, " + std::to_string(moved) +
            " at other copies, back after " + std::to_string(back_ms) + " ms");
CHECK(last_ms < 3000);
CHECK(moved > 5);
LONGS_EQUAL(tally.Total(), tally.Count(Answer::kComplete));
CHECK(back);
}
}
;

// Guards against new work for an engine whose answers say that it is leaving
// while the platform's list still shows it as live.
TEST(Leaving, EngineThatSaysSoOnItsAnswers) {
  this->Run({"X-Leaving on answers", {{"leaving", true}}, true});
}

// Guards against requests that are lost, or sent again and again, when an
// engine refuses them while it leaves.
TEST(Leaving, EngineThatRefuses) {
  this->Run({"refusals", {{"leaving", true}, {"fail_requests", 5}}, true});
}

// Guards against new work for an endpoint that only the list shows as leaving.
TEST(Leaving, EndpointListedAsLeaving) {
  this->Run({"platform's list", nullptr, false});
}
