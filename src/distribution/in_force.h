#ifndef COLTSFOOTVANE_DISTRIBUTION_IN_FORCE_H_
#define COLTSFOOTVANE_DISTRIBUTION_IN_FORCE_H_

#include <cstdint>
#include <memory>
#include <mutex>
#include <set>
#include <string>

#include "config/bundle.h"
#include "config/configuration.h"
#include "placement/placement_view.h"

namespace coltsfootvane {

/// One immutable view of what a daemon acts on.
struct InForce {
  std::int64_t version = 0;  ///< Of the configuration; 0 before the first.
  ConfigurationHead head;
  Bundle bundle;
  Configuration configuration;
  PlacementView placement;
  /// VMs and endpoints seen as leaving, by the list or by membership.
  std::set<std::string> leaving;
};

/// Holds the current view; readers take a pointer and keep it for a request.
class InForceHolder {
 public:
  /// Never null.
  std::shared_ptr<const InForce> Get() const;
  void Set(std::shared_ptr<const InForce> next);

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const InForce> current = std::make_shared<InForce>();
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_IN_FORCE_H_
