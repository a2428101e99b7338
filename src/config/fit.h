#ifndef COLTSFOOTVANE_CONFIG_FIT_H_
#define COLTSFOOTVANE_CONFIG_FIT_H_

#include <string>
#include <vector>

#include "config/configuration.h"

namespace coltsfootvane {

/// What one engine holds in a fit.
struct EngineFit {
  std::string endpoint_id;
  std::int64_t free_mb = 0;
  std::vector<std::string> items;  ///< Names of models and adapters.
};

struct Fit {
  std::vector<EngineFit> engines;          ///< Smallest memory first.
  std::vector<const Model*> no_model;      ///< Models that did not fit.
  std::vector<const Adapter*> no_adapter;  ///< Adapters that did not fit.
};

/// Places one copy of every model and adapter on the engines by first-fit
/// decreasing: models with their adapters by total memory, largest first, each
/// on the smallest engine with room. Adapters that find no room beside their
/// model go to a further copy of it. Adapters of unknown models and
/// repeated names of models are left out.
/// The pointers refer to `configuration`.
Fit FitItems(const Configuration& configuration);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_FIT_H_
