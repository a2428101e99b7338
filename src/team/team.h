#ifndef COLTSFOOTVANE_TEAM_TEAM_H_
#define COLTSFOOTVANE_TEAM_TEAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace coltsfootvane::team {

/// What a request of a team is counted by.
enum class QuotaUnit { kRequests, kTokens };

/// Limit on the requests of a team over all daemons.
struct Quota {
  QuotaUnit unit = QuotaUnit::kRequests;
  double per_second = 0;   ///< 0 for no limit.
  double burst = 0;        ///< Units beyond `per_second`, used up at once.
  double plain_units = 1;  ///< Of a request that states no tokens.
};

/// A customer whose requests carry one of its API keys.
struct Team {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> rank;  ///< Takes the place of the route's.
  Quota quota;
};

/// The teams of a configuration. Without any, requests need no key.
struct TeamTable {
  std::vector<Team> teams;

  /// Positions of a key in `teams` and in the keys of that team.
  struct KeyPosition {
    std::size_t team = 0;
    std::size_t key = 0;
  };
  /// By the hash of the key; see IndexKeys().
  std::unordered_multimap<std::uint64_t, KeyPosition> positions;
  std::uint64_t seed = 0;  ///< Of the hashes.
};

/// Records the positions of all keys. `seed` must be random and secret, so that
/// the time of a lookup tells callers nothing about the keys.
void IndexKeys(TeamTable* table, std::uint64_t seed);

/// Returns the team that holds the key, or nullptr. If several do, the first
/// one in the configuration has it.
const Team* FindTeam(const TeamTable& table, std::string_view key);

/// Compares in a time that depends on the length of `presented` only.
bool EqualsInConstantTime(std::string_view presented, std::string_view held);

/// Returns the units for which a request counts. `tokens` is the sum of its
/// prompt and of the longest output that it allows, if it states them.
double UnitsOf(const Quota& quota, std::optional<double> tokens);

inline bool IsLimited(const Quota& quota) {
  return quota.per_second > 0;
}

}  // namespace coltsfootvane::team

#endif  // COLTSFOOTVANE_TEAM_TEAM_H_
