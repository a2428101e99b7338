#include "orders/placement_state.h"

#include <algorithm>
#include <cstdio>

namespace coltsfootvane::orders {
namespace {

bool Contains(const std::vector<int>& list, int item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

std::vector<ModelCopies> CountCopies(const CopyPlanInput& input) {
  std::vector<ModelCopies> models;
  for (const PlannedModel& model : input.models)
    models.push_back({model.name, model.demand, 0, 0});
  for (const PlannedEngine& engine : input.engines) {
    if (!engine.usable)
      continue;
    for (const int model : engine.models) {
      if (Contains(engine.retiring, model))
        continue;
      int& count = Contains(engine.pending, model) ? models[model].loading
                                                   : models[model].loaded;
      ++count;
    }
  }
  return models;
}

bool HasChoice(const CopyPlanInput& input,
               const PlannedEngine& engine,
               const std::vector<ModelCopies>& models) {
  double free_mb = engine.memory_mb - engine.adapter_memory_mb;
  double smallest_mb = engine.memory_mb;
  for (const PlannedModel& model : input.models)
    smallest_mb = std::min(smallest_mb, model.memory_mb);
  for (const int model : engine.models) {
    if (models[model].loaded > 1)
      return true;
    free_mb -= input.models[model].memory_mb;
  }
  return free_mb >= smallest_mb;
}

double DemandPerCopy(const ModelCopies& model) {
  return model.demand / std::max(1, model.loaded + model.loading);
}

}  // namespace

PlacementState DescribePlacement(const CopyPlanInput& input,
                                 std::size_t max_models) {
  PlacementState state;
  state.shortest = CountCopies(input);
  double sum = 0;
  for (const PlannedEngine& engine : input.engines) {
    if (!engine.usable)
      continue;
    ++state.engines;
    state.busy += engine.busy ? 1 : 0;
    state.without_choice += HasChoice(input, engine, state.shortest) ? 0 : 1;
    double utilization = 0;
    for (const int model : engine.models)
      utilization += DemandPerCopy(state.shortest[model]);
    state.most_utilized = std::max(state.most_utilized, utilization);
    sum += utilization;
  }
  state.mean_utilization = sum / std::max(1, state.engines);
  std::stable_sort(state.shortest.begin(), state.shortest.end(),
                   [](const ModelCopies& a, const ModelCopies& b) {
                     return DemandPerCopy(a) > DemandPerCopy(b);
                   });
  state.shortest.resize(std::min(state.shortest.size(), max_models));
  return state;
}

std::string FormatPlacementState(const PlacementState& state) {
  char text[160];
  std::snprintf(text, sizeof(text),
                "engines=%d busy=%d without_choice=%d most=%.2f mean=%.2f",
                state.engines, state.busy, state.without_choice,
                state.most_utilized, state.mean_utilization);
  std::string formatted = text;
  formatted.append(" models=");
  for (const ModelCopies& model : state.shortest) {
    std::snprintf(text, sizeof(text), "%s%s:%.2f/%d/%d",
                  &model == state.shortest.data() ? "" : ",",
                  model.name.c_str(), model.demand, model.loaded,
                  model.loading);
    formatted.append(text);
  }
  return formatted;
}

}  // namespace coltsfootvane::orders
