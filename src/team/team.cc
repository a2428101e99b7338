#include "team/team.h"

#include <algorithm>

#include "base/digest.h"

namespace coltsfootvane::team {

void IndexKeys(TeamTable* table, std::uint64_t seed) {
  table->seed = seed;
  table->positions.clear();
  for (std::size_t i = 0; i < table->teams.size(); ++i) {
    const std::vector<std::string>& keys = table->teams[i].keys;
    for (std::size_t k = 0; k < keys.size(); ++k)
      table->positions.emplace(Hash64(keys[k], seed),
                               TeamTable::KeyPosition{i, k});
  }
}

const Team* FindTeam(const TeamTable& table, std::string_view key) {
  if (key.empty())
    return nullptr;
  const Team* found = nullptr;
  const auto range = table.positions.equal_range(Hash64(key, table.seed));
  for (auto it = range.first; it != range.second; ++it) {
    const Team& candidate = table.teams[it->second.team];
    const bool holds =
        EqualsInConstantTime(key, candidate.keys[it->second.key]);
    if (holds && (found == nullptr || &candidate < found))
      found = &candidate;
  }
  return found;
}

bool EqualsInConstantTime(std::string_view presented, std::string_view held) {
  std::size_t difference = presented.size() ^ held.size();
  for (std::size_t i = 0; i < presented.size(); ++i) {
    const char other = held.empty() ? '\0' : held[i % held.size()];
    difference |= static_cast<unsigned char>(presented[i] ^ other);
  }
  return difference == 0;
}

double UnitsOf(const Quota& quota, std::optional<double> tokens) {
  if (quota.unit == QuotaUnit::kRequests)
    return 1;
  return std::max(0.0, tokens.value_or(quota.plain_units));
}

}  // namespace coltsfootvane::team
