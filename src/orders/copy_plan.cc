#include "orders/copy_plan.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "orders/plan_index.h"

namespace coltsfootvane::orders {
namespace {

/// Cost of a load, by the source of the weights. A copy has to lower the cost
/// of the plan by more than this.
constexpr double kMemoryLoadCost = 0.01;
constexpr double kDiskLoadCost = 0.02;
constexpr double kStoreLoadCost = 0.06;
/// Cost of unloading a copy, per engine that it keeps busy: the load that takes
/// its place waits until the requests running on the copy have ended.
constexpr double kUnloadCost = 0.15;

bool Contains(const std::vector<int>& list, int item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

double SourceCost(WeightSource source) {
  switch (source) {
    case WeightSource::kMemory:
      return kMemoryLoadCost;
    case WeightSource::kDisk:
      return kDiskLoadCost;
    case WeightSource::kStore:
      return kStoreLoadCost;
  }
  return kStoreLoadCost;
}

bool CanLoad(const CopyPlanInput& input,
             const PlannedEngine& engine,
             int model) {
  return engine.usable && !engine.busy && engine.retiring.empty() &&
         !Contains(engine.models, model) &&
         (input.store_load_allowed ||
          SourceOf(engine, model) != WeightSource::kStore);
}

/// Returns the sets of models whose unload makes room for a load: the empty set
/// if the model fits, else single models that another engine serves. A copy
/// that is still being loaded there does not count.
std::vector<std::vector<int>> UnloadOptions(const CopyPlanInput& input,
                                            const PlanIndex& index,
                                            int engine,
                                            int model) {
  const PlannedEngine& candidate = input.engines[engine];
  const double free_mb = FreeMemory(input, candidate);
  const double needed_mb = input.models[model].memory_mb;
  if (free_mb >= needed_mb)
    return {{}};
  std::vector<std::vector<int>> options;
  for (const int victim : candidate.models) {
    if (free_mb + input.models[victim].memory_mb >= needed_mb &&
        IsLoadedElsewhere(input, index, engine, victim))
      options.push_back({victim});
  }
  return options;
}

double UnloadCost(const CopyPlanInput& input,
                  const PlanIndex& index,
                  const std::vector<int>& unload) {
  double cost = 0;
  for (const int model : unload)
    cost += kUnloadCost * input.models[model].demand /
            static_cast<double>(index.holders[model].size());
  return cost;
}

struct BestMove {
  std::optional<CopyMove> move;
  /// Change of the plan's cost, with the costs of the load and of the unload.
  double cost = std::numeric_limits<double>::max();
};

void ConsiderEngine(const CopyPlanInput& input,
                    const PlanIndex& index,
                    int engine,
                    int model,
                    BestMove* best) {
  const PlannedEngine& candidate = input.engines[engine];
  if (!CanLoad(input, candidate, model))
    return;
  for (auto& unload : UnloadOptions(input, index, engine, model)) {
    CopyMove move{engine, model, std::move(unload), SourceOf(candidate, model)};
    const double cost = CostChange(input, index, move) +
                        SourceCost(move.source) +
                        UnloadCost(input, index, move.unload);
    if (cost >= best->cost)
      continue;
    best->cost = cost;
    best->move = std::move(move);
  }
}

void ConsiderModel(const CopyPlanInput& input,
                   const PlanIndex& index,
                   int model,
                   BestMove* best) {
  for (std::size_t i = 0; i < input.engines.size(); ++i)
    ConsiderEngine(input, index, static_cast<int>(i), model, best);
}

/// Returns the models with the most demand per copy: they gain most from
/// another copy.
std::vector<int> BusiestModels(const CopyPlanInput& input,
                               const PlanIndex& index) {
  constexpr std::size_t kMaxModels = 4;
  std::vector<int> models;
  for (std::size_t i = 0; i < input.models.size(); ++i)
    models.push_back(static_cast<int>(i));
  const auto per_copy = [&](int model) {
    return DemandPerCopy(input, model, index.holders[model].size());
  };
  std::stable_sort(models.begin(), models.end(),
                   [&](int a, int b) { return per_copy(a) > per_copy(b); });
  models.resize(std::min(models.size(), kMaxModels));
  return models;
}

}  // namespace

WeightSource SourceOf(const PlannedEngine& engine, int model) {
  if (Contains(engine.in_memory, model))
    return WeightSource::kMemory;
  if (Contains(engine.on_disk, model))
    return WeightSource::kDisk;
  return WeightSource::kStore;
}

double PlanCost(const CopyPlanInput& input) {
  return CostOf(MakePlanIndex(input));
}

std::optional<CopyMove> NextMove(const CopyPlanInput& input) {
  const PlanIndex index = MakePlanIndex(input);
  for (std::size_t model = 0; model < input.models.size(); ++model) {
    if (!index.holders[model].empty())
      continue;
    BestMove best;
    ConsiderModel(input, index, static_cast<int>(model), &best);
    if (best.move)
      return best.move;
  }
  BestMove best;
  best.cost = 0;
  for (const int model : BusiestModels(input, index))
    ConsiderModel(input, index, model, &best);
  return best.move;
}

}  // namespace coltsfootvane::orders
