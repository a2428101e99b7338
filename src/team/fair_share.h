#ifndef COLTSFOOTVANE_TEAM_FAIR_SHARE_H_
#define COLTSFOOTVANE_TEAM_FAIR_SHARE_H_

#include <cstdint>
#include <gsl/span>
#include <set>

namespace coltsfootvane::team {

/// What a team uses of the capacity that all share.
struct TeamLoad {
  std::uint32_t team = 0;  ///< Hash of the name.
  double use_per_s = 0;
  double weight = 1;  ///< The quota per second, or 1 where none has one.
};

/// Returns the use for each unit of weight at which the weighted max-min fair
/// allocation cuts teams off, so that all use `capacity` together. Teams below
/// it get what they use. Infinite if the capacity is enough.
double FairLevel(gsl::span<const TeamLoad> loads, double capacity);

/// Returns the teams that would be cut off if capacity were short, and that use
/// more for their weight than the others. Teams that use alike are all within
/// their shares.
std::set<std::uint32_t> FindOverShare(gsl::span<const TeamLoad> loads);

}  // namespace coltsfootvane::team

#endif  // COLTSFOOTVANE_TEAM_FAIR_SHARE_H_
