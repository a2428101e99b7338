#ifndef COLTSFOOTVANE_PLACEMENT_DEMAND_H_
#define COLTSFOOTVANE_PLACEMENT_DEMAND_H_

#include <array>
#include <string>

#include "config/configuration.h"

namespace coltsfootvane {

/// Current demand for one model or adapter, as seen by a dispatcher or an
/// entry.
struct ItemDemand {
  std::string item;
  /// Requests waiting or running, indexed by Priority.
  std::array<double, kPriorityCount> requests{};
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_DEMAND_H_
