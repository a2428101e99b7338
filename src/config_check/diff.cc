#include "config_check/diff.h"

#include <algorithm>
#include <cctype>
#include <map>
#include <optional>
#include <set>
#include <sstream>

#include "config_check/check.h"

namespace coltsfootvane::config_check {
namespace {

/// Of a team that has no rank of its own.
constexpr char kRankOfRoute[] = "route's";

/// The values of an entry as text, and what callers notice if it is removed.
struct Item {
  std::map<std::string, std::string> values;
  std::string removed;
};
using Items = std::map<std::string, Item>;

/// What callers notice when a value becomes lower or higher, or, for values
/// without an order, changes at all; null if they notice nothing.
struct Effect {
  const char* lower = nullptr;
  const char* higher = nullptr;
  const char* other = nullptr;
};

const std::map<std::string, Effect>& Effects() {
  static const std::map<std::string, Effect> effects = {
      {"timeout_ms", {"requests are ended sooner", nullptr, nullptr}},
      {"max_attempts", {"fewer failures are retried", nullptr, nullptr}},
      {"services", {nullptr, nullptr, "requests move to other services"}},
      {"kind", {nullptr, nullptr, "other requests are repeated"}},
      {"public", {"requests need a key", "requests need no key", nullptr}},
      {"resumable", {"broken streams are not resumed", nullptr, nullptr}},
      {"rank", {"more urgent", "less urgent", nullptr}},
      {"per_second", {"requests beyond it are refused", nullptr, nullptr}},
      {"burst", {"shorter bursts are served", nullptr, nullptr}},
      {"plain_units", {nullptr, "requests use more of the quota", nullptr}},
      {"unit", {nullptr, nullptr, "requests are counted differently"}},
      {"header_bytes", {"larger headers are rejected", nullptr, nullptr}},
      {"body_bytes", {"larger bodies are rejected", nullptr, nullptr}},
      {"header_timeout_ms",
       {"slow callers are ended sooner", nullptr, nullptr}},
      {"idle_timeout_ms", {"idle callers are ended sooner", nullptr, nullptr}},
      {"max_connections", {"more requests wait", nullptr, nullptr}},
      {"slots", {"fewer requests run at once", nullptr, nullptr}},
      {"adapters", {"requests for the last adapters fail", nullptr, nullptr}},
  };
  return effects;
}

template <class T>
std::string Text(const T& value) {
  std::ostringstream stream;
  stream.precision(15);
  stream << value;
  return stream.str();
}

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

std::string KindText(gateway::RouteKind kind) {
  switch (kind) {
    case gateway::RouteKind::kSafe:
      return "safe";
    case gateway::RouteKind::kUnsafe:
      return "unsafe";
    case gateway::RouteKind::kStreaming:
      return "streaming";
  }
  return "";
}

std::string ServicesText(const gateway::Route& route) {
  std::string text;
  for (const gateway::WeightedService& part : route.services)
    text += (text.empty() ? "" : " ") + part.service + ":" + Text(part.weight);
  return text;
}

void DescribeRoute(const gateway::Route& route, Items* items) {
  Item item;
  item.removed = "its requests get 404 or match a shorter path";
  item.values = {{"name", route.name},
                 {"kind", KindText(route.kind)},
                 {"timeout_ms", Text(route.timeout.count())},
                 {"target_latency_ms", Text(route.target_latency.count())},
                 {"gap_target_ms", Text(route.gap_target.count())},
                 {"rank", Text(route.rank)},
                 {"max_attempts", Text(route.max_attempts)},
                 {"resumable", Text(route.resumable)},
                 {"public", Text(route.is_public)},
                 {"services", ServicesText(route)}};
  // The first of several entries with this host and path is in force.
  items->emplace("route " + Lower(route.host) + route.path_prefix, item);
}

void DescribeEngine(const std::string& service,
                    const gateway::EngineSpec& engine,
                    Items* items) {
  items->emplace("engine of " + service,
                 Item{{{"slots", Text(engine.slots)},
                       {"memory_mb", Text(engine.memory_mb)},
                       {"adapter_slots", Text(engine.adapter_slots)},
                       {"loads_per_s", Text(engine.store_loads_per_s)}},
                      ""});
  for (const gateway::EngineModel& model : engine.models)
    items->emplace("model " + service + "/" + model.name,
                   Item{{{"memory_mb", Text(model.memory_mb)},
                         {"adapter_memory_mb", Text(model.adapter_memory_mb)},
                         {"adapters", Text(model.adapters)},
                         {"store_load_s", Text(model.store_load_s)},
                         {"disk_load_s", Text(model.disk_load_s)},
                         {"memory_load_s", Text(model.memory_load_s)}},
                        "requests for it fail"});
}

/// `needs_keys` tells whether requests need a key afterwards.
void DescribeTeam(const team::Team& team, bool needs_keys, Items* items) {
  const team::Quota& quota = team.quota;
  Item item;
  if (needs_keys)
    item.removed = "its requests get 401 except on public routes";
  item.values = {
      {"rank", team.rank ? Text(*team.rank) : kRankOfRoute},
      {"unit", quota.unit == team::QuotaUnit::kTokens ? "tokens" : "requests"},
      {"per_second",
       team::IsLimited(quota) ? Text(quota.per_second) : "unlimited"},
      {"burst", Text(quota.burst)},
      {"plain_units", Text(quota.plain_units)}};
  items->emplace("team " + team.name, item);
  for (const std::string& key : team.keys) {
    Item key_item{{{"team", team.name}}, ""};
    if (needs_keys)
      key_item.removed = "requests of team " + team.name +
                         " with it get 401 except on public routes";
    items->emplace("key " + KeyDigest(key), key_item);
  }
}

Items Describe(const Document& document, bool needs_keys) {
  Items items;
  for (const RouteEntry& entry : document.routes)
    DescribeRoute(entry.route, &items);
  for (const ServiceEntry& entry : document.services) {
    const gateway::Service& service = entry.service;
    items.emplace("service " + service.name,
                  Item{{{"max_connections", Text(service.max_connections)}},
                       "routes that lead to it refuse their requests"});
    if (service.engine)
      DescribeEngine(service.name, *service.engine, &items);
  }
  for (const TeamEntry& entry : document.teams)
    DescribeTeam(entry.team, needs_keys, &items);
  const gateway::CallerLimits& limits = document.limits;
  items.emplace(
      "limits",
      Item{{{"header_bytes", Text(limits.header_bytes)},
            {"body_bytes", Text(limits.body_bytes)},
            {"header_timeout_ms", Text(limits.header_timeout.count())},
            {"idle_timeout_ms", Text(limits.idle_timeout.count())}},
           ""});
  return items;
}

/// Returns the value as a number for comparison. "unlimited" is above all
/// numbers, and so is a `max_connections` of 0, which sets no limit. Whether a
/// team's rank is more urgent than that of a route depends on the route.
std::optional<double> Amount(const std::string& field,
                             const std::string& value) {
  constexpr double kUnlimited = 1e300;
  if (value == kRankOfRoute)
    return std::nullopt;
  if (value == "unlimited" || (field == "max_connections" && value == "0"))
    return kUnlimited;
  double amount = 0;
  std::istringstream(value) >> amount;
  return amount;
}

std::string EffectOf(const std::string& field,
                     const std::string& from,
                     const std::string& to) {
  const auto found = Effects().find(field);
  if (found == Effects().end())
    return "";
  const Effect& effect = found->second;
  const std::optional<double> before = Amount(field, from);
  const std::optional<double> after = Amount(field, to);
  const char* text = effect.other;
  if (text == nullptr && before && after && *after != *before)
    text = *after < *before ? effect.lower : effect.higher;
  return text == nullptr ? "" : " (" + std::string(text) + ")";
}

std::string DescribeChange(const Item& from, const Item& to) {
  std::string text;
  for (const auto& [field, value] : to.values) {
    const std::string& before = from.values.at(field);
    if (before == value)
      continue;
    text.append(text.empty() ? "" : ", ").append(field).append(" ");
    text.append(before).append(" -> ").append(value);
    text.append(EffectOf(field, before, value));
  }
  return text;
}

std::set<std::string> Hosts(const Document& document) {
  std::set<std::string> hosts;
  for (const RouteEntry& entry : document.routes)
    hosts.insert(Lower(entry.route.host));
  return hosts;
}

/// Adds changes that concern all callers or all requests of a host.
void DiffWhole(const Document& from,
               const Document& to,
               std::vector<std::string>* lines) {
  if (from.teams.empty() != to.teams.empty())
    lines->push_back(to.teams.empty()
                         ? "~ teams: none are left, no request needs a key"
                         : "~ teams: requests without a known key get 401 "
                           "except on public routes");
  const std::set<std::string> kept = Hosts(to);
  for (const std::string& host : Hosts(from)) {
    if (kept.count(host) == 0)
      lines->push_back("- host " + host + ": all its requests get 404");
  }
}

}  // namespace

std::vector<std::string> DiffDocuments(const Document& from,
                                       const Document& to) {
  std::vector<std::string> lines;
  DiffWhole(from, to, &lines);
  const Items before = Describe(from, !to.teams.empty());
  const Items after = Describe(to, !to.teams.empty());
  for (const auto& [name, item] : before) {
    const auto found = after.find(name);
    if (found == after.end())
      lines.push_back("- " + name +
                      (item.removed.empty() ? "" : ": " + item.removed));
    else if (found->second.values != item.values)
      lines.push_back("~ " + name + ": " + DescribeChange(item, found->second));
  }
  for (const auto& [name, item] : after) {
    if (before.count(name) == 0)
      lines.push_back("+ " + name);
  }
  const bool is_lower = to.version < from.version;
  if (is_lower || (to.version == from.version && !lines.empty()))
    lines.insert(lines.begin(),
                 "~ version " + Text(from.version) + " -> " + Text(to.version) +
                     ": daemons keep the version in force, as this one is not "
                     "higher");
  return lines;
}

}  // namespace coltsfootvane::config_check
