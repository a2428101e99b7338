#include "peer/unresponsive_pools.h"

namespace coltsfootvane::peer {
namespace {

/// Equal to kFallbackDelay, the time that a request waits for a reply before it
/// takes a fallback share.
constexpr Milliseconds kProbePeriod{300};

}  // namespace

bool MarkUnresponsive(UnresponsivePools& pools,
                      std::string_view pool,
                      std::string_view dispatcher,
                      TimePoint now) {
  if (IsUnresponsive(pools, pool, dispatcher))
    return false;
  pools[std::string(pool)] = {std::string(dispatcher), now};
  return true;
}

void RecordReply(UnresponsivePools& pools, std::string_view pool) {
  const auto found = pools.find(pool);
  if (found != pools.end())
    pools.erase(found);
}

bool IsUnresponsive(const UnresponsivePools& pools,
                    std::string_view pool,
                    std::string_view dispatcher) {
  const auto found = pools.find(pool);
  return found != pools.end() && found->second.dispatcher == dispatcher;
}

bool StartProbe(UnresponsivePools& pools,
                std::string_view pool,
                std::string_view dispatcher,
                TimePoint now) {
  if (!IsUnresponsive(pools, pool, dispatcher))
    return false;
  UnresponsivePool& unresponsive = pools.find(pool)->second;
  if (now < unresponsive.next_probe)
    return false;
  unresponsive.next_probe = now + kProbePeriod;
  return true;
}

}  // namespace coltsfootvane::peer
