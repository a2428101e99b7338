#ifndef COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_
#define COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "team/team.h"

namespace coltsfootvane::gateway {

/// How often the calls of a route may be executed.
enum class RouteKind {
  kSafe,       ///< May be executed more than once.
  kUnsafe,     ///< At most once for each attempt of the caller.
  kStreaming,  ///< Event streams; like kUnsafe unless resumable.
};

struct WeightedService {
  std::string service;
  double weight = 1;
};

struct Route {
  std::string name;
  std::string host;
  std::string path_prefix;  ///< Begins and ends with a slash.
  RouteKind kind = RouteKind::kUnsafe;
  Milliseconds timeout{0};         ///< Up to the end of the answer.
  Milliseconds target_latency{0};  ///< Objective for the first byte.
  int rank = 0;                    ///< 0 is the most urgent.
  std::vector<WeightedService> services;
  int max_attempts = 1;  ///< Limit on sends that may be executed, per request.
  bool resumable = false;
  bool is_public = false;  ///< Needs no API key where there are teams.
  /// Longest pause between events of an answer that is on time; 0 if none is
  /// declared.
  Milliseconds gap_target{0};
};

/// A model that the engines of a service can load.
struct EngineModel {
  std::string name;
  double memory_mb = 0;
  double adapter_memory_mb = 0;
  int adapters = 0;
  double store_load_s = 0;   ///< From the weight store.
  double disk_load_s = 0;    ///< From the disk of the VM.
  double memory_load_s = 0;  ///< From the memory of the VM.
};

/// Capacity and models of the engines of a service.
struct EngineSpec {
  int slots = 1;
  double memory_mb = 0;
  int adapter_slots = 0;
  double store_loads_per_s = 0;  ///< Limit on all engines together.
  std::vector<EngineModel> models;
  /// Positions in `models`, by name; see IndexModels().
  std::map<std::string, std::size_t, std::less<>> positions;
};

struct Service {
  std::string name;
  int max_connections = 0;  ///< To one endpoint, for all callers.
  std::optional<EngineSpec> engine;
};

/// Limits on the size and duration of callers' input.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Milliseconds header_timeout{3000};
  Milliseconds idle_timeout{15000};
};

/// The routing configuration. It is never modified, only replaced by a newer
/// version.
struct RoutingTable {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
  team::TeamTable teams;
};

/// Returns the route for `host` with the longest prefix that matches `path`, or
/// nullptr.
const Route* MatchRoute(const RoutingTable& table,
                        std::string_view host,
                        std::string_view path);

const Service* FindService(const RoutingTable& table, std::string_view name);
/// Records the positions of the models, so that FindModel() does not have to
/// search all of them.
void IndexModels(EngineSpec* engine);
const EngineModel* FindModel(const EngineSpec& engine, std::string_view name);

/// Chooses a service by weight. `hash` must be uniformly distributed over
/// requests. Returns an empty view if no service has a weight above 0.
std::string_view ChooseService(const Route& route, std::uint64_t hash);

/// Returns whether a request may be executed more than once.
bool IsRepeatable(const Route& route);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_
