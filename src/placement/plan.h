#ifndef COLTSFOOTVANE_PLACEMENT_PLAN_H_
#define COLTSFOOTVANE_PLACEMENT_PLAN_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "config/configuration.h"
#include "endpoint/engine.h"
#include "placement/ledger.h"

namespace coltsfootvane {

/// The state of one engine of the region, as input of a plan.
struct PlanEndpoint {
  const Endpoint* endpoint = nullptr;
  EndpointLedger ledger;
  bool busy = false;  ///< A command may be in progress; takes no further one.
  /// Down or shutting down; its copies do not count.
  bool leaving = false;
  bool draining = false;  ///< A copy there is drained before its unload.
};

struct PlanInput {
  const Configuration* configuration = nullptr;
  std::vector<PlanEndpoint> endpoints;  ///< Sorted by endpoint id.
  /// Weighted requests waiting or running, by model or adapter.
  std::map<std::string, double> demand;
  /// Models whose need for a copy has been unmet for long enough that optional
  /// copies of others may be evicted.
  std::set<std::string, std::less<>> persistent_unmet;
  int model_load_budget = 0;    ///< Model loads that may start now.
  int adapter_load_budget = 0;  ///< Adapter loads that may start now.
  /// Limit on model loads sent to one endpoint at once, which executes them in
  /// turn.
  int max_model_batch = 1;
};

struct PlannedCommand {
  std::string endpoint_id;
  endpoint::Command command;  ///< Its fencing number is not set yet.
};

struct PlanResult {
  std::vector<PlannedCommand> commands;
  /// Models that lack a copy and for which no endpoint has free memory.
  std::vector<std::string> unmet;
  /// There is nothing to do until the input changes: all items are placed, no
  /// command was planned or postponed, and no need is unmet.
  bool settled = false;
};

/// Limit on adapter loads sent to one endpoint at once.
inline constexpr int kMaxAdapterBatch = 16;

/// Computes the commands to send now. The loads for one endpoint are either of
/// models or of adapters, since the model of an adapter has to be ready first.
/// The result is deterministic.
PlanResult MakePlan(const PlanInput& input);

/// Returns only the commands of MakePlan().
std::vector<PlannedCommand> PlanCommands(const PlanInput& input);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_H_
