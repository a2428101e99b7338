#ifndef COLTSFOOTVANE_PLACEMENT_DEMAND_H_
#define COLTSFOOTVANE_PLACEMENT_DEMAND_H_

#include <array>
#include <string>

#include "config/configuration.h"

namespace coltsfootvane {

/// Demand for one model or adapter, as a dispatcher or an entry sees it now.
struct ItemDemand {
  std::string item;
  /// Requests waiting or running, by Priority.
  std::array<double, kPriorityCount> requests{};
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_DEMAND_H_
