#ifndef COLTSFOOTVANE_GATEWAY_GATEWAY_H_
#define COLTSFOOTVANE_GATEWAY_GATEWAY_H_

#include <prometheus/registry.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <gsl/span>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

#include "entry/retry_budget.h"
#include "gateway/admission.h"
#include "gateway/caller_intake.h"
#include "gateway/crash_watch.h"
#include "gateway/endpoint.h"
#include "gateway/endpoint_connections.h"
#include "gateway/events.h"
#include "gateway/gateway_metrics.h"
#include "gateway/load_metrics.h"
#include "gateway/part_quarantine.h"
#include "gateway/routing_table.h"
#include "gateway/traffic.h"
#include "gateway/wire_format.h"
#include "log/decision_log.h"
#include "net/byte_account.h"
#include "quota/quota_node.h"

namespace coltsfootvane::gateway {

/// Limit on the retries of all daemons for one service within a window. The
/// RetryBudget of each daemon is its share.
struct FleetRetryLimit {
  double per_request = 0.2;
  double base_retries = 100;  ///< In addition to the share of requests.
  double window_s = 10;
};

/// An adapter that a request needs and that no endpoint is known to have.
struct AdapterWanted {
  std::string service;
  std::string model;
  std::string adapter;
  TimePoint deadline;  ///< Until then its load may be awaited.
};

/// How a request for an adapter ended.
enum class AdapterOutcome {
  kReady,     ///< An endpoint has the adapter.
  kNoEngine,  ///< The lease holder has no engine that can load it now.
  kNoAnswer,  ///< No lease holder answered before the deadline.
};

const char* AdapterOutcomeName(AdapterOutcome outcome);

using AdapterHandler = std::function<void(AdapterOutcome outcome)>;
/// Requests an adapter. `done` is called once.
using AdapterRequest =
    std::function<void(const AdapterWanted& wanted, AdapterHandler done)>;

using QuotaWanted = quota::Wanted;
using QuotaDecision = quota::Decision;
/// Asks for units of a team's quota. `done` is called once, within 0.5 s.
using QuotaRequest =
    std::function<void(const QuotaWanted& wanted,
                       std::function<void(const QuotaDecision&)> done)>;
/// Asks the load trackers of endpoints for the work of the other daemons there.
/// Their answers are in Endpoint::peers and Endpoint::exact_at by the time that
/// `done` is called, once, possibly before the call returns.
using LoadQuery = std::function<void(gsl::span<const EndpointPtr> endpoints,
                                     std::function<void()> done)>;
/// Tells the load tracker of an endpoint of this daemon's own work there.
/// `refused` states that the endpoint has just refused a request as full.
using LoadUpdate = std::function<void(const Endpoint& endpoint, bool refused)>;

/// What the owner of a team's quota has stated.
struct TeamUse {
  double per_second = 0;  ///< Units granted.
  TimePoint stated_at;
};
using TeamUses = std::map<quota::TeamKey, TeamUse>;

class Exchange;

/// State shared by all requests of a daemon. Used on the event loop only.
struct Gateway {
  explicit Gateway(boost::asio::io_context* io_context)
      : io(io_context), connections(io_context) {}

  boost::asio::io_context* io;
  prometheus::Registry registry;  ///< Of all of the daemon's metrics.
  GatewayMetrics metrics{&registry};
  LoadMetrics load_metrics{&registry};
  const WireFormat* wire = nullptr;
  DecisionLog* log = nullptr;
  std::string data_centre;
  std::shared_ptr<const RoutingTable> routes;  ///< nullptr until configured.
  TimePoint routes_since;
  /// All changes of routes and endpoints that were acknowledged before are in
  /// force; TimePoint() if that is not known.
  TimePoint view_confirmed_at;
  /// From then on the view counts as out of date.
  TimePoint view_valid_until;
  /// A configuration is known that is not in force yet.
  bool newer_routes_known = false;
  /// When the event loop was last found to be late.
  TimePoint loop_late_at;
  EndpointTable endpoints;
  std::vector<EndpointPtr> endpoint_list;  ///< The values of `endpoints`.
  EndpointConnections connections;
  std::map<std::string, RetryBudget, std::less<>> retries;  ///< By service.
  FleetRetryLimit retry_limit;
  int daemons = 1;                  ///< Live daemons, including this one.
  Milliseconds report_interval{0};  ///< Between a daemon's reports.
  Traffic traffic;
  AdapterRequest request_adapter;
  QuotaRequest request_quota;
  /// Records units of a team spent without permission or, if negative, granted
  /// and not spent.
  std::function<void(quota::TeamKey team, double units)> settle_quota;
  LoadQuery query_load;  ///< May be empty, as is `update_load`.
  LoadUpdate update_load;
  TeamUses team_use;  ///< Of all teams, by KeyOf(name).
  /// Teams that yield where capacity is short; see FindOverShare().
  std::set<quota::TeamKey> teams_over_share;
  std::mt19937_64 random;
  ReturnSequence return_sequence;
  bool leaving = false;  ///< A graceful shutdown is in progress.
  TimePoint leaving_since;
  /// During shutdown, requests that arrive from then on are refused, unless
  /// their deadline passes before `last_answer_at`.
  TimePoint last_request_at;
  TimePoint last_answer_at;
  /// Bytes held for requests and answers, but large bodies of requests. While
  /// it is full, new requests are refused. Before that answers are read no
  /// faster than callers take them.
  net::ByteAccount held_bytes;
  std::shared_ptr<CallerIntake> intake = std::make_shared<CallerIntake>(this);
  int exchanges = 0;  ///< Requests in progress.
  std::unordered_set<Exchange*> open_exchanges;
  PartQuarantine quarantine;  ///< Of parts of prompts that crash endpoints.
  CrashWatch crash_watch{this};
};

/// Applies a configuration if it is newer than the current one. Returns false
/// if it is not, since versions never go back.
bool ApplyRoutingTable(Gateway* gateway, RoutingTable table);

/// Returns the limits for callers in force.
CallerLimits LimitsOf(const Gateway& gateway);
/// Records the use of a team.
void RecordTeamUse(Gateway* gateway,
                   quota::TeamKey team,
                   double per_second,
                   TimePoint now);
/// Finds the teams that are over their share.
void UpdateShares(Gateway* gateway, TimePoint now);

/// Returns whether the routes in force are known to be, or may be, older than
/// those that were acknowledged.
bool IsRoutingOutdated(const Gateway& gateway, TimePoint now);

/// Rebuilds the endpoint list from the table and closes idle connections to
/// endpoints that were removed.
void UpdateEndpointList(Gateway* gateway);

/// Returns the requests in progress. They may end while they are visited.
std::vector<std::shared_ptr<Exchange>> OpenExchanges(const Gateway& gateway);

/// Gives all requests in progress a final answer, at the end of a shutdown.
void EndOpenRequests(Gateway* gateway);

/// Applies what an endpoint has stated in an answer, and logs what is new.
void RecordNotice(Gateway* gateway,
                  const EndpointPtr& endpoint,
                  const EndpointNotice& notice,
                  TimePoint now);

/// Counts a request towards the retry budget of its service.
void CountRequest(Gateway* gateway, std::string_view service, TimePoint now);
/// Takes one retry from this daemon's budget for the service. Returns false if
/// none is left.
bool TakeRetry(Gateway* gateway, std::string_view service, TimePoint now);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_GATEWAY_H_
