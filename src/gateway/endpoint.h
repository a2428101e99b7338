#ifndef COLTSFOOTVANE_GATEWAY_ENDPOINT_H_
#define COLTSFOOTVANE_GATEWAY_ENDPOINT_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/endpoint_notice.h"
#include "occupancy/work.h"
#include "stall/stall.h"

namespace coltsfootvane::gateway {

struct LoadedModel {
  std::string name;
  std::vector<std::string> adapters;
};

/// What an endpoint registers about itself.
struct EndpointEntry {
  std::string id;
  std::string service;
  boost::asio::ip::tcp::endpoint address;
  std::string data_centre;
  int slots = 1;
  bool draining = false;
  std::int64_t incarnation = 0;  ///< Changes when the process restarts.
  std::vector<LoadedModel> models;
  /// Weights cached in the VM's memory.
  std::vector<std::string> cached_in_memory;
  /// Weights cached on the VM's disk.
  std::vector<std::string> cached_on_disk;
};

using occupancy::EndpointWork;

/// Exponentially decaying counts of the outcomes of calls to an endpoint.
struct RecentOutcomes {
  double successes = 0;
  double failures = 0;
  TimePoint updated;
};

/// An endpoint and what this daemon knows about it.
struct Endpoint {
  EndpointEntry entry;
  std::uint32_t key = 0;  ///< KeyOf(id); identifies it in reports.
  EndpointWork own;
  EndpointWork peers;
  /// When the load tracker of the endpoint last gave the exact work of peers,
  /// and until when reports do not replace it.
  TimePoint exact_at;
  TimePoint exact_until;
  /// Requests that the endpoint takes, as its load tracker has learned; 0 if
  /// that is not known.
  int place_limit = 0;
  stall::Activity activity;  ///< Of this daemon's runs.
  RecentOutcomes outcomes;
  int peer_successes = 0;  ///< Recent outcomes reported by the other daemons.
  int peer_failures = 0;
  bool gone = false;  ///< Removed from the table or replaced.
  /// Shared by all table entries that the same instance has had.
  std::shared_ptr<StatedAvailability> stated =
      std::make_shared<StatedAvailability>();
  TimePoint ejected_until;   ///< Avoided until then.
  int ejections = 0;         ///< Since the last success.
  TimePoint refusing_until;  ///< Believed full until then.
  int refusals = 0;          ///< Since the last success.
  /// Models and adapters, by name and by AdapterName(), that the endpoint
  /// lists but does not have, as it refused a request for them. Requests for
  /// them avoid the endpoint until the time given.
  std::map<std::string, TimePoint, std::less<>> absent_until;
  /// Keys of models that the planner has ordered to unload.
  std::set<std::uint32_t> retiring;
  /// Keys of adapters that the planner's latest placement lists for the
  /// endpoint, in addition to those in `entry`; see AdapterName().
  std::set<std::uint32_t> adapters;
};

using EndpointPtr = std::shared_ptr<Endpoint>;

/// All registered endpoints, by id.
struct EndpointTable {
  std::map<std::string, EndpointPtr, std::less<>> endpoints;
  InstanceMemory memory;
};

/// Adds an endpoint or updates its entry. An endpoint with a new incarnation
/// replaces the old one.
EndpointPtr UpsertEndpoint(EndpointTable* table, EndpointEntry entry);
void RemoveEndpoint(EndpointTable* table, std::string_view id);

/// Returns whether the endpoint may get new work: it is listed as ready and has
/// not stated that it leaves.
bool TakesNewWork(const Endpoint& endpoint);

/// Returns whether the endpoint has asked this daemon for a pause that lasts.
bool IsPaused(const Endpoint& endpoint, TimePoint now);

/// Returns the endpoint's entry for the model, or nullptr.
const LoadedModel* FindLoaded(const Endpoint& endpoint, std::string_view model);

/// Returns whether the VM has cached weights of the model, so that a load does
/// not read from the weight store.
bool HasCachedWeights(const EndpointEntry& entry, std::string_view model);

/// Returns whether requests for the model may be sent to the endpoint.
bool HoldsModel(const Endpoint& endpoint,
                std::string_view model,
                TimePoint now);
bool HoldsAdapter(const Endpoint& endpoint,
                  std::string_view model,
                  std::string_view adapter,
                  TimePoint now);

/// Records that the endpoint refused a request because it does not have the
/// adapter or, if `adapter` is empty, the model. Requests for it avoid the
/// endpoint for a short time. A missing adapter does not mean that its model is
/// missing, as adapters are replaced while their model stays loaded.
void RecordAbsence(Endpoint* endpoint,
                   std::string_view model,
                   std::string_view adapter,
                   TimePoint now);

/// Returns the hash that identifies a name in messages between daemons.
std::uint32_t KeyOf(std::string_view name);

/// Returns `model/adapter`.
std::string AdapterName(std::string_view model, std::string_view adapter);

void RecordOutcome(Endpoint* endpoint, bool success, TimePoint now);
/// Returns the factor by which the outcomes have decayed since the last one.
double OutcomeDecay(const Endpoint& endpoint, TimePoint now);
/// Returns the share of failures in recent outcomes, from 0 to 1.
double FailureShare(const Endpoint& endpoint, TimePoint now);
/// Ejects an endpoint that could not be reached or stopped responding. The time
/// doubles, up to a limit, with each ejection since the last success.
void Eject(Endpoint* endpoint, TimePoint now);

/// Records that the endpoint refused a request although this daemon believed
/// that it had room. It counts as full for a time that doubles, up to a limit,
/// with each refusal since the last success: an endpoint that refuses at once
/// has little work and would attract all requests.
void RecordRefusal(Endpoint* endpoint, TimePoint now);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ENDPOINT_H_
