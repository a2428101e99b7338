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

/// One engine of the region.
struct PlanEndpoint {
  const Endpoint* endpoint = nullptr;
  EndpointLedger ledger;
  bool busy = false;  ///< A command is in progress; it gets no other one.
  bool leaving = false;
  bool draining = false;  ///< A copy there is about to be unloaded.
};

struct PlanInput {
  const Configuration* configuration = nullptr;
  std::vector<PlanEndpoint> endpoints;  ///< Sorted by endpoint id.
  /// Weighted requests in progress, by model or adapter.
  std::map<std::string, double> demand;
  /// Models that have lacked a copy for long enough that others give way.
  std::set<std::string, std::less<>> lasting_wishes;
  int model_loads = 0;    ///< Loads that the weight store allows now.
  int adapter_loads = 0;  ///< Adapter loads that may start now.
  /// Model loads given to one endpoint at once, which carries them out in turn.
  int model_batch = 1;
};

struct Order {
  std::string endpoint_id;
  endpoint::Command command;  ///< Without a fencing number.
};

struct PlanResult {
  std::vector<Order> orders;
  /// Models that lack a copy and find no free memory.
  std::vector<std::string> wishes;
  /// The same input will yield the same, and nothing waits.
  bool settled = false;
};

/// Adapter commands given to one endpoint at once.
inline constexpr int kAdapterBatch = 16;

/// Computes the commands to send now: one model command or some adapter
/// commands per endpoint. The same input yields the same orders.
PlanResult MakePlan(const PlanInput& input);

/// Returns the orders of MakePlan().
std::vector<Order> PlanOrders(const PlanInput& input);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_H_
