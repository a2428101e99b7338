#ifndef COLTSFOOTVANE_FLEET_FLEET_H_
#define COLTSFOOTVANE_FLEET_FLEET_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/result.h"
#include "fleet/adapter_requests.h"
#include "fleet/holder_contact.h"
#include "fleet/load_tracking.h"
#include "fleet/member_table.h"
#include "fleet/placement_news.h"
#include "fleet/suspect_news.h"
#include "gateway/gateway.h"
#include "net/timer.h"
#include "quota/quota_node.h"
#include "store/place.h"

namespace coltsfootvane::fleet {

/// Where in the history of the store the latest urgent changes are that a
/// daemon has seen.
struct SeenChanges {
  std::int64_t era = 0;    ///< The latest one that the daemon knows.
  store::Place config;     ///< Of the latest configuration.
  store::Place departure;  ///< Of the last departure of an endpoint.
  bool reachable = false;
  /// The daemon's view holds all configurations and departures that were
  /// acknowledged before; TimePoint() if that is not known.
  TimePoint confirmed_at;
  /// None of these departures is newer. A listing may hide departures, so that
  /// this may be later than `departure`.
  store::Place max_departure;
  std::uint32_t reporter = 0;  ///< The IPv4 address of the other daemon.
};

/// Called with the key of the endpoint that has loaded the adapter, or with 0
/// if the load failed.
using AdapterDone = std::function<void(std::uint32_t endpoint)>;
/// Loads an adapter; set only on the lease holder.
using AdapterLoader = std::function<void(const std::string& service,
                                         const std::string& model,
                                         const std::string& adapter,
                                         AdapterDone done)>;

/// Returns the interval between two reports of a daemon. It grows with the
/// number of members and the size of their reports, which bounds the bytes per
/// second that each daemon receives. `load_bytes_per_s` are those of queries
/// for the load of endpoints and of updates for load trackers.
Milliseconds ReportInterval(std::size_t members,
                            double report_bytes,
                            double load_bytes_per_s = 0);

/// Exchanges datagrams with the other daemons: requests in progress, demand,
/// placement and requests for adapters.
class Fleet {
 public:
  Fleet(boost::asio::io_context* io, gateway::Gateway* gateway);

  /// Errors: kInvalid if the address cannot be bound.
  Result<bool> Open(const boost::asio::ip::udp::endpoint& address);
  bool IsOpen() const { return this->socket.is_open(); }

  /// Adds an address at which a daemon may run. All daemons use the same port.
  void AddPeer(const boost::asio::ip::address& address);

  /// Sets the epoch of the lease that this daemon holds; 0 if it holds none.
  void SetLease(std::int64_t epoch, AdapterLoader loader);
  /// Sends the other daemons what has changed, and some of the rest in turn.
  void Publish(gsl::span<const EnginePlacement> engines);
  /// Requests the load of an adapter from the lease holder, again and again
  /// until one answers or the deadline passes.
  void RequestAdapter(const gateway::AdapterWanted& wanted,
                      gateway::AdapterHandler done);
  /// See gateway::LoadQuery and gateway::LoadUpdate.
  void QueryLoad(gsl::span<const gateway::EndpointPtr> endpoints,
                 std::function<void()> done);
  void UpdateLoad(const gateway::Endpoint& endpoint, bool refused);
  /// Sends a report at once, without waiting for the interval to end.
  void ReportNow();
  /// Tells some daemons, or all of a small fleet, how far the view of the store
  /// is complete. They pass it on in their own reports.
  void SpreadConfirmation();

  /// The changes in the store that this daemon has seen; part of its reports.
  SeenChanges seen;
  /// Called with what each new report of another daemon states.
  std::function<void(const SeenChanges&)> on_seen;
  /// Returns whether this daemon reads the latest state of the store on behalf
  /// of the others, which read it with a lag.
  bool ReadsLatestState() const;

  /// Set before Open().
  quota::Bounds quota_bounds;
  /// The daemons that the store lists have been added.
  bool peers_listed = false;
  /// Returns the number of teams whose quota this daemon decides on.
  std::size_t CountQuotaBuckets() const;

  /// Returns whether there are so many daemons that one reads the store for all
  /// and the others rely on its news.
  bool IsLarge() const;
  /// Returns the daemons that are to read the store for the others, in order.
  /// The first does, the next stand by.
  std::vector<std::uint32_t> Readers(std::size_t max_readers) const;
  bool IsAmongReaders(std::size_t max_readers) const;
  std::uint32_t OwnAddress() const { return this->own_address; }
  std::vector<std::uint32_t> LiveAddresses() const;
  /// Returns a random live daemon other than `except` for which the predicate
  /// holds, or 0.
  std::uint32_t PickMember(const std::function<bool(const gen::Report&)>& suits,
                           std::uint32_t except = 0) const;

  /// Sends to the addresses through relays, or passes on what came.
  void Spread(gen::StoreNews news, const std::vector<std::uint32_t>& to);
  void Spread(gen::ConfigNews news, const std::vector<std::uint32_t>& to);
  void SendStoreNews(std::uint32_t to, const gen::StoreNews& news);
  /// Asks a daemon for the changes after `known`.
  void RequestStoreNews(std::uint32_t from, const store::Place& known);
  std::function<void(const gen::StoreNews&, std::uint32_t from)> on_store_news;
  std::function<void(const store::Place& known, std::uint32_t from)>
      on_store_news_request;
  std::function<void(const gen::ConfigNews&, std::uint32_t from)>
      on_config_news;

  /// Returns whether reports of the lease holder of this epoch have stopped.
  bool IsHolderSilent(std::int64_t epoch) const;
  /// Returns the highest epoch of a lease holder that was heard.
  std::int64_t HighestHeardEpoch() const { return this->holder.lease_epoch; }
  /// Returns whether another daemon is heard as the lease holder.
  bool HearsOtherHolder() const;

  /// Returns the demand for a model or adapter over all daemons, in engine ms
  /// per second.
  double DemandFor(const std::string& model, TimePoint now);
  int CountLiveDaemons() const;

 private:
  void Receive();
  void OnDatagram(const gen::Datagram& datagram,
                  const boost::asio::ip::udp::endpoint& from);
  void OnReport(const gen::Report& report, std::uint32_t from);
  void OnPlacement(const gen::Placement& placement, std::uint32_t from);
  void ApplyPlacement(const gen::EnginePlacement& placement);
  void OnAdapterRequest(const gen::AdapterRequest& request, std::uint32_t from);
  void OnAdapterReply(const gen::AdapterReply& reply);
  void OnSuspects(const gen::Suspects& suspects, std::uint32_t from);
  void OnSuspectNews(gsl::span<const quarantine::PartId> parts,
                     gateway::SuspectSource source);
  void SendSuspects();
  void ScheduleSuspects(Milliseconds delay);
  void OnSuspectTimer();
  void SendSuspectsTo(std::uint32_t to, const gen::Suspects& suspects);
  void SendAllSuspects(std::uint32_t to);
  TimePoint HeardAt(std::uint32_t address) const;
  bool CountsUnheard(TimePoint now) const;
  void RemindOfQuarantine(TimePoint now);
  void UpdateTrialOrder(TimePoint now);
  void OpenQuota();
  void UpdateQuotaMembers();
  void OnQuotaRequest(const gen::QuotaRequest& wire, std::uint32_t from);
  void OnQuotaReply(const gen::QuotaReply& reply, std::uint32_t from);
  void TickQuota();
  std::uint32_t TrackerOf(std::uint32_t endpoint, TimePoint now);
  void BeginTracking(std::uint32_t endpoint, TimePoint now);
  void SendLoadQuery(const gateway::EndpointPtr& endpoint,
                     std::uint32_t tracker,
                     TimePoint now,
                     const std::shared_ptr<LoadRound>& round);
  void OnLoadQuery(const gen::LoadQuery& query, std::uint32_t from);
  void OnLoadAnswer(const gen::LoadAnswer& answer, std::uint32_t from);
  void EndLoadRound(const std::shared_ptr<LoadRound>& round);
  void OnWorkUpdate(const gen::WorkUpdate& wire, std::uint32_t from);
  void RepeatLoad();
  void ReportTracking();
  void CountReceived(const gen::Datagram& datagram, std::size_t bytes);
  /// Adds the use of the teams whose quota this daemon decides on.
  void StateTeamUse(gen::Report* report);
  void OnTeamUse(const gen::Report& report);
  void Tick();
  void SendReports();
  void SendAdapterRequest(std::int64_t number);
  void OnAdapterTimer(std::int64_t number);
  gen::Report MakeReport();
  void FillSeen(gen::Report* report) const;
  void SendTo(std::uint32_t address, const std::string& bytes);
  void RecordAdapter(std::uint32_t endpoint, const std::string& adapter_name);
  Milliseconds Interval() const;

  boost::asio::io_context* io;
  gateway::Gateway* gateway;
  boost::asio::ip::udp::socket socket;
  net::Timer timer;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, 2048> buffer{};
  MemberTable table;
  TimePoint opened_at;
  std::uint32_t own_address = 0;
  unsigned short port = 0;
  std::int64_t incarnation = 0;
  std::int64_t sequence = 0;
  std::int64_t lease_epoch = 0;
  HolderContact holder;
  PlacementNews placement_news;  ///< While this daemon is the holder.
  /// When to send an empty placement if there is no news.
  TimePoint next_empty_placement_at;
  AppliedPlacements applied_placements;  ///< Of all holders.
  AdapterLoader loader;
  std::map<std::int64_t, PendingAdapter> pending_adapters;  ///< By number.
  std::int64_t last_request_number = 0;
  SentReports sent_reports;
  PeerWorkByEndpoint peer_work;
  std::map<std::uint32_t, double> peer_demand;
  TimePoint peer_demand_until;
  SuspectNews suspect_news;
  net::Timer suspect_timer;
  bool suspects_scheduled = false;
  std::unique_ptr<quota::QuotaNode> quota;  ///< Since Open().
  net::Timer quota_timer;
  TimePoint next_quota_members;
  bool quota_leaving = false;
  LoadTracking load_tracking;
  net::Timer load_timer;
  double report_bytes = 200;  ///< Moving average of received report sizes.
};

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_FLEET_H_
