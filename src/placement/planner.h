#ifndef COLTSFOOTVANE_PLACEMENT_PLANNER_H_
#define COLTSFOOTVANE_PLACEMENT_PLANNER_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "distribution/in_force.h"
#include "objectapi/client.h"
#include "placement/demand.h"

namespace coltsfootvane {

namespace detail {
class PlannerLoop;
}  // namespace detail

struct PlannerOptions {
  std::string region;
  std::string daemon_id;
  std::string incarnation;  ///< Random per start of the daemon.
};

/// Callbacks to the daemon, called on the planner's thread.
struct PlannerHooks {
  std::function<std::vector<ItemDemand>()> take_demand;
  /// Returns true only if the daemon with this incarnation is known to have
  /// ended. If unset, no daemon is taken to have ended.
  std::function<bool(std::string_view incarnation)> has_sender_ended;
  std::function<void(bool holds_lease)> on_leadership;
};

/// Plans and sends the loads and unloads of one region's models and adapters
/// while this daemon holds the lease.
class Planner {
 public:
  Planner(PlannerOptions options,
          objectapi::Connection connection,
          InForceHolder* in_force,
          PlannerHooks hooks);
  ~Planner();

  Planner(const Planner&) = delete;
  Planner& operator=(const Planner&) = delete;

  void Start();

  /// Waits for commands in progress, at most a few seconds, and releases the
  /// lease.
  void Stop();

 private:
  std::unique_ptr<detail::PlannerLoop> loop;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_PLANNER_H_
