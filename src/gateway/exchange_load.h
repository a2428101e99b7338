#ifndef COLTSFOOTVANE_GATEWAY_EXCHANGE_LOAD_H_
#define COLTSFOOTVANE_GATEWAY_EXCHANGE_LOAD_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.h"
#include "gateway/endpoint.h"
#include "net/timer.h"

namespace coltsfootvane::gateway {

struct Gateway;

/// What a request knows of the exact load of the endpoints that it may be sent
/// to, and how long it has waited for a place at one of them.
struct LoadSearch {
  std::vector<EndpointPtr> candidates;  ///< Whose load trackers were asked.
  EndpointPtr by_reports;  ///< Chosen if no load tracker were asked.
  TimePoint asked_at;
  std::uint64_t seed = 0;
  int rounds = 0;      ///< Of queries, in the current attempt.
  int generation = 0;  ///< Identifies callbacks of earlier queries.
  int waits = 0;       ///< For a place at a plain service.
  double waited_ms = 0;
  std::optional<net::Timer> wait_timer;
  /// Requests at the endpoint before the current send, by exact figures.
  std::optional<int> found_running;
  bool refused = false;  ///< The endpoint has refused the current send as full.
};

/// Tells the load tracker of the endpoint of this daemon's own work there,
/// unless the fleet is small.
void UpdateLoad(Gateway* gateway, const Endpoint& endpoint, bool refused);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_EXCHANGE_LOAD_H_
