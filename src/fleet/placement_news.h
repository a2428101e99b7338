#ifndef COLTSFOOTVANE_FLEET_PLACEMENT_NEWS_H_
#define COLTSFOOTVANE_FLEET_PLACEMENT_NEWS_H_

#include <cstddef>
#include <cstdint>
#include <gsl/span>
#include <map>
#include <vector>

#include "base/clock.h"
#include "gateway/endpoint.h"

namespace coltsfootvane::fleet {

/// What the lease holder publishes about one engine; names are given by
/// KeyOf().
struct EnginePlacement {
  std::uint32_t endpoint = 0;
  std::vector<std::uint32_t> retiring;
  std::vector<std::uint32_t> adapters;
};

bool operator==(const EnginePlacement& a, const EnginePlacement& b);

/// Returns the share of the placement in a datagram: the engine, and each model
/// and adapter.
std::size_t CountItems(const EnginePlacement& placement);

/// What a lease holder has published and has room to publish. Daemons are sent
/// what has changed, and the placements of all engines in turn, which mends
/// what lost datagrams have left wrong. The bytes that the holder sends are
/// bounded whatever the numbers of daemons, engines and changes.
struct PlacementNews {
  struct Published {
    EnginePlacement placement;
    int sends_left = 0;   ///< Until the placement counts as known to all.
    bool urgent = false;  ///< These sends do not wait for room.
  };

  std::map<std::uint32_t, Published> engines;  ///< By endpoint key.
  std::uint32_t last_in_turn = 0;  ///< Endpoint key; the next one follows.
  double room = 0;                 ///< In items, see CountItems().
  TimePoint room_updated;
};

/// Adds the room that has come since the last call, with `daemons` to send to.
void AddRoom(std::size_t daemons, TimePoint now, PlacementNews* news);

/// Orders what daemons have applied; a later one replaces an earlier one.
struct PlacementVersion {
  std::int64_t lease_epoch = 0;
  std::int64_t sequence = 0;
};

bool operator<(const PlacementVersion& a, const PlacementVersion& b);

/// Records the present placements and returns what to send: models that are
/// about to be unloaded at once; other changes, and then the rest in turn, as
/// far as there is room. Returns nothing if that is too little for a datagram.
std::vector<EnginePlacement> TakeNews(gsl::span<const EnginePlacement> current,
                                      PlacementNews* news);

/// Returns the placements as the contents of datagrams of bounded size.
std::vector<std::vector<EnginePlacement>> SplitIntoDatagrams(
    std::vector<EnginePlacement> placements);

/// The versions of the placements that a daemon has applied, by endpoint key.
using AppliedPlacements = std::map<std::uint32_t, PlacementVersion>;

/// Returns whether a placement of the endpoint is newer than what was applied,
/// and records it as applied.
bool TryApply(std::uint32_t endpoint,
              const PlacementVersion& version,
              AppliedPlacements* applied);

/// Forgets endpoints that have gone, once they are most of those recorded.
void ForgetGone(gsl::span<const gateway::EndpointPtr> endpoints,
                AppliedPlacements* applied);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_PLACEMENT_NEWS_H_
