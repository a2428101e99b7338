#ifndef COLTSFOOTVANE_GATEWAY_ROUTE_SET_H_
#define COLTSFOOTVANE_GATEWAY_ROUTE_SET_H_

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/copy_on_write.h"

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

/// Routes by host and prefix. Copies share what they have in common, so that
/// the next version of a large set costs what it changes.
struct RouteSet {
  RouteSet() = default;
  RouteSet(std::initializer_list<Route> routes);

  using Shard = std::vector<std::shared_ptr<const Route>>;
  /// By the hash of host and prefix; empty if there are no routes.
  std::vector<CopyOnWrite<Shard>> shards;
  /// How many routes have a prefix of that length, from the longest on.
  std::map<std::size_t, int, std::greater<>> prefix_lengths;
  std::size_t size = 0;
};

/// Adds a route. One of the same host, prefix and name is replaced.
void PutRoute(Route route, RouteSet* set);
/// Removes the route of the same host, prefix and name, if there is one.
void RemoveRoute(const Route& route, RouteSet* set);

/// Returns the route for `host` with the longest prefix that matches `path`, or
/// nullptr. Of several with the same prefix, the first by name.
const Route* FindRoute(const RouteSet& set,
                       std::string_view host,
                       std::string_view path);

/// Calls `visit` with each route, in no particular order.
void VisitRoutes(const RouteSet& set,
                 const std::function<void(const Route&)>& visit);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ROUTE_SET_H_
