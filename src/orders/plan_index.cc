#include "orders/plan_index.h"

#include <algorithm>
#include <gsl/span>

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

/// The engines that hold a model, and by how much the utilization of each
/// changes with one copy more or less.
struct ShareChange {
  gsl::span<const int> holders;  ///< Ascending.
  double added = 0;
};

ShareChange ChangeOfShares(const CopyPlanInput& input,
                           const PlanIndex& index,
                           int model,
                           int added_copies) {
  const std::vector<int>& holders = index.holders[model];
  return {holders, DemandPerCopy(input, model, holders.size() + added_copies) -
                       DemandPerCopy(input, model, holders.size())};
}

/// Takes the next holder if it is `engine`.
bool TakeNext(ShareChange* shares, int engine) {
  if (shares->holders.empty() || shares->holders[0] != engine)
    return false;
  shares->holders = shares->holders.subspan(1);
  return true;
}

int FirstOr(const ShareChange& shares, int engine) {
  return shares.holders.empty() ? engine : shares.holders[0];
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
  ShareChange loaded = ChangeOfShares(input, index, move.load, 1);
  const double added_here =
      DemandPerCopy(input, move.load, loaded.holders.size() + 1);
  ShareChange unloaded;
  double removed_here = 0;
  if (!move.unload.empty()) {
    const int model = move.unload.front();
    unloaded = ChangeOfShares(input, index, model, -1);
    removed_here = DemandPerCopy(input, model, unloaded.holders.size() - 1);
  }
  const int end = static_cast<int>(input.engines.size());
  double change = 0;
  bool here_done = false;
  while (true) {
    const int engine = std::min({FirstOr(loaded, end), FirstOr(unloaded, end),
                                 here_done ? end : move.engine});
    if (engine == end)
      return change;
    const bool here = engine == move.engine;
    here_done = here_done || here;
    double added = TakeNext(&loaded, engine) ? loaded.added : 0;
    added += here ? added_here : 0;
    added += TakeNext(&unloaded, engine) ? unloaded.added : 0;
    added -= here ? removed_here : 0;
    change += added * (2 * index.utilization[engine] + added);
  }
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
