#ifndef COLTSFOOTVANE_DISPATCH_POOLS_H_
#define COLTSFOOTVANE_DISPATCH_POOLS_H_

#include <map>
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

/// A pool that holds an item ready, with its holders.
struct PoolHolders {
  const Pool* pool = nullptr;
  std::vector<std::string> endpoint_ids;
};

std::vector<Pool> MakePools(const Configuration& configuration);

/// Returns whether `endpoint` can serve `item` according to `view`.
bool HoldsItem(const InForce& view,
               const Endpoint& endpoint,
               std::string_view item);

/// Returns the pools with at least one holder of `item` that is not leaving.
std::vector<PoolHolders> FindPoolHolders(const InForce& view,
                                         const std::vector<Pool>& pools,
                                         std::string_view item,
                                         EndpointKind kind);

/// Updates endpoints, limits, classes and holders of `state` from `view`. Slots
/// and queues are kept.
void SyncPool(PoolState& state,
              const Pool& pool,
              const InForce& view,
              TimePoint now);

/// Returns the member with the highest rendezvous hash for `pool_name`, or an
/// empty string if there is none.
std::string ChooseDispatcher(const std::vector<std::string>& member_ids,
                             std::string_view pool_name);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_POOLS_H_
