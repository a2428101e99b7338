#include "orders/copy_plan.h"

#include <algorithm>
#include <limits>
#include <utility>

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
/// Added to the demand of every model, so that copies of idle models are spread
/// as well.
constexpr double kBaseDemand = 0.002;

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

/// Counts the copies of each model, without those that are retiring.
std::vector<int> CountCopies(const CopyPlanInput& input) {
  std::vector<int> copies(input.models.size(), 0);
  for (const PlannedEngine& engine : input.engines) {
    if (!engine.usable)
      continue;
    for (const int model : engine.models) {
      if (!Contains(engine.retiring, model))
        ++copies[model];
    }
  }
  return copies;
}

/// Returns whether an engine other than `excluded` has the model loaded and
/// does not retire it.
bool IsLoadedElsewhere(const CopyPlanInput& input,
                       const PlannedEngine& excluded,
                       int model) {
  return std::any_of(input.engines.begin(), input.engines.end(),
                     [&](const PlannedEngine& engine) {
                       return &engine != &excluded && engine.usable &&
                              Contains(engine.models, model) &&
                              !Contains(engine.pending, model) &&
                              !Contains(engine.retiring, model);
                     });
}

double DemandOf(const CopyPlanInput& input, int model) {
  return input.models[model].demand + kBaseDemand;
}

double CostOfCopies(const CopyPlanInput& input,
                    const std::vector<int>& copies) {
  double cost = 0;
  for (const PlannedEngine& engine : input.engines) {
    if (!engine.usable)
      continue;
    double utilization = 0;
    for (const int model : engine.models) {
      if (!Contains(engine.retiring, model))
        utilization += DemandOf(input, model) / std::max(1, copies[model]);
    }
    cost += utilization * utilization;
  }
  return cost;
}

double FreeMemory(const CopyPlanInput& input, const PlannedEngine& engine) {
  double free_mb = engine.memory_mb - engine.adapter_memory_mb;
  for (const int model : engine.models)
    free_mb -= input.models[model].memory_mb;
  return free_mb;
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
                                            const PlannedEngine& engine,
                                            int model) {
  const double free_mb = FreeMemory(input, engine);
  const double needed_mb = input.models[model].memory_mb;
  if (free_mb >= needed_mb)
    return {{}};
  std::vector<std::vector<int>> options;
  for (const int victim : engine.models) {
    if (free_mb + input.models[victim].memory_mb >= needed_mb &&
        IsLoadedElsewhere(input, engine, victim))
      options.push_back({victim});
  }
  return options;
}

/// Returns the cost of the copies once the move is done.
double CostAfter(CopyPlanInput input, const CopyMove& move) {
  PlannedEngine& engine = input.engines[move.engine];
  engine.models.push_back(move.load);
  engine.retiring.insert(engine.retiring.end(), move.unload.begin(),
                         move.unload.end());
  return CostOfCopies(input, CountCopies(input));
}

double UnloadCost(const CopyPlanInput& input,
                  const std::vector<int>& copies,
                  const std::vector<int>& unload) {
  double cost = 0;
  for (const int model : unload)
    cost += kUnloadCost * input.models[model].demand / copies[model];
  return cost;
}

struct BestMove {
  std::optional<CopyMove> move;
  double cost = std::numeric_limits<double>::max();
};

void ConsiderModel(const CopyPlanInput& input,
                   const std::vector<int>& copies,
                   int model,
                   BestMove* best) {
  for (std::size_t i = 0; i < input.engines.size(); ++i) {
    const PlannedEngine& engine = input.engines[i];
    if (!CanLoad(input, engine, model))
      continue;
    for (auto& unload : UnloadOptions(input, engine, model)) {
      CopyMove move{static_cast<int>(i), model, unload,
                    SourceOf(engine, model)};
      const double cost = CostAfter(input, move) + SourceCost(move.source) +
                          UnloadCost(input, copies, unload);
      if (cost >= best->cost)
        continue;
      best->cost = cost;
      best->move = std::move(move);
    }
  }
}

/// Returns the models with the most demand per copy: they gain most from
/// another copy.
std::vector<int> BusiestModels(const CopyPlanInput& input,
                               const std::vector<int>& copies) {
  constexpr std::size_t kMaxModels = 4;
  std::vector<int> models;
  for (std::size_t i = 0; i < input.models.size(); ++i)
    models.push_back(static_cast<int>(i));
  const auto per_copy = [&](int model) {
    return DemandOf(input, model) / std::max(1, copies[model]);
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
  return CostOfCopies(input, CountCopies(input));
}

std::optional<CopyMove> NextMove(const CopyPlanInput& input) {
  const std::vector<int> copies = CountCopies(input);
  for (std::size_t model = 0; model < input.models.size(); ++model) {
    if (copies[model] > 0)
      continue;
    BestMove best;
    ConsiderModel(input, copies, static_cast<int>(model), &best);
    if (best.move)
      return best.move;
  }
  BestMove best;
  best.cost = PlanCost(input);
  for (const int model : BusiestModels(input, copies))
    ConsiderModel(input, copies, model, &best);
  return best.move;
}

}  // namespace coltsfootvane::orders
