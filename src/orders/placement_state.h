#ifndef COLTSFOOTVANE_ORDERS_PLACEMENT_STATE_H_
#define COLTSFOOTVANE_ORDERS_PLACEMENT_STATE_H_

#include <string>
#include <vector>

#include "orders/copy_plan.h"

namespace coltsfootvane::orders {

/// A model with the copies that it has.
struct ModelCopies {
  std::string name;
  double demand = 0;  ///< Number of engines that it keeps busy.
  int loaded = 0;
  int loading = 0;
};

/// What the plan has to work with, in figures for a log line.
struct PlacementState {
  int engines = 0;  ///< Usable ones.
  int busy = 0;     ///< Of these, those that execute an order.
  /// Of these, those that have no room for another model and hold nothing but
  /// models that no other engine has loaded.
  int without_choice = 0;
  double most_utilized = 0;  ///< Utilization of the busiest engine.
  double mean_utilization = 0;
  std::vector<ModelCopies> shortest;  ///< Most demand for each copy first.
};

/// Summarizes the input of a plan, with at most `max_models` models.
PlacementState DescribePlacement(const CopyPlanInput& input,
                                 std::size_t max_models);

/// Returns the state as `key=value` pairs.
std::string FormatPlacementState(const PlacementState& state);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_PLACEMENT_STATE_H_
