#include <algorithm>
#include <iterator>
#include <vector>

#include "gateway/gateway.h"
#include "team/fair_share.h"

namespace coltsfootvane::gateway {
namespace {

/// Reports of a large fleet are up to 4 s apart, and one may be lost.
constexpr Milliseconds kUseTime{8000};

/// Returns the teams of the configuration with what they use.
std::vector<team::TeamLoad> CollectLoads(const Gateway& gateway) {
  const std::vector<team::Team>& teams = gateway.routes->teams->teams;
  const bool has_quota = std::any_of(
      teams.begin(), teams.end(),
      [](const team::Team& one) { return team::IsLimited(one.quota); });
  std::vector<team::TeamLoad> loads;
  for (const team::Team& one : teams) {
    const quota::TeamKey key = KeyOf(one.name);
    const auto use = gateway.team_use.find(key);
    if (use != gateway.team_use.end())
      loads.push_back(
          {key, use->second.per_second, has_quota ? one.quota.per_second : 1});
  }
  return loads;
}

}  // namespace

void RecordTeamUse(Gateway* gateway,
                   quota::TeamKey team,
                   double per_second,
                   TimePoint now) {
  gateway->team_use[team] = {per_second, now};
}

void UpdateShares(Gateway* gateway, TimePoint now) {
  for (auto it = gateway->team_use.begin(); it != gateway->team_use.end();) {
    const bool expired = now >= it->second.stated_at + kUseTime;
    it = expired ? gateway->team_use.erase(it) : std::next(it);
  }
  gateway->teams_over_share.clear();
  if (gateway->routes && !gateway->team_use.empty())
    gateway->teams_over_share = team::FindOverShare(CollectLoads(*gateway));
}

}  // namespace coltsfootvane::gateway
