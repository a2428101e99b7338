#ifndef COLTSFOOTVANE_CONFIG_CONFIGURATION_H_
#define COLTSFOOTVANE_CONFIG_CONFIGURATION_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/finding.h"
#include "http/message.h"

namespace coltsfootvane {

/// Most urgent first.
enum class Priority { kInteractive = 0, kLookup = 1, kOvernight = 2 };
inline constexpr std::size_t kPriorityCount = 3;

std::string_view PriorityName(Priority priority);
std::optional<Priority> ParsePriority(std::string_view name);

enum class EndpointKind { kEngine, kService };

/// What the loss of one of these must leave reachable.
enum class SurvivalGoal { kVm, kDataCentre, kRegion };

struct Model {
  std::string name;
  std::string version;
  std::int64_t memory_mb = 0;
  int min_copies = 1;
  Place place;
};

/// An adapter is called by its own name and needs its model on the endpoint.
struct Adapter {
  std::string name;
  std::string model;
  std::string version;
  std::int64_t memory_mb = 0;
  Place place;
};

struct DataCentre {
  std::string name;
  std::string region;
  Place place;
};

struct Endpoint {
  std::string id;
  EndpointKind kind = EndpointKind::kEngine;
  std::string data_centre;
  http::Address address;
  std::int64_t memory_mb = 0;   ///< Engines only.
  bool checks_fencing = false;  ///< Refuses commands with an old number.
  int slots = 8;                ///< Starting limit of calls in progress.
  std::string service;          ///< Services only: what the replica belongs to.
  /// Services only: a 503 with `X-Leaving: 1` says that the call has not run.
  bool refuses_when_leaving = false;
  Place place;
};

struct PriorityClass {
  double value = 1;          ///< Weight of one request that meets its target.
  double minimum_share = 0;  ///< Of the slots, during an overload; 0 to 1.
  int first_token_ms = 600;
  int token_gap_ms = 54;
  int completion_ms = 30000;  ///< Deadline of a request from its arrival.
  int queue_length = 256;     ///< Waiting requests per pool.
};

/// Calls to a plain service that must run at most once.
struct IrreversibleCall {
  std::string method;
  std::string path_prefix;
  Place place;
};

/// Maps a path prefix to the engines or to a plain service.
struct Route {
  std::string path_prefix;
  EndpointKind kind = EndpointKind::kEngine;
  std::string service;
  Priority priority = Priority::kInteractive;
  std::vector<IrreversibleCall> irreversible;
  Place place;
};

struct Caller {
  std::string name;
  std::string api_key;
  Priority priority = Priority::kInteractive;  ///< The most urgent allowed.
  Place place;
};

struct WeightStore {
  double loads_per_s = 1.6;
  int loads_at_once = 6;
  int adapter_load_ms = 10;
  int adapter_loads_in_flight = 48;
};

/// A whole declared configuration, as applied.
struct Configuration {
  std::vector<DataCentre> data_centres;
  std::vector<Model> models;
  std::vector<Adapter> adapters;
  std::vector<Endpoint> endpoints;
  std::array<PriorityClass, kPriorityCount> classes;
  std::vector<Route> routes;
  std::vector<Caller> callers;
  WeightStore weight_store;
  SurvivalGoal survival_goal = SurvivalGoal::kVm;
};

const Model* FindModel(const Configuration& configuration,
                       std::string_view name);
const Adapter* FindAdapter(const Configuration& configuration,
                           std::string_view name);
const Endpoint* FindEndpoint(const Configuration& configuration,
                             std::string_view id);
const DataCentre* FindDataCentre(const Configuration& configuration,
                                 std::string_view name);
const PriorityClass& ClassOf(const Configuration& configuration,
                             Priority priority);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_CONFIG_CONFIGURATION_H_
