#include "config/fit.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace coltsfootvane {
namespace {

/// A model with its adapters, largest first.
struct Group {
  const Model* model = nullptr;
  std::vector<const Adapter*> adapters;
  std::int64_t total_mb = 0;
};

std::vector<Group> MakeGroups(const Configuration& configuration) {
  std::vector<Group> groups;
  std::set<std::string_view> names;
  for (const Model& model : configuration.models) {
    if (!names.insert(model.name).second)
      continue;
    Group group{&model, {}, model.memory_mb};
    for (const Adapter& adapter : configuration.adapters) {
      if (adapter.model != model.name)
        continue;
      group.adapters.push_back(&adapter);
      group.total_mb += adapter.memory_mb;
    }
    std::stable_sort(group.adapters.begin(), group.adapters.end(),
                     [](const Adapter* left, const Adapter* right) {
                       return left->memory_mb > right->memory_mb;
                     });
    groups.push_back(std::move(group));
  }
  std::stable_sort(groups.begin(), groups.end(),
                   [](const Group& left, const Group& right) {
                     return left.total_mb > right.total_mb;
                   });
  return groups;
}

std::vector<EngineFit> MakeEngines(const Configuration& configuration) {
  std::vector<EngineFit> engines;
  for (const Endpoint& endpoint : configuration.endpoints) {
    if (endpoint.kind == EndpointKind::kEngine)
      engines.push_back(EngineFit{endpoint.id, endpoint.memory_mb, {}});
  }
  std::stable_sort(engines.begin(), engines.end(),
                   [](const EngineFit& left, const EngineFit& right) {
                     return left.free_mb < right.free_mb;
                   });
  return engines;
}

bool Holds(const EngineFit& engine, const std::string& item) {
  return std::find(engine.items.begin(), engine.items.end(), item) !=
         engine.items.end();
}

void Put(EngineFit* engine, const std::string& item, std::int64_t memory_mb) {
  engine->items.push_back(item);
  engine->free_mb -= memory_mb;
}

/// Returns the first engine with room for `memory_mb` that holds `model`, or
/// does not hold it if `holding` is false. Returns null if there is none.
EngineFit* FirstWithRoom(std::vector<EngineFit>* engines,
                         std::int64_t memory_mb,
                         const std::string& model,
                         bool holding) {
  for (EngineFit& engine : *engines) {
    if (engine.free_mb >= memory_mb && Holds(engine, model) == holding)
      return &engine;
  }
  return nullptr;
}

/// Places `adapter` beside a copy of its model, or with a further copy.
bool PutAdapter(const Model& model, const Adapter& adapter, Fit* fit) {
  EngineFit* engine =
      FirstWithRoom(&fit->engines, adapter.memory_mb, model.name, true);
  if (engine == nullptr) {
    engine = FirstWithRoom(&fit->engines, model.memory_mb + adapter.memory_mb,
                           model.name, false);
    if (engine == nullptr)
      return false;
    Put(engine, model.name, model.memory_mb);
  }
  Put(engine, adapter.name, adapter.memory_mb);
  return true;
}

void PutGroup(const Group& group, Fit* fit) {
  const Model& model = *group.model;
  EngineFit* engine =
      FirstWithRoom(&fit->engines, group.total_mb, model.name, false);
  const std::int64_t first_adapter_mb =
      group.adapters.empty() ? 0 : group.adapters.front()->memory_mb;
  if (engine == nullptr)
    engine = FirstWithRoom(&fit->engines, model.memory_mb + first_adapter_mb,
                           model.name, false);
  if (engine == nullptr)
    engine = FirstWithRoom(&fit->engines, model.memory_mb, model.name, false);
  if (engine == nullptr) {
    fit->no_model.push_back(&model);
    return;
  }
  Put(engine, model.name, model.memory_mb);
  for (const Adapter* adapter : group.adapters) {
    if (!PutAdapter(model, *adapter, fit))
      fit->no_adapter.push_back(adapter);
  }
}

}  // namespace

Fit FitItems(const Configuration& configuration) {
  Fit fit;
  fit.engines = MakeEngines(configuration);
  for (const Group& group : MakeGroups(configuration))
    PutGroup(group, &fit);
  return fit;
}

}  // namespace coltsfootvane
