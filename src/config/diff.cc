#include <nlohmann/json.hpp>

#include <map>
#include <string>

#include "base/digest.h"
#include "config/bundle.h"

namespace coltsfootvane {
namespace {

using nlohmann::json;

/// The declared objects by `kind name`, each with its fields.
using Objects = std::map<std::string, json>;

constexpr std::size_t kShownDigestLength = 8;

std::string_view KindName(EndpointKind kind) {
  return kind == EndpointKind::kEngine ? "engine" : "service";
}

std::string_view GoalName(SurvivalGoal goal) {
  switch (goal) {
    case SurvivalGoal::kVm:
      return "vm";
    case SurvivalGoal::kDataCentre:
      return "data_centre";
    case SurvivalGoal::kRegion:
      return "region";
  }
  return "";
}

void DescribeItems(const Configuration& configuration, Objects* objects) {
  for (const DataCentre& item : configuration.data_centres)
    (*objects)["data_centre " + item.name] = {{"region", item.region}};
  for (const Model& item : configuration.models)
    (*objects)["model " + item.name] = {{"version", item.version},
                                        {"memory_mb", item.memory_mb},
                                        {"min_copies", item.min_copies}};
  for (const Adapter& item : configuration.adapters)
    (*objects)["adapter " + item.name] = {{"model", item.model},
                                          {"version", item.version},
                                          {"memory_mb", item.memory_mb}};
  for (const Endpoint& item : configuration.endpoints)
    (*objects)["endpoint " + item.id] = {
        {"kind", KindName(item.kind)},
        {"data_centre", item.data_centre},
        {"address", http::FormatAddress(item.address)},
        {"memory_mb", item.memory_mb},
        {"checks_fencing", item.checks_fencing},
        {"slots", item.slots},
        {"service", item.service},
        {"refuses_when_leaving", item.refuses_when_leaving}};
}

void DescribeTraffic(const Configuration& configuration, Objects* objects) {
  for (const Route& item : configuration.routes) {
    json irreversible = json::array();
    for (const IrreversibleCall& call : item.irreversible)
      irreversible.push_back(call.method + " " + call.path_prefix);
    (*objects)["route " + item.path_prefix] = {
        {"kind", KindName(item.kind)},
        {"service", item.service},
        {"priority", PriorityName(item.priority)},
        {"irreversible", irreversible}};
  }
  // A difference is printed and logged, so it shows a digest of the key.
  for (const Caller& item : configuration.callers)
    (*objects)["caller " + item.name] = {
        {"api_key_digest",
         DigestHex(item.api_key).substr(0, kShownDigestLength)},
        {"priority", PriorityName(item.priority)}};
}

void DescribeRules(const Configuration& configuration, Objects* objects) {
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const PriorityClass& item = configuration.classes.at(i);
    const auto name = std::string(PriorityName(static_cast<Priority>(i)));
    (*objects)["class " + name] = {{"value", item.value},
                                   {"minimum_share", item.minimum_share},
                                   {"first_token_ms", item.first_token_ms},
                                   {"token_gap_ms", item.token_gap_ms},
                                   {"completion_ms", item.completion_ms},
                                   {"queue_length", item.queue_length}};
  }
  const WeightStore& store = configuration.weight_store;
  (*objects)["weight_store"] = {
      {"loads_per_s", store.loads_per_s},
      {"loads_at_once", store.loads_at_once},
      {"adapter_load_ms", store.adapter_load_ms},
      {"adapter_loads_in_flight", store.adapter_loads_in_flight}};
  (*objects)["survival_goal"] = {
      {"value", GoalName(configuration.survival_goal)}};
}

Objects Describe(const Configuration& configuration) {
  Objects objects;
  DescribeItems(configuration, &objects);
  DescribeTraffic(configuration, &objects);
  DescribeRules(configuration, &objects);
  return objects;
}

std::string DescribeChange(const json& from, const json& to) {
  std::string text;
  for (const auto& [field, value] : to.items()) {
    if (from.at(field) == value)
      continue;
    text += (text.empty() ? "" : ", ") + field + " " + from.at(field).dump() +
            " -> " + value.dump();
  }
  return text;
}

}  // namespace

std::vector<std::string> DiffConfigurations(const Configuration& from,
                                            const Configuration& to) {
  const Objects old_objects = Describe(from);
  const Objects new_objects = Describe(to);
  std::vector<std::string> lines;
  for (const auto& [name, fields] : old_objects) {
    const auto found = new_objects.find(name);
    if (found == new_objects.end())
      lines.push_back("- " + name);
    else if (found->second != fields)
      lines.push_back("~ " + name + ": " +
                      DescribeChange(fields, found->second));
  }
  for (const auto& [name, fields] : new_objects) {
    if (old_objects.count(name) == 0)
      lines.push_back("+ " + name);
  }
  return lines;
}

}  // namespace coltsfootvane
