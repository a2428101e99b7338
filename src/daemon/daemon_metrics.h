#ifndef COLTSFOOTVANE_DAEMON_DAEMON_METRICS_H_
#define COLTSFOOTVANE_DAEMON_DAEMON_METRICS_H_

#include <string>
#include <vector>

#include "base/clock.h"

namespace coltsfootvane {

class DecisionLog;

namespace fleet {
class Fleet;
}
namespace gateway {
struct Gateway;
}
namespace orders {
class LeaseManager;
}
namespace store {
class KindFollower;
struct CallTally;
struct EraTracker;
}  // namespace store

namespace daemon {

struct NewsCounts;

/// The parts of a daemon whose state its metrics show.
struct DaemonParts {
  const gateway::Gateway* gateway = nullptr;
  const fleet::Fleet* fleet = nullptr;
  const orders::LeaseManager* lease = nullptr;
  const DecisionLog* log = nullptr;
  std::vector<const store::KindFollower*> followers;
  const store::CallTally* store_calls = nullptr;
  const store::EraTracker* eras = nullptr;
  const NewsCounts* news = nullptr;
  TimePoint view_confirmed_at;  ///< See StoreView::ConfirmedAt().
};

/// Returns the counters and histograms of the gateway's registry and the
/// present state of the parts in Prometheus' text format.
std::string FormatMetrics(const DaemonParts& parts, TimePoint now);

}  // namespace daemon
}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DAEMON_DAEMON_METRICS_H_
