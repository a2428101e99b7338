#ifndef COLTSFOOTVANE_DISPATCH_POOLS_H_
#define COLTSFOOTVANE_DISPATCH_POOLS_H_

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "dispatch/pool_state.h"
#include "distribution/in_force.h"

namespace coltsfootvane::dispatch {

/// The endpoints of one pool; see docs/design.md, section 10.
struct Pool {
  std::string name;
  std::string data_centre;
  std::vector<std::string> endpoint_ids;
};

/// A pool with the endpoints in it that have an item ready.
struct PoolHolders {
  const Pool* pool = nullptr;
  std::vector<std::string> endpoint_ids;
};

/// Maps each item to the pools that hold it; built once per view.
struct Routes {
  std::shared_ptr<const InForce> view;
  std::vector<Pool> pools;
  /// By item; the pools point into `pools`.
  std::map<std::string, std::vector<PoolHolders>, std::less<>> engines;
  std::map<std::string, std::vector<PoolHolders>, std::less<>> services;
};

/// Groups the endpoints of each data centre into pools, in order of their ids.
std::vector<Pool> MakePools(const Configuration& configuration);

/// Builds the routes of `view`. `leaving` lists endpoints that are leaving in
/// addition to those in `view`.
std::shared_ptr<const Routes> MakeRoutes(std::shared_ptr<const InForce> view,
                                         const std::set<std::string>& leaving);

/// Returns the pool `name`, or null.
const Pool* FindPool(const Routes& routes, std::string_view name);

/// Returns the pools with a holder of `item` that is not leaving.
const std::vector<PoolHolders>& FindHolders(const Routes& routes,
                                            EndpointKind kind,
                                            std::string_view item);

/// Updates endpoints, limits, classes and holders of `state` from `view`. Slots
/// and queues are kept.
void SyncPool(PoolState& state,
              const Pool& pool,
              const InForce& view,
              const std::set<std::string>& leaving,
              TimePoint now);

/// Returns the daemon with the highest rendezvous hash for `pool_name` among
/// `member_ids`, or an empty string if there are none.
std::string ChooseDispatcher(const std::vector<std::string>& member_ids,
                             std::string_view pool_name);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_POOLS_H_
