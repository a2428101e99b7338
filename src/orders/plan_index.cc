#include "orders/plan_index.h"

#include <algorithm>
#include <map>

namespace coltsfootvane::orders {
namespace {

/// Added to the demand of every model, so that copies of idle models are spread
/// as well.
constexpr double kBaseDemand = 0.002;

bool Contains(const std::vector<int>& list, int item) {
  return std::find(list.begin(), list.end(), item) != list.end();
}

void AddEngine(const PlannedEngine& engine, int number, PlanIndex* index) {
  for (const int model : engine.models) {
    if (Contains(engine.retiring, model))
      continue;
    index->holders[model].push_back(number);
    if (!Contains(engine.pending, model))
      ++index->loaded[model];
  }
}

/// Changes of utilization by engine.
using Changes = std::map<int, double>;

/// Adds the effect of one copy more or less on the engines that hold the model.
void ChangeShares(const CopyPlanInput& input,
                  const PlanIndex& index,
                  int model,
                  int added,
                  Changes* changes) {
  const std::vector<int>& holders = index.holders[model];
  const double before = DemandPerCopy(input, model, holders.size());
  const double after = DemandPerCopy(input, model, holders.size() + added);
  for (const int engine : holders)
    (*changes)[engine] += after - before;
}

}  // namespace

double DemandPerCopy(const CopyPlanInput& input,
                     int model,
                     std::size_t copies) {
  return (input.models[model].demand + kBaseDemand) /
         static_cast<double>(std::max<std::size_t>(1, copies));
}

PlanIndex MakePlanIndex(const CopyPlanInput& input) {
  PlanIndex index;
  index.holders.resize(input.models.size());
  index.loaded.resize(input.models.size());
  index.utilization.resize(input.engines.size());
  for (std::size_t i = 0; i < input.engines.size(); ++i) {
    if (!input.engines[i].usable)
      continue;
    AddEngine(input.engines[i], static_cast<int>(i), &index);
  }
  for (std::size_t model = 0; model < input.models.size(); ++model) {
    const std::vector<int>& holders = index.holders[model];
    const double share =
        DemandPerCopy(input, static_cast<int>(model), holders.size());
    for (const int engine : holders)
      index.utilization[engine] += share;
  }
  return index;
}

double CostOf(const PlanIndex& index) {
  double cost = 0;
  for (const double utilization : index.utilization)
    cost += utilization * utilization;
  return cost;
}

double CostChange(const CopyPlanInput& input,
                  const PlanIndex& index,
                  const CopyMove& move) {
  Changes changes;
  const std::size_t copies = index.holders[move.load].size();
  ChangeShares(input, index, move.load, 1, &changes);
  changes[move.engine] += DemandPerCopy(input, move.load, copies + 1);
  for (const int model : move.unload) {
    const std::size_t others = index.holders[model].size() - 1;
    ChangeShares(input, index, model, -1, &changes);
    changes[move.engine] -= DemandPerCopy(input, model, others);
  }
  double change = 0;
  for (const auto& [engine, added] : changes)
    change += added * (2 * index.utilization[engine] + added);
  return change;
}

bool IsLoadedElsewhere(const CopyPlanInput& input,
                       const PlanIndex& index,
                       int engine,
                       int model) {
  const PlannedEngine& excluded = input.engines[engine];
  const bool counted = excluded.usable && Contains(excluded.models, model) &&
                       !Contains(excluded.pending, model) &&
                       !Contains(excluded.retiring, model);
  return index.loaded[model] - (counted ? 1 : 0) > 0;
}

double FreeMemory(const CopyPlanInput& input, const PlannedEngine& engine) {
  double free_mb = engine.memory_mb - engine.adapter_memory_mb;
  for (const int model : engine.models)
    free_mb -= input.models[model].memory_mb;
  return free_mb;
}

}  // namespace coltsfootvane::orders
