#include <algorithm>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "http_calls.h"
#include "placement_probe.h"
#include "site.h"

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::AuditEntry;
using coltsfootvane::Clock;
using coltsfootvane::Milliseconds;
using coltsfootvane::Result;
using coltsfootvane::TimePoint;
using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
namespace http = coltsfootvane::http;

constexpr Milliseconds kCallPause{20};
constexpr Milliseconds kPollPause{10};
constexpr int kFloodCallers = 60;

SiteOptions MakeOptions() {
  SiteOptions options;
  options.models = {
      {"diagnosis", 4000, 1}, {"spares", 3000, 1}, {"recipes", 2500, 1}};
  options.adapters = {{"shutters", "diagnosis"}};
  EngineOptions engine;
  engine.memory_mb = 9000;
  engine.load_ms = 500;
  options.engines = {engine, engine, engine};
  options.services = 1;
  return options;
}

/// Calls each model and adapter of a site in a loop from its own thread.
class Callers {
 public:
  explicit Callers(Site* site) {
    for (const ModelOptions& model : site->options.models)
      this->Start(site, model.name);
    for (const AdapterOptions& adapter : site->options.adapters)
      this->Start(site, adapter.name);
  }
  ~Callers() { this->Stop(); }

  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  void Stop() {
    this->stopping = true;
    for (std::thread& thread : this->threads)
      thread.join();
    this->threads.clear();
  }

  /// Returns the first refusals, one a line; call after Stop().
  std::string Refusals() const { return this->refusals; }

  int calls = 0;
  int refused = 0;
  /// The longest time between two answers with success.
  std::map<std::string, Milliseconds> longest_gap;

 private:
  void Start(Site* site, const std::string& name) {
    this->longest_gap[name] = Milliseconds{0};
    this->threads.emplace_back([this, site, name] { this->Loop(site, name); });
  }

  void Loop(Site* site, const std::string& name) {
    TimePoint answered = Clock::now();
    for (std::size_t n = 0; !this->stopping; ++n) {
      const DaemonProcess& daemon = site->daemons[n % site->daemons.size()];
      http::Request request = ChatRequest(name, "loop", 2, false);
      request.headers.push_back(InteractiveKey());
      const Result<http::Response> response = Send(daemon.entry, request);
      const bool success = response && response.assume_value().status == 200;
      std::lock_guard<std::mutex> lock(this->mutex);
      ++this->calls;
      if (!success)
        this->NoteRefusal(name, response);
      const TimePoint now = Clock::now();
      this->longest_gap[name] =
          std::max(this->longest_gap[name],
                   std::chrono::duration_cast<Milliseconds>(now - answered));
      if (success)
        answered = now;
      std::this_thread::sleep_for(kCallPause);
    }
  }

  void NoteRefusal(const std::string& name,
                   const Result<http::Response>& response) {
    if (++this->refused > 5)
      return;
    this->refusals +=
        name + ": " +
        (response ? std::to_string(response.assume_value().status) + " " +
                        response.assume_value().body
                  : response.assume_error().message) +
        "\n";
  }

  std::mutex mutex;
  std::string refusals;
  std::atomic<bool> stopping{false};
  std::vector<std::thread> threads;
};

/// Polls the index pages of all engines and notes which items were seen
/// without a ready copy of any version.
class CopyWatch {
 public:
  explicit CopyWatch(const Site* site) : site(site) {
    for (const ModelOptions& model : site->options.models)
      this->names.push_back(model.name);
    for (const AdapterOptions& adapter : site->options.adapters)
      this->names.push_back(adapter.name);
    this->thread = std::thread([this] { this->Loop(); });
  }
  ~CopyWatch() { this->Stop(); }

  CopyWatch(const CopyWatch&) = delete;
  CopyWatch& operator=(const CopyWatch&) = delete;

  void Stop() {
    this->stopping = true;
    if (this->thread.joinable())
      this->thread.join();
  }

  int polls = 0;
  int missing = 0;
  std::string first_missing;

 private:
  void Loop() {
    while (!this->stopping) {
      for (const std::string& name : this->names)
        this->Check(name);
      ++this->polls;
      std::this_thread::sleep_for(kPollPause);
    }
  }

  /// Pages of different engines are read one after the other, so a copy that
  /// moved meanwhile is looked for again.
  void Check(const std::string& name) {
    if (CountReady(*this->site, name, "") > 0 ||
        CountReady(*this->site, name, "") > 0)
      return;
    ++this->missing;
    if (this->first_missing.empty())
      this->first_missing = name;
  }

  const Site* site;
  std::vector<std::string> names;
  std::atomic<bool> stopping{false};
  std::thread thread;
};

void PrintCallers(const char* name, const Callers& callers) {
  Milliseconds longest{0};
  for (const auto& [item, gap] : callers.longest_gap)
    longest = std::max(longest, gap);
  std::printf(
      "%s: calls %d, refused %d, longest time without an answer %ld ms\n", name,
      callers.calls, callers.refused, static_cast<long>(longest.count()));
}

void CheckNoRefusal(const char* name, Callers* callers) {
  callers->Stop();
  PrintCallers(name, *callers);
  CHECK(callers->calls > 0);
  CHECK_TEXT(callers->refused == 0, callers->Refusals().c_str());
}

void CheckNoneMissing(CopyWatch* watch) {
  watch->Stop();
  std::printf("  index polls %d, items without a ready copy %d\n", watch->polls,
              watch->missing);
  CHECK(watch->polls > 0);
  CHECK_TEXT(watch->missing == 0, watch->first_missing.c_str());
}

void KillEngine(Site* site, std::size_t engine) {
  site->engines[engine].process->Kill();
}

}  // namespace

TEST_GROUP(Reachability){};

// Guards against a version change or a move that takes the last ready copy away
// before its replacement is ready, or that callers notice.
TEST(Reachability, VersionChangesAndMovesRefuseNoCall) {
  Site site{MakeOptions()};
  site.StartAll();
  Callers callers(&site);
  CopyWatch watch(&site);
  for (const std::size_t model : {0U, 1U, 0U}) {
    ChangeVersion(&site, model);
    CHECK_TEXT(WaitPlaced(&site, 20000).has_value(),
               DescribePlacement(site).c_str());
  }
  // Needs an engine of its own, so that the others move together.
  site.options.models.push_back({"large", 8500, 1});
  ChangeVersion(&site, 3);
  CHECK_TEXT(WaitPlaced(&site, 30000).has_value(),
             DescribePlacement(site).c_str());
  std::this_thread::sleep_for(Milliseconds{3000});
  CheckNoneMissing(&watch);
  CheckNoRefusal("version changes and a move", &callers);
  LONGS_EQUAL(0, site.EngineStat("overcommits"));
}

// Guards against an unload that the audit trail shows before the load of the
// replacement, and against entries that name no versions.
TEST(Reachability, AuditTrailShowsLoadsBeforeUnloads) {
  Site site{MakeOptions()};
  site.StartAll();
  ChangeVersion(&site, 0);
  const auto unloaded = [&site] {
    return CountReady(site, "diagnosis", "1") == 0;
  };
  CHECK(WaitUntil(In(20000), unloaded));
  std::vector<AuditEntry> trail;
  const auto find = [&trail](const std::string& action,
                             const std::string& version) {
    return std::find_if(
        trail.begin(), trail.end(), [&](const AuditEntry& entry) {
          return entry.action == action &&
                 entry.detail.find("item=diagnosis version=" + version + " ") !=
                     std::string::npos;
        });
  };
  const auto is_written = [&] {
    trail = ReadAuditTrail(site);
    return find("unload", "1") != trail.end();
  };
  CHECK(WaitUntil(In(5000), is_written));
  const auto load = find("load", "2");
  const auto unload = find("unload", "1");
  CHECK(load != trail.end());
  CHECK(load < unload);
  for (const AuditEntry& entry : trail) {
    if (entry.action != "load" && entry.action != "unload")
      continue;
    CHECK_TEXT(entry.from_version > 0, entry.detail.c_str());
    CHECK_TEXT(entry.from_version < entry.to_version, entry.detail.c_str());
  }
}

// Guards against models that stay unreachable after the loss of the only engine
// that held them, and of the planner as well.
TEST(Reachability, LostEngineIsReplaced) {
  struct Row {
    const char* name;
    bool kills_planner;
    long bound_ms;
  };
  // Three failed index calls 1 s apart, load time, plan and publishing; with
  // the planner also the lease time, and the successor's own index calls.
  const Row rows[] = {{"engine lost", false, 9000},
                      {"engine and planner lost", true, 19000}};
  Site site{MakeOptions()};
  site.StartAll();
  for (const Row& row : rows) {
    // Has no second copy by demand, since nobody has called it.
    const std::string fresh = row.kills_planner ? "fresh-2" : "fresh-1";
    site.options.models.push_back({fresh, 2000, 1});
    ChangeVersion(&site, site.options.models.size() - 1);
    const auto is_ready = [&site, &fresh] {
      return CountReady(site, fresh, "") > 0;
    };
    CHECK_TEXT(WaitUntil(In(20000), is_ready), row.name);
    LONGS_EQUAL(1, CountReady(site, fresh, ""));
    const std::size_t lost = FindHolder(site, fresh);
    const std::size_t planner = WaitForPlanner(&site);
    const TimePoint start = Clock::now();
    KillEngine(&site, lost);
    if (row.kills_planner)
      site.daemons[planner].process->Kill();
    CHECK_TEXT(WaitPlaced(&site, 40000).has_value(),
               DescribePlacement(site).c_str());
    const auto taken =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count();
    std::printf("%s: all reachable after %ld ms\n", row.name,
                static_cast<long>(taken));
    CHECK(taken <= row.bound_ms);
    // The lost engine is empty again for the next row.
    if (row.kills_planner)
      break;
    site.StartEngine(lost);
    const auto answers = [&site, lost] {
      return !GetJson(site.engines[lost].direct, "/control/stats").is_null();
    };
    CHECK(WaitUntil(In(10000), answers));
    std::this_thread::sleep_for(Milliseconds{3000});
  }
}

// Guards against copies that all lie in one data centre, whose loss would leave
// models to be loaded.
TEST(Reachability, LostDataCentreLeavesEveryModelReady) {
  SiteOptions options = MakeOptions();
  options.data_centres = {"dc1", "dc2"};
  options.survival_goal = "data_centre";
  EngineOptions engine = options.engines.front();
  engine.memory_mb = 12000;
  options.engines = {engine, engine, engine, engine};
  options.engines[2].data_centre = "dc2";
  options.engines[3].data_centre = "dc2";
  Site site{options};
  site.StartAll();
  const auto in_both = [&site] {
    return std::all_of(site.options.models.begin(), site.options.models.end(),
                       [&site](const ModelOptions& model) {
                         const auto at = [&](std::size_t i) {
                           return CountReadyAt(site.engines[i], model.name, "");
                         };
                         return at(0) + at(1) > 0 && at(2) + at(3) > 0;
                       });
  };
  CHECK_TEXT(WaitUntil(In(20000), in_both), DescribePlacement(site).c_str());
  // The placement is published once a second.
  std::this_thread::sleep_for(Milliseconds{2500});
  const TimePoint start = Clock::now();
  KillEngine(&site, 0);
  KillEngine(&site, 1);
  Callers callers(&site);
  CHECK_TEXT(WaitPlaced(&site, 40000).has_value(),
             DescribePlacement(site).c_str());
  const auto taken =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count();
  std::this_thread::sleep_for(Milliseconds{3000});
  callers.Stop();
  PrintCallers("data centre lost", callers);
  std::printf("  all reachable after %ld ms; %s\n", static_cast<long>(taken),
              callers.Refusals().c_str());
  CHECK(taken <= 12000);
  CHECK_TEXT(callers.refused == 0, callers.Refusals().c_str());
}

// Guards against a burst on one model that evicts the last copy of another or
// takes all its slots.
TEST(Reachability, FloodOnOneModelLeavesTheOthers) {
  Site site{MakeOptions()};
  site.StartAll();
  CopyWatch watch(&site);
  std::atomic<bool> stopping{false};
  std::atomic<int> flood_calls{0};
  std::vector<std::thread> flood;
  flood.reserve(kFloodCallers);
  for (int i = 0; i < kFloodCallers; ++i) {
    flood.emplace_back([&site, &stopping, &flood_calls, i] {
      while (!stopping) {
        http::Request request = ChatRequest("recipes", "flood", 40, false);
        request.headers.push_back(OvernightKey());
        const std::size_t daemon =
            static_cast<std::size_t>(i) % site.daemons.size();
        static_cast<void>(Send(site.daemons[daemon].entry, request));
        ++flood_calls;
      }
    });
  }
  site.options.models.pop_back();
  Callers callers(&site);
  std::this_thread::sleep_for(Milliseconds{4000});
  callers.Stop();
  stopping = true;
  for (std::thread& thread : flood)
    thread.join();
  std::printf("flood calls %d\n", flood_calls.load());
  CheckNoneMissing(&watch);
  CheckNoRefusal("flood on another model", &callers);
}
