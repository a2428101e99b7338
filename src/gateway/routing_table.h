#ifndef COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_
#define COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"

namespace coltsfootvane::gateway {

/// What a route says about the calls on it.
enum class RouteKind {
  kSafe,       ///< May run more than once.
  kUnsafe,     ///< May run at most once per attempt of the caller.
  kStreaming,  ///< Events; as unsafe, unless the route is resumable.
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
  Milliseconds timeout{0};         ///< Longest time from request to answer.
  Milliseconds target_latency{0};  ///< Objective for the first byte.
  int rank = 0;                    ///< 0 is the most urgent.
  std::vector<WeightedService> services;
  int max_attempts = 1;  ///< Endpoints that one request may be sent to.
  bool resumable = false;
};

/// A model that the engines of a service may hold.
struct EngineModel {
  std::string name;
  double memory_mb = 0;
  double adapter_memory_mb = 0;
  int adapters = 0;
  double store_load_s = 0;   ///< From the weight store.
  double disk_load_s = 0;    ///< From the disk of the engine's machine.
  double memory_load_s = 0;  ///< From the memory of the engine's machine.
};

/// What is declared about the engines of a service.
struct EngineSpec {
  int slots = 1;
  double memory_mb = 0;
  int adapter_slots = 0;
  double store_loads_per_s = 0;  ///< Of the weight store, over all engines.
  std::vector<EngineModel> models;
};

struct Service {
  std::string name;
  int max_connections = 0;  ///< Of one endpoint, from all callers together.
  std::optional<EngineSpec> engine;
};

/// What callers may send and how long they may take.
struct CallerLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  Milliseconds header_timeout{3000};
  Milliseconds idle_timeout{15000};
};

/// The configuration in force. Replaced as a whole.
struct RoutingTable {
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
};

/// Returns the route of that host with the longest prefix of `path`, or
/// nullptr.
const Route* MatchRoute(const RoutingTable& table,
                        std::string_view host,
                        std::string_view path);

const Service* FindService(const RoutingTable& table, std::string_view name);
const EngineModel* FindModel(const EngineSpec& engine, std::string_view name);

/// Chooses by weight; `hash` is spread evenly over requests. Returns an empty
/// view if no service has a weight above 0.
std::string_view ChooseService(const Route& route, std::uint64_t hash);

/// Returns whether one request may run more than once.
bool IsRepeatable(const Route& route);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ROUTING_TABLE_H_
