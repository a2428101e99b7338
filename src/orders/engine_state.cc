#include "orders/engine_state.h"

#include <algorithm>

namespace coltsfootvane::orders {
namespace {

std::string ModelOf(const std::string& adapter_name) {
  return adapter_name.substr(0, adapter_name.find('/'));
}

int IndexOf(const gateway::EngineSpec& spec, const std::string& model) {
  const gateway::EngineModel* const found = FindModel(spec, model);
  return found == nullptr ? -1 : static_cast<int>(found - spec.models.data());
}

template <class Names>
std::vector<int> IndicesOf(const gateway::EngineSpec& spec,
                           const Names& names) {
  std::vector<int> indices;
  for (const std::string& name : names) {
    const int index = IndexOf(spec, name);
    if (index >= 0)
      indices.push_back(index);
  }
  return indices;
}

double ModelMemory(const std::set<std::string>& names,
                   const gateway::EngineSpec& spec) {
  double memory_mb = 0;
  for (const std::string& name : names) {
    const gateway::EngineModel* const model = FindModel(spec, name);
    memory_mb += model == nullptr ? 0 : model->memory_mb;
  }
  return memory_mb;
}

bool Lists(const EngineReport& report, const std::string& adapter_name) {
  for (const gateway::LoadedModel& model : report.models) {
    for (const std::string& adapter : model.adapters) {
      if (gateway::AdapterName(model.name, adapter) == adapter_name)
        return true;
    }
  }
  return false;
}

bool IsOutdated(const EngineState& engine, const EngineReport& report) {
  if (engine.known)
    return report.sequence < engine.sequence;
  if (engine.outdated_reports >= kMaxOutdatedReports)
    return false;
  // A report of the same sequence may be from before the unload.
  return report.sequence < engine.sequence ||
         (report.sequence == engine.sequence &&
          Lists(report, engine.unloaded_adapter));
}

}  // namespace

bool MayBeCalled(const EngineState& engine, TimePoint now) {
  return TakesNewWork(*engine.endpoint) && !IsPaused(*engine.endpoint, now);
}

bool Serves(const EngineState& engine, const std::string& model) {
  return engine.known && TakesNewWork(*engine.endpoint) &&
         engine.models.count(model) > 0 && engine.unloading != model;
}

bool AnnouncesCompletion(const EngineState& engine) {
  if (!engine.loading.empty())
    return FindLoaded(*engine.endpoint, engine.loading) != nullptr;
  return engine.unload_sent &&
         FindLoaded(*engine.endpoint, engine.unloading) == nullptr;
}

bool ApplyReport(EngineState* engine, const EngineReport& report) {
  if (IsOutdated(*engine, report)) {
    if (!engine->known)
      ++engine->outdated_reports;
    return false;
  }
  engine->outdated_reports = 0;
  engine->unloaded_adapter.clear();
  engine->known = true;
  engine->sequence = report.sequence;
  engine->executing_order = report.busy;
  engine->models.clear();
  engine->adapters.clear();
  for (const gateway::LoadedModel& model : report.models) {
    engine->models.insert(model.name);
    for (const std::string& adapter : model.adapters)
      engine->adapters.insert(gateway::AdapterName(model.name, adapter));
  }
  engine->adapters.insert(report.pending_adapters.begin(),
                          report.pending_adapters.end());
  if (report.busy)
    return true;
  engine->loading.clear();
  if (engine->unload_sent) {
    engine->unloading.clear();
    engine->unload_sent = false;
  }
  return true;
}

void ApplyAdapterUnload(EngineState* engine,
                        const std::string& adapter_name,
                        OrderResult result) {
  engine->known = false;
  if (result == OrderResult::kHoldsAlready)
    engine->unloaded_adapter = adapter_name;
}

double AdapterMemory(const EngineState& engine,
                     const gateway::EngineSpec& spec) {
  double memory_mb = 0;
  for (const std::string& name : engine.adapters) {
    const gateway::EngineModel* const model = FindModel(spec, ModelOf(name));
    memory_mb += model == nullptr ? 0 : model->adapter_memory_mb;
  }
  return memory_mb;
}

bool AdapterFits(const EngineState& engine,
                 const gateway::EngineSpec& spec,
                 const std::string& model_name) {
  if (static_cast<int>(engine.adapters.size()) >= spec.adapter_slots)
    return false;
  const gateway::EngineModel* const model = FindModel(spec, model_name);
  if (model == nullptr)
    return false;
  std::set<std::string> current_models = engine.models;
  current_models.insert(engine.loading);
  std::set<std::string> future_models = current_models;
  future_models.erase(engine.unloading);
  future_models.insert(engine.next_load);
  const double peak_mb = std::max(ModelMemory(current_models, spec),
                                  ModelMemory(future_models, spec));
  return peak_mb + AdapterMemory(engine, spec) + model->adapter_memory_mb <=
         spec.memory_mb;
}

PlannedEngine ToPlannedEngine(const EngineState& engine,
                              const gateway::EngineSpec& spec,
                              TimePoint now) {
  PlannedEngine planned;
  const gateway::EndpointEntry& entry = engine.endpoint->entry;
  planned.id = entry.id;
  planned.memory_mb = spec.memory_mb;
  planned.adapter_memory_mb = AdapterMemory(engine, spec);
  planned.usable = TakesNewWork(*engine.endpoint);
  planned.busy =
      engine.IsBusy() || engine.call_in_progress || !MayBeCalled(engine, now);
  // Before the first report only the announcement shows which copies exist.
  std::set<std::string> models = engine.models;
  if (!engine.known) {
    for (const gateway::LoadedModel& announced : entry.models)
      models.insert(announced.name);
  }
  planned.models = IndicesOf(spec, models);
  for (const std::string& pending_model : {engine.loading, engine.next_load}) {
    const int index = IndexOf(spec, pending_model);
    if (index < 0 || models.count(pending_model) > 0)
      continue;
    planned.models.push_back(index);
    planned.pending.push_back(index);
  }
  const int retiring = IndexOf(spec, engine.unloading);
  if (retiring >= 0)
    planned.retiring.push_back(retiring);
  planned.in_memory = IndicesOf(spec, entry.cached_in_memory);
  planned.on_disk = IndicesOf(spec, entry.cached_on_disk);
  return planned;
}

}  // namespace coltsfootvane::orders
