#ifndef COLTSFOOTVANE_DAEMON_STORE_VIEW_H_
#define COLTSFOOTVANE_DAEMON_STORE_VIEW_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>

#include "daemon/deployment.h"
#include "daemon/view_check.h"
#include "fleet/fleet.h"
#include "gateway/gateway.h"
#include "log/decision_log.h"
#include "store/kind_follower.h"

namespace prometheus {
class Counter;
template <class T>
class Family;
}  // namespace prometheus

namespace coltsfootvane::daemon {

/// Takes the configuration and the endpoints from the store over into the
/// gateway, and tells the other daemons of urgent changes.
class StoreView {
 public:
  StoreView(boost::asio::io_context* io,
            const Deployment* deployment,
            const store::ObjectStore* store,
            gateway::Gateway* gateway,
            fleet::Fleet* fleet,
            DecisionLog* log,
            Milliseconds in_force_limit);

  void Start();
  /// Returns whether the endpoints have been listed once.
  bool KnowsEndpoints() const { return this->endpoints_known; }
  /// Lists what another daemon has seen and this one has not.
  void CatchUp(const fleet::SeenRevisions& news);
  /// Lists again, since answers of the store may have been lost.
  void Refresh();
  /// Reports news and adapts how closely the store is watched.
  void Tick();
  /// All changes that were acknowledged before are in force; TimePoint() if
  /// that is not known.
  TimePoint ConfirmedAt() const { return this->check.confirmed_at; }
  const store::KindFollower& Config() const { return this->config; }
  const store::KindFollower& Endpoints() const { return this->endpoints; }

 private:
  store::FollowerEvents ConfigEvents();
  store::FollowerEvents EndpointEvents();
  void OnEndpointsReachable(bool reachable);
  void OnConfirmed();
  bool UpdateConfirmation();
  void BeginCheck(TimePoint now);
  void OnConfig(const store::Object& object);
  void OnEndpointListing(const store::Listing& listing);
  void OnEndpointChanges(const store::Changes& changes);
  void UpsertEndpoint(const store::Object& object);
  void SkipEndpoint(const store::Object& object, const std::string& reason);
  void RemoveEndpoint(const std::string& id);
  void RaiseMaxDeparture(std::int64_t revision);
  void NoteDeparture(std::int64_t revision);
  void SendNews();

  const Deployment* deployment;
  gateway::Gateway* gateway;
  fleet::Fleet* fleet;
  DecisionLog* log;
  store::KindFollower config;
  store::KindFollower endpoints;
  prometheus::Family<prometheus::Counter>* skipped_entries;
  /// Revisions of the entries that name no endpoint, by name.
  std::map<std::string, std::int64_t> skipped_revisions;
  /// Time within which changes must be in force.
  Milliseconds in_force_limit;
  ViewCheck check;
  /// This daemon reads the latest state, since nobody has confirmed its view.
  bool checking = false;
  prometheus::Counter* check_counter;
  TimePoint endpoints_lost_at;  ///< When the store last left them unanswered.
  bool endpoints_known = false;
  bool news_to_send = false;  ///< Since the last report to the others.
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_STORE_VIEW_H_
