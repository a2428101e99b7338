#ifndef COLTSFOOTVANE_ORDERS_PLAN_INDEX_H_
#define COLTSFOOTVANE_ORDERS_PLAN_INDEX_H_

#include <vector>

#include "orders/copy_plan.h"

namespace coltsfootvane::orders {

/// Sums over a plan, so that the effect of a move is found without looking at
/// all engines and models. Copies that are retiring and those on engines that
/// are not usable are left out.
struct PlanIndex {
  std::vector<std::vector<int>> holders;  ///< Engines with a copy, by model.
  std::vector<int> loaded;  ///< Copies that are loaded already, by model.
  std::vector<double> utilization;  ///< By engine.
};

PlanIndex MakePlanIndex(const CopyPlanInput& input);

/// Returns the demand for a model that each of `copies` copies carries.
double DemandPerCopy(const CopyPlanInput& input, int model, std::size_t copies);

/// Returns the cost of all copies: the sum of the squares of the engines'
/// utilization, so that uneven work costs more.
double CostOf(const PlanIndex& index);

/// Returns by how much a move changes the cost. The time taken grows with the
/// copies of the models moved, not with the engines.
double CostChange(const CopyPlanInput& input,
                  const PlanIndex& index,
                  const CopyMove& move);

/// Returns whether an engine other than `engine` has the model loaded.
bool IsLoadedElsewhere(const CopyPlanInput& input,
                       const PlanIndex& index,
                       int engine,
                       int model);

/// Returns the memory that an engine has left, in MB.
double FreeMemory(const CopyPlanInput& input, const PlannedEngine& engine);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_PLAN_INDEX_H_
