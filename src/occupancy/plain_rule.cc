#include "occupancy/plain_rule.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace coltsfootvane::occupancy {
namespace {

/// Attempts for which a request waits, and the longest sum of these waits as a
/// share of the objective. With a share of 0.5 the calls that had waited made
/// others late: in a burst, fewer were on time than without waits.
constexpr int kMaxWaits = 3;
constexpr double kMaxWaitShare = 0.1;
/// First wait, as a share of a call. Each rank waits that much longer, so that
/// urgent requests find the places that become free.
constexpr double kWaitPerCall = 0.25;
constexpr double kMinWaitMs = 4;
/// Places left to more urgent requests, for each rank, as a share of the slots.
constexpr double kReservePerRank = 1.0 / 3;
constexpr int kMaxReservedRanks = 2;
/// Returns the number of requests at which an endpoint counts as full.
double PlacesAt(const PlainEndpoint& endpoint, const PlainRequest& request) {
  const double call_ms = std::max(1.0, request.call_ms);
  double places = std::numeric_limits<double>::max();
  if (request.objective_ms > 0)
    places = endpoint.slots * (1 + request.objective_ms / call_ms);
  if (endpoint.limit > 0)
    places = std::min(
        places, static_cast<double>(std::max(endpoint.limit, endpoint.slots)));
  return places;
}

double WaitFor(const PlainRequest& request) {
  const double base = std::max(
      kMinWaitMs, request.call_ms * kWaitPerCall *
                      (1 + std::clamp(request.rank, 0, kMaxReservedRanks)));
  return base * std::exp2(request.waits) * (0.75 + request.jitter / 2);
}

/// Returns the time in which the queues of all endpoints end.
double DrainMs(gsl::span<const PlainEndpoint> endpoints, double call_ms) {
  int queued = 0;
  int slots = 0;
  for (const PlainEndpoint& endpoint : endpoints) {
    queued += std::max(0, endpoint.running - endpoint.slots);
    slots += endpoint.slots;
  }
  return queued * call_ms / std::max(1, slots);
}

bool MayWait(const PlainRequest& request, double wait_ms, double drain_ms) {
  return request.waits < kMaxWaits &&
         request.waited_ms + wait_ms <= request.objective_ms * kMaxWaitShare &&
         wait_ms + drain_ms + request.call_ms < request.time_left_ms;
}

struct Usable {
  std::vector<ComparedCandidate> candidates;
  std::vector<std::size_t> positions;
};

/// Returns the endpoints that have a place, with `reserve` left free. Ejected
/// ones are used only if all are.
Usable FindUsable(gsl::span<const PlainEndpoint> endpoints,
                  const PlainRequest& request,
                  double reserve_share) {
  const bool all_ejected =
      std::all_of(endpoints.begin(), endpoints.end(),
                  [](const PlainEndpoint& one) { return one.ejected; });
  Usable usable;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const PlainEndpoint& endpoint = endpoints[i];
    const double places =
        std::max(static_cast<double>(endpoint.slots),
                 PlacesAt(endpoint, request) - reserve_share * endpoint.slots);
    if (endpoint.running >= places || (endpoint.ejected && !all_ejected))
      continue;
    ComparedCandidate candidate;
    candidate.cost_ms =
        PlainWaitMs(endpoint.running, endpoint.slots, request.call_ms) +
        endpoint.penalty_ms;
    candidate.exact = endpoint.exact;
    candidate.reported = endpoint.reported;
    usable.candidates.push_back(candidate);
    usable.positions.push_back(i);
  }
  return usable;
}

}  // namespace

double PlainWaitMs(int running, int slots, double call_ms) {
  const int queued = std::max(0, running - slots + 1);
  // Among endpoints with free slots the least busy one comes first.
  return (queued * call_ms + running) / std::max(1, slots);
}

double CallMsOf(double elapsed_ms, int running, int slots) {
  const double queued = std::max(0, running - slots + 1);
  return elapsed_ms / (1 + queued / std::max(1, slots));
}

PlainDecision DecidePlain(gsl::span<const PlainEndpoint> endpoints,
                          const PlainRequest& request) {
  PlainDecision decision;
  const double drain_ms = DrainMs(endpoints, request.call_ms);
  const double wait_ms = WaitFor(request);
  const bool may_wait = MayWait(request, wait_ms, drain_ms);
  const int rank = std::clamp(request.rank, 0, kMaxReservedRanks);
  const Usable usable =
      FindUsable(endpoints, request, may_wait ? rank * kReservePerRank : 0);
  if (!usable.positions.empty()) {
    decision.position = usable.positions[ChooseCandidate(usable.candidates)];
    return decision;
  }
  if (may_wait) {
    decision.verdict = PlainVerdict::kWait;
    decision.wait_ms = wait_ms;
    return decision;
  }
  decision.verdict = PlainVerdict::kRefuse;
  decision.earliest_ms = std::max(drain_ms / 2, request.call_ms);
  decision.spread_ms = std::max(drain_ms, request.call_ms);
  return decision;
}

}  // namespace coltsfootvane::occupancy
