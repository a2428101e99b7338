#include "peer/silence.h"

namespace coltsfootvane::peer {
namespace {

/// As long as a first request waits for its answer.
constexpr Milliseconds kProbePeriod{300};

}  // namespace

bool NoteSilence(SilentPools& pools,
                 std::string_view pool,
                 std::string_view dispatcher,
                 TimePoint now) {
  if (IsSilent(pools, pool, dispatcher))
    return false;
  pools[std::string(pool)] = {std::string(dispatcher), now};
  return true;
}

void NoteAnswer(SilentPools& pools, std::string_view pool) {
  const auto found = pools.find(pool);
  if (found != pools.end())
    pools.erase(found);
}

bool IsSilent(const SilentPools& pools,
              std::string_view pool,
              std::string_view dispatcher) {
  const auto found = pools.find(pool);
  return found != pools.end() && found->second.dispatcher == dispatcher;
}

bool TakeProbe(SilentPools& pools,
               std::string_view pool,
               std::string_view dispatcher,
               TimePoint now) {
  if (!IsSilent(pools, pool, dispatcher))
    return false;
  SilentPool& silent = pools.find(pool)->second;
  if (now < silent.next_probe)
    return false;
  silent.next_probe = now + kProbePeriod;
  return true;
}

}  // namespace coltsfootvane::peer
