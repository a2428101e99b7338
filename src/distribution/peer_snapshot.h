#ifndef COLTSFOOTVANE_DISTRIBUTION_PEER_SNAPSHOT_H_
#define COLTSFOOTVANE_DISTRIBUTION_PEER_SNAPSHOT_H_

#include "config/bundle.h"
#include "placement/placement_view.h"

namespace coltsfootvane {

/// What a daemon hands to a peer that cannot read the platform.
struct PeerSnapshot {
  ConfigurationHead head;  ///< Version 0 before the first configuration.
  Bundle bundle;           ///< May be empty if the peer knows the version.
  PlacementView placement;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_PEER_SNAPSHOT_H_
