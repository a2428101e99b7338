#include "config/check.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>

#include "config/fit.h"

namespace coltsfootvane {
namespace {

/// The rest of the slots is always free to be given out by strict order.
constexpr double kMaxShareSum = 0.9;
/// Shares such as 0.3 + 0.6 are not exact in binary.
constexpr double kShareTolerance = 1e-9;

/// Remembers where each value was declared first.
class UniqueValues {
 public:
  UniqueValues(std::string what, Findings* findings)
      : what(std::move(what)), findings(findings) {}

  /// Values that are empty were faulty and have a finding already.
  void Add(const std::string& value, const Place& place, bool secret = false) {
    if (value.empty())
      return;
    const auto [first, is_new] = this->places.emplace(value, place);
    if (is_new)
      return;
    const Place& at = first->second;
    AddFinding(this->findings, place,
               this->what + (secret ? "" : " '" + value + "'") +
                   " is declared already at " + at.file + ":" +
                   std::to_string(at.line));
  }

 private:
  std::string what;
  Findings* findings;
  std::map<std::string, Place> places;
};

void CheckUniqueNames(const Configuration& configuration, Findings* findings) {
  UniqueValues data_centres("data centre", findings);
  for (const DataCentre& data_centre : configuration.data_centres)
    data_centres.Add(data_centre.name, data_centre.place);
  // Callers name models and adapters in the same field.
  UniqueValues items("model or adapter", findings);
  for (const Model& model : configuration.models)
    items.Add(model.name, model.place);
  for (const Adapter& adapter : configuration.adapters)
    items.Add(adapter.name, adapter.place);
  UniqueValues prefixes("route", findings);
  for (const Route& route : configuration.routes)
    prefixes.Add(route.path_prefix, route.place);
}

void CheckUniqueEndpoints(const Configuration& configuration,
                          Findings* findings) {
  UniqueValues ids("endpoint", findings);
  UniqueValues addresses("address", findings);
  for (const Endpoint& endpoint : configuration.endpoints) {
    ids.Add(endpoint.id, endpoint.place);
    if (endpoint.address.port != 0)
      addresses.Add(http::FormatAddress(endpoint.address), endpoint.place);
  }
}

void CheckUniqueCallers(const Configuration& configuration,
                        Findings* findings) {
  UniqueValues names("caller", findings);
  UniqueValues keys("API key", findings);
  for (const Caller& caller : configuration.callers) {
    names.Add(caller.name, caller.place);
    keys.Add(caller.api_key, caller.place, true);
  }
}

void CheckUniqueIrreversible(const Configuration& configuration,
                             Findings* findings) {
  for (const Route& route : configuration.routes) {
    UniqueValues calls("irreversible call", findings);
    for (const IrreversibleCall& call : route.irreversible) {
      if (!call.method.empty() && !call.path_prefix.empty())
        calls.Add(call.method + " " + call.path_prefix, call.place);
    }
  }
}

void CheckReferences(const Configuration& configuration, Findings* findings) {
  for (const Adapter& adapter : configuration.adapters) {
    if (!adapter.model.empty() && !FindModel(configuration, adapter.model))
      AddFinding(findings, adapter.place,
                 "adapter '" + adapter.name + "' refers to model '" +
                     adapter.model + "', which is not declared");
  }
  std::set<std::string> services;
  for (const Endpoint& endpoint : configuration.endpoints) {
    services.insert(endpoint.service);
    if (!endpoint.data_centre.empty() &&
        !FindDataCentre(configuration, endpoint.data_centre))
      AddFinding(findings, endpoint.place,
                 "endpoint '" + endpoint.id + "' refers to data centre '" +
                     endpoint.data_centre + "', which is not declared");
  }
  for (const Route& route : configuration.routes) {
    if (!route.service.empty() && services.count(route.service) == 0)
      AddFinding(findings, route.place,
                 "route '" + route.path_prefix + "' refers to service '" +
                     route.service + "', which no endpoint has");
  }
}

void CheckShares(const ParsedSections& sections, Findings* findings) {
  double sum = 0;
  const Place* last = nullptr;
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    const double share = sections.configuration.classes.at(i).minimum_share;
    sum += share;
    const auto& place = sections.class_places.at(i);
    if (place && share > 0)
      last = &*place;
  }
  if (last != nullptr && sum > kMaxShareSum + kShareTolerance)
    AddFinding(findings, *last,
               "the minimum shares of all classes sum up to more than 0.9");
}

void CheckFit(const Configuration& configuration, Findings* findings) {
  const Fit fit = FitItems(configuration);
  for (const Model* model : fit.no_model)
    AddFinding(findings, model->place,
               "model '" + model->name + "' (" +
                   std::to_string(model->memory_mb) +
                   " MB) does not fit the engines beside the others");
  for (const Adapter* adapter : fit.no_adapter)
    AddFinding(findings, adapter->place,
               "adapter '" + adapter->name + "' (" +
                   std::to_string(adapter->memory_mb) +
                   " MB) does not fit an engine with its model");
}

void CheckCopies(const Configuration& configuration, Findings* findings) {
  for (const Model& model : configuration.models) {
    const auto large_enough = std::count_if(
        configuration.endpoints.begin(), configuration.endpoints.end(),
        [&model](const Endpoint& endpoint) {
          return endpoint.kind == EndpointKind::kEngine &&
                 endpoint.memory_mb >= model.memory_mb;
        });
    if (large_enough > 0 && model.min_copies > large_enough)
      AddFinding(findings, model.place,
                 "model '" + model.name + "' needs " +
                     std::to_string(model.min_copies) + " copies, but only " +
                     std::to_string(large_enough) +
                     " engines are large enough for it");
  }
}

}  // namespace

void CheckSections(const ParsedSections& sections, Findings* findings) {
  const Configuration& configuration = sections.configuration;
  CheckUniqueNames(configuration, findings);
  CheckUniqueEndpoints(configuration, findings);
  CheckUniqueCallers(configuration, findings);
  CheckUniqueIrreversible(configuration, findings);
  CheckReferences(configuration, findings);
  CheckShares(sections, findings);
  CheckCopies(configuration, findings);
  CheckFit(configuration, findings);
}

}  // namespace coltsfootvane
