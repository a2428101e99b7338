#ifndef COLTSFOOTVANE_DAEMON_STORE_VIEW_H_
#define COLTSFOOTVANE_DAEMON_STORE_VIEW_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "daemon/config_sync.h"
#include "daemon/departure_sync.h"
#include "daemon/deployment.h"
#include "daemon/store_news.h"
#include "daemon/view_check.h"
#include "departure/departures.h"
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
            Milliseconds in_force_limit,
            net::HttpClient* client,
            unsigned short peer_port);

  void Start();
  /// Returns whether the endpoints have been listed once.
  /// Some or all of them.
  bool KnowsEndpoints() const {
    return this->endpoints_known || this->some_endpoints_known;
  }
  /// Returns whether this daemon has learned which endpoints have left before
  /// its start, or nobody knows.
  bool KnowsWhoHasLeft() const { return this->departure_sync.IsDone(); }
  /// Lists what another daemon has seen and this one has not.
  void CatchUp(const fleet::SeenChanges& told);
  /// Lists again, since answers of the store may have been lost. A daemon that
  /// relies on the news of others makes no calls.
  void Refresh();
  /// Reports news and adapts how closely the store is watched.
  void Tick();
  /// All changes that were acknowledged before are in force; TimePoint() if
  /// that is not known.
  TimePoint ConfirmedAt() const { return this->check.confirmed_at; }
  /// Answers another daemon that fetches what it lacks.
  gateway::HealthAnswer Answer(std::string_view path);
  const NewsCounts& Counts() const { return this->counts; }
  const store::KindFollower& Config() const { return this->config; }
  const store::KindFollower& Endpoints() const { return this->endpoints; }

 private:
  NewsTarget Target();
  ConfigTarget TargetOfConfig();
  DepartureTarget TargetOfDepartures();
  void ApplyBatch(const fleet::gen::StoreBatch& batch);
  void ApplySnapshot(const fleet::gen::StoreBatch& all);
  fleet::gen::StoreBatch MakeSnapshot() const;
  void UpsertEntry(gateway::EndpointEntry entry, const store::Place& place);
  void UseEntry(gateway::EndpointEntry entry, const store::Place& place);
  /// Returns whether this daemon tells the others what it reads.
  bool Tells() const;
  void RecordChanges(const store::Place& base_until);
  void AdvanceTo(const store::Place& place);
  void UpdateRole(TimePoint now);
  bool IsStandbyDue(TimePoint now) const;
  /// Ends this daemon's reading as a standby if the report comes from a reader
  /// before it that reads the latest state again.
  void YieldTo(const fleet::SeenChanges& told);
  store::FollowerEvents ConfigEvents();
  store::FollowerEvents EndpointEvents();
  void OnEndpointsReachable(bool reachable);
  void OnConfirmed();
  bool UpdateConfirmation();
  void OnNewEra(std::int64_t era);
  /// Removes the endpoints that are not listed, but at the beginning of an era,
  /// when they may register again. Returns whether it has removed any.
  bool RemoveOthers(const std::set<std::string>& listed);
  /// Ends the times given at the beginning of an era.
  void EndWaits(TimePoint now);
  void BeginCheck(TimePoint now);
  void OnConfig(const store::Object& object);
  void OnConfigKnown(const store::Place& place);
  void OnEndpointListing(const store::Listing& listing);
  void OnPartialEndpointListing(const store::Listing& listing);
  void OnEndpointChanges(const store::Changes& changes);
  void UpsertEndpoint(const store::Object& object);
  void SkipEndpoint(const std::string& name,
                    const store::Place& place,
                    const std::string& reason);
  static constexpr store::Place kDeleted{};
  /// `unusable` is the place of an entry that cannot be used, or kDeleted.
  void RemoveEndpoint(const std::string& id, const store::Place& unusable);
  /// No new work goes to the endpoint. The others are told.
  void TakeOutOfUse(const std::string& id, const store::Place& unusable);
  void TellRemoval(const std::string& id, const store::Place& unusable);
  fleet::gen::Departures RememberedDepartures() const;
  void LearnDepartures(const fleet::gen::Departures& told);
  void LearnDeparture(const fleet::gen::Departure& told);
  void ApplyChange(const store::Change& change, const store::Place& place);
  void RaiseMaxDeparture(const store::Place& place);
  void NoteDeparture(const store::Place& place);
  void SendNews();

  const Deployment* deployment;
  const store::ObjectStore* store;
  gateway::Gateway* gateway;
  fleet::Fleet* fleet;
  DecisionLog* log;
  store::KindFollower config;
  store::KindFollower endpoints;
  prometheus::Family<prometheus::Counter>* skipped_entries;
  /// Names of the entries that name no endpoint, until they are deleted or do.
  std::set<std::string> skipped;
  departure::Departures departed;
  bool reads_missing = false;  ///< Reads whether endpoints are still missing.
  /// Time within which changes must be in force.
  Milliseconds in_force_limit;
  ViewCheck check;
  /// This daemon reads the latest state, since nobody has confirmed its view.
  bool checking = false;
  prometheus::Counter* check_counter;
  TimePoint endpoints_lost_at;  ///< When the store last left them unanswered.
  bool endpoints_known = false;
  /// A first listing failed after some pages.
  bool some_endpoints_known = false;
  bool news_to_send = false;  ///< Since the last report to the others.
  NewsCounts counts;
  StoreNews news;
  ConfigSync config_sync;
  DepartureSync departure_sync;
  /// Changes of the answer that is being applied, for the others.
  std::vector<fleet::gen::EndpointNews> changes;
  bool departures = false;  ///< There are some among the changes.
  /// Entries that a page of the last listing showed in a state newer than the
  /// revision of the listing.
  std::set<std::string> listed_ahead;
  bool large = false;  ///< One daemon reads for all; see Fleet::IsLarge().
  bool relies_on_news = false;
  std::vector<std::uint32_t> readers;  ///< Addresses; the first one reads.
  int rank = 0;           ///< Among those who read; 0 is the first.
  TimePoint reads_until;  ///< As a standby whose reader has been silent.
  std::string logged_role;
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_STORE_VIEW_H_
