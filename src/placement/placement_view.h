#ifndef COLTSFOOTVANE_PLACEMENT_PLACEMENT_VIEW_H_
#define COLTSFOOTVANE_PLACEMENT_PLACEMENT_VIEW_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"

namespace coltsfootvane {

/// The models and adapters that are ready at one endpoint.
struct EndpointPlacement {
  std::string endpoint_id;
  bool leaving = false;
  std::vector<std::string> ready;  ///< Names of models and adapters, sorted.
};

/// The published placement of one region, or the union over regions.
struct PlacementView {
  std::vector<EndpointPlacement> endpoints;  ///< Sorted by endpoint id.
};

/// Returns the entry of `endpoint_id`, or null.
const EndpointPlacement* FindPlacement(const PlacementView& view,
                                       std::string_view endpoint_id);

bool IsReady(const EndpointPlacement& placement, std::string_view item);

std::string FormatPlacement(const PlacementView& view);
Result<PlacementView> ParsePlacement(std::string_view json);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_PLACEMENT_VIEW_H_
