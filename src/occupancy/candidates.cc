#include "occupancy/candidates.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace coltsfootvane::occupancy {
namespace {

/// Returns a key by which the items with the highest keys are a weighted sample
/// without replacement (Efraimidis and Spirakis, 2006).
double SampleKey(const WeightedEndpoint& endpoint) {
  const double draw = std::max(endpoint.draw, 1e-12);
  return std::log(draw) / std::max(endpoint.weight, 1e-300);
}

}  // namespace

std::vector<std::size_t> DrawCandidates(
    gsl::span<const WeightedEndpoint> endpoints,
    std::size_t count,
    std::optional<std::size_t> always) {
  std::vector<std::pair<double, std::size_t>> keys;
  for (std::size_t i = 0; i < endpoints.size(); ++i) {
    const bool first = always && *always == i;
    keys.emplace_back(
        first ? -std::numeric_limits<double>::max() : -SampleKey(endpoints[i]),
        i);
  }
  std::sort(keys.begin(), keys.end());
  std::vector<std::size_t> positions;
  for (const auto& [key, position] : keys) {
    if (positions.size() < count)
      positions.push_back(position);
  }
  return positions;
}

std::size_t ChooseCandidate(gsl::span<const ComparedCandidate> candidates) {
  std::size_t drawn = 0;
  std::size_t best = candidates.size();
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (SampleKey(candidates[i].reported) >
        SampleKey(candidates[drawn].reported))
      drawn = i;
    if (candidates[i].exact &&
        (best == candidates.size() ||
         candidates[i].cost_ms < candidates[best].cost_ms))
      best = i;
  }
  const bool use_draw = best == candidates.size() || !candidates[drawn].exact;
  return use_draw ? drawn : best;
}

double BeginMs(int ahead, int slots, double run_ms) {
  const int queued = std::max(0, ahead - slots + 1);
  return queued * run_ms / std::max(1, slots);
}

}  // namespace coltsfootvane::occupancy
