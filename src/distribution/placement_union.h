#ifndef COLTSFOOTVANE_DISTRIBUTION_PLACEMENT_UNION_H_
#define COLTSFOOTVANE_DISTRIBUTION_PLACEMENT_UNION_H_

#include <map>
#include <string>

#include "base/finding.h"
#include "objectapi/object.h"
#include "placement/placement_view.h"

namespace coltsfootvane {

/// The published placement of each region.
using RegionPlacements = std::map<std::string, PlacementView>;

/// Takes over a whole list. A malformed object is added to `findings`, and the
/// region keeps what it had.
void ReplacePlacements(RegionPlacements* regions,
                       const objectapi::ObjectList& list,
                       Findings* findings);

/// As ReplacePlacements(), for changes.
void ChangePlacements(RegionPlacements* regions,
                      const objectapi::ChangeBatch& batch,
                      Findings* findings);

/// Returns the union over regions. An endpoint that two regions publish has
/// the items of both and is leaving if one says so.
PlacementView UnitePlacements(const RegionPlacements& regions);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_PLACEMENT_UNION_H_
