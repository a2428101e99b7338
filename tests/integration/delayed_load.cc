#include "delayed_load.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>

#include "http_calls.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;

constexpr int kLimitMb = 9000;
constexpr int kTimeoutMs = 20000;
/// A response is followed by a plan, unless there was one in the last 200 ms,
/// when an index call may come first and show what was delivered.
constexpr Milliseconds kPlanPause{500};

const ModelOptions kKept{"kept", 1000, 1};
const ModelOptions kLate{"late", 4000, 1};

SiteOptions MakeOptions(const DelayedLoadRow& row) {
  SiteOptions options;
  options.models = {kKept};
  options.adapters.clear();
  EngineOptions engine;
  engine.memory_mb = kLimitMb;
  options.engines = {engine};
  options.services = 1;
  options.daemons = row.sender_frozen ? 2 : 1;
  options.proxies = true;
  return options;
}

std::string LoadPath(const std::string& item) {
  return "/models/" + item + "/load";
}

Json HoldRule(const std::string& item, bool cut = false, int count = 1000) {
  return {{"match", LoadPath(item)}, {"cut", cut}, {"count", count}};
}

}  // namespace

DelayedLoad::DelayedLoad(const DelayedLoadRow& row)
    : row(row), site(MakeOptions(row)) {}

void DelayedLoad::Run() {
  const TimePoint start = Clock::now();
  this->Start();
  this->DelayFirstAttempt();
  this->SendNewerLoads();
  this->RestartEngine();
  this->Deliver();
  this->Finish();
  EngineAccounts sum = this->accounts;
  sum.CollectAll(this->site);
  const std::chrono::duration<double> taken = Clock::now() - start;
  std::printf(
      "  %s: %ld loads, %ld outdated commands refused, %ld overcommits, "
      "highest memory %ld MB from the limit, %.1f s\n",
      this->row.name, sum.loads, sum.outdated_commands, sum.overcommits,
      sum.excess_mb, taken.count());
  LONGS_EQUAL_TEXT(0, sum.overcommits, this->row.name);
  CHECK_TEXT(sum.excess_mb <= 0, this->row.name);
  const bool sent = this->CountHeld("newer") > 0 || this->IsReady("newer");
  CHECK_EQUAL_TEXT(this->row.newer_is_sent, sent, this->row.name);
}

void DelayedLoad::Start() {
  this->site.StartPlatform();
  this->site.StartStandins();
  this->Declare({kKept});
  for (std::size_t i = 0; i < this->site.daemons.size(); ++i)
    this->site.StartDaemon(i);
  this->Await("first load", [this] { return this->IsReady("kept"); });
  this->planner = WaitForPlanner(&this->site);
}

void DelayedLoad::DelayFirstAttempt() {
  const int count = this->row.after_newer_loads ? 1 : 1000;
  this->SetHolds({HoldRule("late", !this->row.sender_frozen, count)});
  this->Declare({kKept, kLate});
  this->Await("late", [this] { return this->CountHeld("late") > 0; });
  if (this->row.sender_frozen) {
    this->site.daemons[this->planner].process->Signal(SIGSTOP);
    return;
  }
  this->Await("raised number", [this] { return this->IsFenced(); });
  if (this->row.after_newer_loads)
    this->Await("retry", [this] { return this->IsReady("late"); });
}

void DelayedLoad::SendNewerLoads() {
  const Json late = HoldRule("late", /*cut=*/true);
  const bool fills = this->row.after_newer_loads ||
                     this->row.restart == EngineRestart::kNoticed;
  if (fills) {
    this->DeclareNewer();
    this->Await("full memory", [this] {
      return this->IsReady("newer") && this->IsReady("last") &&
             !this->IsReady("late");
    });
    this->SetHolds({late, HoldRule("newer")});
    return;
  }
  this->SetHolds({late, HoldRule("newer")});
  this->DeclareNewer();
  // The plan looks at the larger model first.
  this->Await("newer", [this] {
    return this->CountHeld("newer") > 0 || this->IsReady("last");
  });
}

void DelayedLoad::RestartEngine() {
  if (this->row.restart == EngineRestart::kNone)
    return;
  this->accounts.Restart(&this->site, 0);
  if (this->row.restart == EngineRestart::kNoticed)
    this->Await("newer", [this] { return this->CountHeld("newer") > 0; });
}

void DelayedLoad::Deliver() {
  const long outdated = this->CountOutdated();
  const int late = this->CountHeld("late");
  this->SetHolds({HoldRule("newer")});
  this->Await("late", [this, outdated, late] {
    return this->CountOutdated() >= outdated + late || this->IsReady("late");
  });
  if (this->row.restart != EngineRestart::kNone)
    std::this_thread::sleep_for(kPlanPause);
  this->SetHolds({});
}

void DelayedLoad::Finish() {
  this->site.daemons[this->planner].process->Signal(SIGCONT);
  const bool restarted = this->row.restart != EngineRestart::kNone;
  this->Await("later loads", [this, restarted] {
    if (!this->row.newer_is_sent)
      return this->IsReady("kept");
    return this->IsReady("newer") && (!restarted || this->IsReady("last"));
  });
}

void DelayedLoad::Declare(const std::vector<ModelOptions>& models) {
  this->site.options.models = models;
  this->site.WriteConfiguration();
  const Output applied = this->site.Apply();
  CHECK_TEXT(applied.exit_code == 0, applied.text.c_str());
}

/// The declared models fill the memory.
void DelayedLoad::DeclareNewer() {
  const int last_mb = kLimitMb - kKept.memory_mb - this->row.newer_mb;
  this->Declare(
      {kKept, {"newer", this->row.newer_mb, 1}, {"last", last_mb, 1}});
}

void DelayedLoad::SetHolds(const std::vector<Json>& rules) {
  SetFaults(this->site.engines[0].proxy_control, {{"hold", rules}});
}

int DelayedLoad::CountHeld(const std::string& item) {
  const Json stats =
      GetJson(this->site.engines[0].proxy_control, "/control/stats");
  CHECK_TEXT(stats.is_object(), "proxy");
  return stats["held"].value(LoadPath(item), 0);
}

bool DelayedLoad::IsReady(const std::string& item) {
  return CountReadyAt(this->site.engines[0], item, "") > 0;
}

Json DelayedLoad::Ledger() {
  const Json object =
      GetJson(this->site.platform, "/apis/coltsfootvane/v1/endpoints/engine-1");
  return object.is_object() ? object["spec"] : Json::object();
}

bool DelayedLoad::IsFenced() {
  const Json ledger = this->Ledger();
  if (!ledger.contains("intents"))
    return false;
  const Json& intents = ledger["intents"];
  return std::any_of(intents.begin(), intents.end(), [](const Json& intent) {
    return intent["item"] == "late" && intent["fenced"] == true;
  });
}

long DelayedLoad::CountOutdated() {
  return this->site.EngineStat("outdated_commands");
}

void DelayedLoad::Await(const char* what,
                        const std::function<bool()>& condition) {
  if (WaitUntil(In(kTimeoutMs), condition))
    return;
  const std::string text = std::string(this->row.name) + ": " + what + "\n" +
                           DescribePlacement(this->site);
  FAIL(text.c_str());
}

}  // namespace coltsfootvane::testing
