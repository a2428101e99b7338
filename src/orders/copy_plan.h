#ifndef COLTSFOOTVANE_ORDERS_COPY_PLAN_H_
#define COLTSFOOTVANE_ORDERS_COPY_PLAN_H_

#include <optional>
#include <string>
#include <vector>

namespace coltsfootvane::orders {

/// A declared model with the demand for it.
struct PlannedModel {
  std::string name;
  double memory_mb = 0;
  double demand = 0;  ///< Number of engines that it keeps busy.
  double store_load_s = 0;
  double disk_load_s = 0;
  double memory_load_s = 0;
};

/// Where an engine loads the weights of a model from.
enum class WeightSource { kMemory, kDisk, kStore };

/// An engine as it will be once the orders sent to it are done.
struct PlannedEngine {
  std::string id;
  double memory_mb = 0;          ///< For weights of models and adapters.
  double adapter_memory_mb = 0;  ///< Taken by adapters.
  bool usable = true;          ///< Neither gone nor draining; its copies count.
  bool busy = false;           ///< Executes an order; it gets no other one.
  std::vector<int> models;     ///< Indices of those loaded or being loaded.
  std::vector<int> pending;    ///< Indices of those in `models` not loaded yet.
  std::vector<int> retiring;   ///< Indices of those about to be unloaded.
  std::vector<int> in_memory;  ///< Indices of those with weights in its memory.
  std::vector<int> on_disk;    ///< Indices of those with weights on its disk.
};

/// A load, preceded by the unload of another model if that is needed to make
/// room.
struct CopyMove {
  int engine = -1;
  int load = -1;
  std::vector<int> unload;  ///< One model at most.
  WeightSource source = WeightSource::kStore;
};

struct CopyPlanInput {
  std::vector<PlannedModel> models;
  std::vector<PlannedEngine> engines;
  bool store_load_allowed = true;  ///< By the rate limit of the weight store.
};

/// Returns where the engine would load the model from.
WeightSource SourceOf(const PlannedEngine& engine, int model);

/// Returns the cost of the present copies. It is the sum of the squares of the
/// engines' work, so that uneven work costs more.
double PlanCost(const CopyPlanInput& input);

/// Chooses the next move: a model without a copy first, then the copy that
/// lowers the cost most, if by more than its load costs. Never unloads the last
/// copy of a model. Copies follow demand, since a model that was rarely
/// requested can receive most of the requests within seconds.
std::optional<CopyMove> NextMove(const CopyPlanInput& input);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_COPY_PLAN_H_
