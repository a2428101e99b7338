#include "placement_probe.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "http_calls.h"
#include "objectapi/client.h"
#include "placement/lease.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;

constexpr char kObjects[] = "/apis/coltsfootvane/v1/";
constexpr int kStartMs = 10000;

Json ReadIndexPage(const http::Address& engine) {
  const Result<http::Response> page =
      PostJson(engine, "/v2/repository/index", Json::object());
  if (!page || page.assume_value().status != 200)
    return nullptr;
  return Json::parse(page.assume_value().body, nullptr, false);
}

bool IsDeclaredReady(const Site& site) {
  const auto is_ready = [&site](const std::string& name,
                                const std::string& version) {
    return CountReady(site, name, version) > 0;
  };
  const auto& models = site.options.models;
  const auto& adapters = site.options.adapters;
  return std::all_of(models.begin(), models.end(),
                     [&is_ready](const ModelOptions& model) {
                       return is_ready(model.name, model.version);
                     }) &&
         std::all_of(adapters.begin(), adapters.end(),
                     [&is_ready](const AdapterOptions& adapter) {
                       return is_ready(adapter.name, "1");
                     });
}

}  // namespace

std::optional<std::size_t> FindPlanner(Site* site) {
  const Json object =
      GetJson(site->platform,
              std::string(kObjects) + objectapi::kLeaseKind + "/planner-r1");
  if (!object.is_object())
    return std::nullopt;
  const std::string holder = object["spec"].value("holder", "");
  for (std::size_t i = 0; i < site->daemons.size(); ++i) {
    DaemonProcess& daemon = site->daemons[i];
    if (holder.rfind(daemon.id + "/", 0) == 0 && daemon.process &&
        daemon.process->IsRunning())
      return i;
  }
  return std::nullopt;
}

std::size_t WaitForPlanner(Site* site, int timeout_ms) {
  std::optional<std::size_t> found;
  const auto is_found = [&found, site] {
    found = FindPlanner(site);
    return found.has_value();
  };
  CHECK_TEXT(WaitUntil(In(timeout_ms), is_found), "no planner");
  return *found;
}

int CountReadyAt(const StandinProcess& engine,
                 const std::string& item,
                 const std::string& version) {
  const Json index = ReadIndexPage(engine.direct);
  if (!index.is_object())
    return 0;
  int count = 0;
  for (const Json& shown : index["models"]) {
    const bool same = shown["name"] == item &&
                      (version.empty() || shown["version"] == version);
    count += same && shown["state"] == "READY" ? 1 : 0;
  }
  return count;
}

int CountReady(const Site& site,
               const std::string& item,
               const std::string& version) {
  int count = 0;
  for (const StandinProcess& engine : site.engines)
    count += CountReadyAt(engine, item, version);
  return count;
}

std::size_t FindHolder(const Site& site, const std::string& model) {
  for (std::size_t i = 0; i < site.engines.size(); ++i) {
    if (CountReadyAt(site.engines[i], model, "") > 0)
      return i;
  }
  FAIL("no engine has the model");
  return 0;
}

void ChangeVersion(Site* site, std::size_t model) {
  ModelOptions& changed = site->options.models[model];
  changed.version = std::to_string(std::stoi(changed.version) + 1);
  site->WriteConfiguration();
  const Output applied = site->Apply();
  CHECK_TEXT(applied.exit_code == 0, applied.text.c_str());
}

std::optional<Milliseconds> WaitPlaced(Site* site, int timeout_ms) {
  const TimePoint start = Clock::now();
  const TimePoint deadline = In(timeout_ms);
  const auto is_placed = [site] { return IsDeclaredReady(*site); };
  if (!WaitUntil(deadline, is_placed))
    return std::nullopt;
  const auto left =
      std::chrono::duration_cast<Milliseconds>(deadline - Clock::now());
  if (!site->WaitServing(static_cast<int>(left.count())))
    return std::nullopt;
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
}

std::string DescribePlacement(const Site& site) {
  std::string text;
  for (const StandinProcess& engine : site.engines)
    text += engine.id + ": " + ReadIndexPage(engine.direct).dump() + "\n";
  for (const char* kind : {objectapi::kEndpointKind, objectapi::kPlacementKind})
    text += GetJson(site.platform, kObjects + std::string(kind)).dump() + "\n";
  return text;
}

void EngineAccounts::Collect(const StandinProcess& engine,
                             std::int64_t memory_mb) {
  const Json stats = GetJson(engine.direct, "/control/stats");
  CHECK_TEXT(stats.is_object(), engine.id.c_str());
  this->overcommits += stats.value("overcommits", std::int64_t{0});
  this->excess_mb =
      std::max(this->excess_mb,
               stats.value("highest_memory_mb", std::int64_t{0}) - memory_mb);
  this->loads += stats.value("loads", std::int64_t{0});
  this->unloads += stats.value("unloads", std::int64_t{0});
  this->outdated_commands += stats.value("outdated_commands", std::int64_t{0});
}

void EngineAccounts::Restart(Site* site, std::size_t engine) {
  this->Collect(site->engines[engine], site->options.engines[engine].memory_mb);
  const StandinProcess& restarted = site->engines[engine];
  restarted.process->Kill();
  site->StartEngine(engine);
  // A command that a proxy delivers before the engine listens would be lost.
  const auto answers = [&restarted] {
    return !GetJson(restarted.direct, "/control/stats").is_null();
  };
  CHECK_TEXT(WaitUntil(In(kStartMs), answers), restarted.id.c_str());
}

void EngineAccounts::CollectAll(const Site& site) {
  for (std::size_t i = 0; i < site.engines.size(); ++i)
    this->Collect(site.engines[i], site.options.engines[i].memory_mb);
}

std::vector<AuditEntry> ReadAuditTrail(const Site& site) {
  const objectapi::Connection connection =
      objectapi::MakeConnection(site.platform, 1000);
  Result<std::vector<AuditEntry>> trail = ReadAudit(connection, In(5000));
  CHECK_TEXT(trail.has_value(), "audit trail");
  return std::move(trail).value();
}

}  // namespace coltsfootvane::testing
