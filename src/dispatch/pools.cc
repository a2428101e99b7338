#include "dispatch/pools.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane::dispatch {
namespace {

constexpr std::size_t kMaxEndpointsPerPool = 32;

bool IsLeaving(const InForce& view,
               const std::set<std::string>& leaving,
               const std::string& endpoint_id) {
  if (view.leaving.count(endpoint_id) > 0 || leaving.count(endpoint_id) > 0)
    return true;
  const EndpointPlacement* placement =
      FindPlacement(view.placement, endpoint_id);
  return placement != nullptr && placement->leaving;
}

void SyncEndpoint(EndpointState& state,
                  const Endpoint& endpoint,
                  bool leaving,
                  TimePoint now) {
  const bool is_new = state.id.empty();
  state.id = endpoint.id;
  state.kind = endpoint.kind;
  SetLeaving(state, leaving, now);
  if (!is_new && state.slots == endpoint.slots)
    return;
  state.slots = endpoint.slots;
  state.limit.limit = std::max(1, endpoint.slots);
}

void SyncHolders(PoolState& state,
                 const Endpoint& endpoint,
                 const InForce& view) {
  if (endpoint.kind == EndpointKind::kService) {
    state.holders[endpoint.service].push_back(endpoint.id);
    return;
  }
  const EndpointPlacement* placement =
      FindPlacement(view.placement, endpoint.id);
  if (placement == nullptr)
    return;
  for (const std::string& item : placement->ready)
    state.holders[item].push_back(endpoint.id);
}

void AddHolder(std::vector<PoolHolders>& holders,
               const Pool& pool,
               const std::string& endpoint_id) {
  if (holders.empty() || holders.back().pool != &pool)
    holders.push_back({&pool, {}});
  holders.back().endpoint_ids.push_back(endpoint_id);
}

void AddRoutes(Routes& routes, const Pool& pool, const Endpoint& endpoint) {
  if (endpoint.kind == EndpointKind::kService) {
    AddHolder(routes.services[endpoint.service], pool, endpoint.id);
    return;
  }
  const EndpointPlacement* placement =
      FindPlacement(routes.view->placement, endpoint.id);
  if (placement == nullptr)
    return;
  for (const std::string& item : placement->ready)
    AddHolder(routes.engines[item], pool, endpoint.id);
}

}  // namespace

std::vector<Pool> MakePools(const Configuration& configuration) {
  std::map<std::string, std::set<std::string>> by_data_centre;
  for (const Endpoint& endpoint : configuration.endpoints)
    by_data_centre[endpoint.data_centre].insert(endpoint.id);
  std::vector<Pool> pools;
  for (const auto& [data_centre, ids] : by_data_centre) {
    std::size_t index = 0;
    for (const std::string& id : ids) {
      if (index % kMaxEndpointsPerPool == 0) {
        std::string name = data_centre;
        name += '/';
        name += std::to_string(index / kMaxEndpointsPerPool);
        pools.push_back({std::move(name), data_centre, {}});
      }
      pools.back().endpoint_ids.push_back(id);
      ++index;
    }
  }
  return pools;
}

std::shared_ptr<const Routes> MakeRoutes(std::shared_ptr<const InForce> view,
                                         const std::set<std::string>& leaving) {
  auto routes = std::make_shared<Routes>();
  routes->view = std::move(view);
  routes->pools = MakePools(routes->view->configuration);
  std::map<std::string_view, const Endpoint*> endpoints;
  for (const Endpoint& endpoint : routes->view->configuration.endpoints)
    endpoints[endpoint.id] = &endpoint;
  for (const Pool& pool : routes->pools) {
    for (const std::string& id : pool.endpoint_ids) {
      if (!IsLeaving(*routes->view, leaving, id))
        AddRoutes(*routes, pool, *endpoints[id]);
    }
  }
  return routes;
}

const Pool* FindPool(const Routes& routes, std::string_view name) {
  for (const Pool& pool : routes.pools) {
    if (pool.name == name)
      return &pool;
  }
  return nullptr;
}

const std::vector<PoolHolders>& FindHolders(const Routes& routes,
                                            EndpointKind kind,
                                            std::string_view item) {
  static const std::vector<PoolHolders> none;
  const auto& items =
      kind == EndpointKind::kService ? routes.services : routes.engines;
  const auto found = items.find(item);
  return found == items.end() ? none : found->second;
}

void SyncPool(PoolState& state,
              const Pool& pool,
              const InForce& view,
              const std::set<std::string>& leaving,
              TimePoint now) {
  state.name = pool.name;
  const std::set<std::string> pool_endpoint_ids(pool.endpoint_ids.begin(),
                                                pool.endpoint_ids.end());
  for (auto it = state.endpoints.begin(); it != state.endpoints.end();)
    it = pool_endpoint_ids.count(it->first) > 0 ? std::next(it)
                                                : state.endpoints.erase(it);
  state.holders.clear();
  for (const Endpoint& endpoint : view.configuration.endpoints) {
    if (pool_endpoint_ids.count(endpoint.id) == 0)
      continue;
    EndpointState& endpoint_state = state.endpoints[endpoint.id];
    if (endpoint_state.id.empty())
      endpoint_state.limit.next_adjustment = now;
    SyncEndpoint(endpoint_state, endpoint,
                 IsLeaving(view, leaving, endpoint.id), now);
    SyncHolders(state, endpoint, view);
  }
  for (std::size_t i = 0; i < kPriorityCount; ++i)
    state.classes[i].settings = view.configuration.classes[i];
}

std::string ChooseDispatcher(const std::vector<std::string>& member_ids,
                             std::string_view pool_name) {
  const std::uint64_t seed = Hash64(pool_name);
  std::string best;
  std::uint64_t best_hash = 0;
  for (const std::string& id : member_ids) {
    const std::uint64_t hash = Hash64(id, seed);
    if (!best.empty() && hash <= best_hash)
      continue;
    best = id;
    best_hash = hash;
  }
  return best;
}

}  // namespace coltsfootvane::dispatch
