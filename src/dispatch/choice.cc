#include <algorithm>
#include <cmath>

#include "base/digest.h"
#include "dispatch/outliers.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {
namespace {

/// Prefix affinity skips an endpoint whose number of calls would exceed the
/// mean of the holders by more than this factor.
constexpr double kMaxAffinityLoadFactor = 1.25;

bool IsExcluded(const SlotRequest& request, const std::string& endpoint_id) {
  return std::find(request.excluded.begin(), request.excluded.end(),
                   endpoint_id) != request.excluded.end();
}

std::vector<EndpointState*> UsableHolders(PoolState& pool,
                                          const SlotRequest& request,
                                          TimePoint now) {
  std::vector<EndpointState*> usable;
  const auto holders = pool.holders.find(request.item);
  if (holders == pool.holders.end())
    return usable;
  for (const std::string& id : holders->second) {
    const auto endpoint = pool.endpoints.find(id);
    if (endpoint == pool.endpoints.end() || IsExcluded(request, id))
      continue;
    if (endpoint->second.leaving || IsEjected(endpoint->second.outlier, now))
      continue;
    usable.push_back(&endpoint->second);
  }
  return usable;
}

double RelativeLoad(const PoolState& pool,
                    const EndpointState& endpoint,
                    TimePoint now) {
  return static_cast<double>(endpoint.granted.size()) /
         CurrentLimit(pool, endpoint, now);
}

EndpointState* ChooseByPrefix(const PoolState& pool,
                              std::vector<EndpointState*> usable,
                              std::uint64_t prefix_hash,
                              TimePoint now) {
  std::size_t granted = 0;
  for (const EndpointState* endpoint : usable)
    granted += endpoint->granted.size();
  const double mean_calls =
      static_cast<double>(granted + 1) / static_cast<double>(usable.size());
  const double max_calls = std::ceil(kMaxAffinityLoadFactor * mean_calls);
  std::sort(usable.begin(), usable.end(),
            [prefix_hash](const EndpointState* a, const EndpointState* b) {
              return Hash64(a->id, prefix_hash) > Hash64(b->id, prefix_hash);
            });
  for (EndpointState* endpoint : usable) {
    const auto calls_after_grant =
        static_cast<double>(endpoint->granted.size() + 1);
    if (calls_after_grant <= max_calls && IsFree(pool, *endpoint, now))
      return endpoint;
  }
  return nullptr;
}

EndpointState* ChooseByLoad(const PoolState& pool,
                            const std::vector<EndpointState*>& usable,
                            TimePoint now) {
  EndpointState* best = nullptr;
  for (EndpointState* endpoint : usable) {
    if (!IsFree(pool, *endpoint, now))
      continue;
    if (best == nullptr ||
        RelativeLoad(pool, *endpoint, now) < RelativeLoad(pool, *best, now))
      best = endpoint;
  }
  return best;
}

}  // namespace

bool IsFree(const PoolState& pool,
            const EndpointState& endpoint,
            TimePoint now) {
  if (endpoint.leaving || IsEjected(endpoint.outlier, now))
    return false;
  const auto granted = static_cast<int>(endpoint.granted.size());
  return granted < CurrentLimit(pool, endpoint, now);
}

EndpointState* ChooseEndpoint(PoolState& pool,
                              const SlotRequest& request,
                              TimePoint now) {
  const std::vector<EndpointState*> usable = UsableHolders(pool, request, now);
  if (usable.empty())
    return nullptr;
  if (request.prefix_hash != 0) {
    EndpointState* chosen =
        ChooseByPrefix(pool, usable, request.prefix_hash, now);
    if (chosen != nullptr)
      return chosen;
  }
  return ChooseByLoad(pool, usable, now);
}

}  // namespace coltsfootvane::dispatch
