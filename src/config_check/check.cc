#include "config_check/check.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>
#include <utility>

#include "base/digest.h"
#include "net/message.h"
#include "quota/bucket_owner.h"

namespace coltsfootvane::config_check {
namespace {

/// Hexadecimal digits of a digest that are shown; enough to tell keys apart.
constexpr std::size_t kShownDigestLength = 16;

void Add(Issues* issues, const Place& place, Level level, std::string message) {
  issues->push_back({place, level, std::move(message)});
}

std::string Quoted(std::string_view text) {
  return "'" + std::string(text) + "'";
}

std::string Number(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.')
    text.pop_back();
  return text;
}

/// Returns whether each request that `route` matches goes to `earlier`.
bool IsHiddenBy(const gateway::Route& route, const gateway::Route& earlier) {
  return earlier.path_prefix == route.path_prefix &&
         net::EqualsIgnoringCase(earlier.host, route.host);
}

void CheckMatch(const Document& document, std::size_t index, Issues* issues) {
  const RouteEntry& entry = document.routes[index];
  const std::string name = "route " + Quoted(entry.route.name);
  const std::string& path = entry.route.path_prefix;
  if (entry.route.host.empty())
    Add(issues, entry.place, Level::kError,
        name + " has no host and matches no request that names one");
  else if (entry.route.host.find_first_of(":/ ") != std::string::npos)
    Add(issues, entry.place, Level::kError,
        name + " never matches: its host is more than a name");
  if (path.find_first_of("?# ") != std::string::npos)
    Add(issues, entry.path, Level::kError,
        name + " never matches: its path has a character that no path has");
  else if (path.empty() || path.front() != '/')
    Add(issues, entry.path, Level::kError,
        name + " never matches: its path does not begin with a slash");
  else if (path.back() != '/')
    Add(issues, entry.path, Level::kWarning,
        name +
            " also matches longer names: its path does not end with a "
            "slash");
  for (std::size_t i = 0; i < index; ++i) {
    if (!IsHiddenBy(entry.route, document.routes[i].route))
      continue;
    Add(issues, entry.path, Level::kError,
        name + " never matches: route " +
            Quoted(document.routes[i].route.name) + " in line " +
            std::to_string(document.routes[i].place.line) +
            " has the same host and path");
    return;
  }
}

bool HasService(const Document& document, std::string_view name) {
  return std::any_of(
      document.services.begin(), document.services.end(),
      [name](const ServiceEntry& entry) { return entry.service.name == name; });
}

void CheckTargets(const Document& document,
                  const RouteEntry& entry,
                  Issues* issues) {
  const std::string name = "route " + Quoted(entry.route.name);
  double total = 0;
  for (const gateway::WeightedService& part : entry.route.services) {
    total += std::max(part.weight, 0.0);
    if (!HasService(document, part.service))
      Add(issues, entry.services, Level::kError,
          name + " leads to service " + Quoted(part.service) +
              ", which does not exist");
  }
  if (total <= 0)
    Add(issues, entry.services, Level::kError,
        name + " leads to no service with a weight above 0");
}

void CheckTimes(const RouteEntry& entry, Issues* issues) {
  const gateway::Route& route = entry.route;
  const std::string name = "route " + Quoted(route.name);
  if (route.timeout.count() <= 0)
    Add(issues, entry.timeout, Level::kError,
        name + " fails all requests: its timeout is 0");
  else if (route.timeout < route.target_latency)
    Add(issues, entry.timeout, Level::kWarning,
        name + " has a timeout of " + std::to_string(route.timeout.count()) +
            " ms, below its latency objective of " +
            std::to_string(route.target_latency.count()) + " ms");
  if (route.max_attempts < 1)
    Add(issues, entry.attempts, Level::kWarning,
        name + " allows no attempt; the daemons make one");
  else if (route.max_attempts > 1 && !gateway::IsRepeatable(route))
    Add(issues, entry.attempts, Level::kWarning,
        name + " allows " + std::to_string(route.max_attempts) +
            " attempts, but its requests may be executed only once");
  if (route.resumable && route.kind != gateway::RouteKind::kStreaming)
    Add(issues, entry.resumable, Level::kWarning,
        name + " is resumable without effect: it does not stream");
}

void CheckNames(const Document& document, Issues* issues) {
  std::map<std::string, std::set<std::string>> seen;
  const auto check = [&](const std::string& kind, const std::string& name,
                         const Place& place, Level level) {
    if (name.empty())
      Add(issues, place, level, kind + " without a name");
    else if (!seen[kind].insert(name).second)
      Add(issues, place, level, kind + " " + Quoted(name) + " occurs twice");
  };
  for (const RouteEntry& entry : document.routes)
    check("route", entry.route.name, entry.place, Level::kWarning);
  for (const ServiceEntry& entry : document.services)
    check("service", entry.service.name, entry.place, Level::kError);
  for (const TeamEntry& entry : document.teams)
    check("team", entry.team.name, entry.place, Level::kWarning);
}

bool HasRoute(const Document& document, std::string_view service) {
  for (const RouteEntry& entry : document.routes) {
    for (const gateway::WeightedService& part : entry.route.services) {
      if (part.service == service && part.weight > 0)
        return true;
    }
  }
  return false;
}

void CheckModels(const ServiceEntry& entry, Issues* issues) {
  const gateway::EngineSpec& engine = *entry.service.engine;
  std::set<std::string> names;
  for (std::size_t i = 0; i < engine.models.size(); ++i) {
    const gateway::EngineModel& model = engine.models[i];
    const Place& place =
        i < entry.models.size() ? entry.models[i] : entry.place;
    const std::string name = "model " + Quoted(model.name);
    if (!names.insert(model.name).second)
      Add(issues, place, Level::kError,
          name + " occurs twice in its service; the first entry holds");
    if (engine.memory_mb <= 0)
      continue;
    if (model.memory_mb > engine.memory_mb)
      Add(issues, place, Level::kError,
          name + " needs " + Number(model.memory_mb) + " MB, more than the " +
              Number(engine.memory_mb) + " MB of an engine");
    else if (model.adapters > 0 &&
             model.memory_mb + model.adapter_memory_mb > engine.memory_mb)
      Add(issues, place, Level::kError,
          name + " leaves no room for one of its adapters in the " +
              Number(engine.memory_mb) + " MB of an engine");
    if (model.adapters > 0 && engine.adapter_slots <= 0)
      Add(issues, place, Level::kError,
          name + " has adapters, but the engines have no slots for them");
  }
}

void CheckService(const Document& document,
                  const ServiceEntry& entry,
                  Issues* issues) {
  const std::string name = "service " + Quoted(entry.service.name);
  if (!HasRoute(document, entry.service.name))
    Add(issues, entry.place, Level::kWarning,
        name +
            " gets no requests: no "
            "route leads to it with a weight above 0");
  if (!entry.service.engine)
    return;
  if (entry.service.engine->slots <= 0)
    Add(issues, entry.place, Level::kError,
        name + " has engines without slots");
  CheckModels(entry, issues);
}

void CheckKeys(const Document& document, Issues* issues) {
  std::map<std::string, const TeamEntry*> owners;
  for (const TeamEntry& entry : document.teams) {
    for (std::size_t i = 0; i < entry.team.keys.size(); ++i) {
      const std::string& key = entry.team.keys[i];
      const Place& place = i < entry.keys.size() ? entry.keys[i] : entry.place;
      if (key.empty()) {
        Add(issues, place, Level::kError,
            "an empty API key identifies no team");
        continue;
      }
      const auto [owner, is_new] = owners.emplace(key, &entry);
      if (is_new)
        continue;
      const std::string name = "API key with digest " + KeyDigest(key);
      if (owner->second == &entry)
        Add(issues, place, Level::kWarning,
            name + " occurs twice in team " + Quoted(entry.team.name));
      else
        Add(issues, place, Level::kError,
            name + " also belongs to team " + Quoted(owner->second->team.name) +
                ", which has it");
    }
  }
}

void CheckTeam(const TeamEntry& entry, Issues* issues) {
  const std::string name = "team " + Quoted(entry.team.name);
  if (entry.team.keys.empty())
    Add(issues, entry.place, Level::kError,
        name + " has no API keys, so that no request belongs to it");
  const team::Quota& quota = entry.team.quota;
  if (!team::IsLimited(quota)) {
    if (quota.burst > 0)
      Add(issues, entry.burst, Level::kWarning,
          name + " has a burst without effect: it has no rate");
    return;
  }
  const double units = team::UnitsOf(quota, std::nullopt);
  const std::string request = "one request (" + Number(units) + " units)";
  if (units > quota.burst + quota::Bounds{}.slack)
    Add(issues, entry.burst, Level::kError,
        name + " has a quota that rejects " + request + " at all times");
  else if (units > quota.burst)
    Add(issues, entry.burst, Level::kWarning,
        name + " has a burst below " + request);
}

void CheckLimits(const Document& document, Issues* issues) {
  const gateway::CallerLimits& limits = document.limits;
  const Place& place = document.limits_place;
  if (limits.header_bytes == 0)
    Add(issues, place, Level::kError,
        "all requests are rejected: no bytes are allowed for headers");
  if (limits.body_bytes == 0)
    Add(issues, place, Level::kWarning,
        "requests with a body are rejected: no bytes are allowed for it");
  if (limits.header_timeout.count() <= 0 || limits.idle_timeout.count() <= 0)
    Add(issues, place, Level::kError,
        "callers have no time: a timeout of the limits is 0");
  else if (limits.header_timeout > limits.idle_timeout)
    Add(issues, place, Level::kWarning,
        "headers may take longer than a connection may be idle");
}

}  // namespace

std::string KeyDigest(std::string_view key) {
  return DigestHex(key).substr(0, kShownDigestLength);
}

const char* LevelName(Level level) {
  return level == Level::kError ? "error" : "warning";
}

std::string FormatIssue(const Issue& issue) {
  return FormatFinding({issue.place, std::string(LevelName(issue.level)) +
                                         ": " + issue.message});
}

void SortIssues(Issues* issues) {
  std::stable_sort(issues->begin(), issues->end(),
                   [](const Issue& a, const Issue& b) {
                     return std::tie(a.place.line, a.place.column) <
                            std::tie(b.place.line, b.place.column);
                   });
}

void CheckDocument(const Document& document, Issues* issues) {
  CheckNames(document, issues);
  for (std::size_t i = 0; i < document.routes.size(); ++i) {
    CheckMatch(document, i, issues);
    CheckTargets(document, document.routes[i], issues);
    CheckTimes(document.routes[i], issues);
  }
  for (const ServiceEntry& entry : document.services)
    CheckService(document, entry, issues);
  for (const TeamEntry& entry : document.teams)
    CheckTeam(entry, issues);
  CheckKeys(document, issues);
  CheckLimits(document, issues);
}

}  // namespace coltsfootvane::config_check
