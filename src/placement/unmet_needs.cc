#include "placement/unmet_needs.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace coltsfootvane {
namespace {

// Demand has to last this many load times before copies move, so that the gain
// outweighs the cost of the loads.
constexpr int kPersistenceLoadTimes = 10;
// A shorter gap does not restart the period, since demand may vary around the
// limit.
constexpr Milliseconds kMaxUnmetGap{5000};
// Upper bound for slower weight stores.
constexpr double kMaxLoadTimeMs = 60'000;

}  // namespace

Milliseconds LoadTime(const WeightStore& store) {
  const double at_once = std::max(1, store.loads_at_once);
  const double load_ms = store.loads_per_s > 0
                             ? 1000 * at_once / store.loads_per_s
                             : kMaxLoadTimeMs;
  return Milliseconds{std::llround(std::clamp(load_ms, 1.0, kMaxLoadTimeMs))};
}

void UpdateUnmetNeeds(UnmetNeeds* needs,
                      gsl::span<const std::string> unmet,
                      TimePoint now) {
  // A settled plan is not repeated, so the last update may be long ago.
  for (auto it = needs->by_model.begin(); it != needs->by_model.end();) {
    const bool keep = now - it->second.last_seen < kMaxUnmetGap;
    it = keep ? std::next(it) : needs->by_model.erase(it);
  }
  for (const std::string& model : unmet) {
    const auto [need, added] =
        needs->by_model.try_emplace(model, UnmetNeeds::Need{now, now});
    need->second.last_seen = now;
  }
}

std::set<std::string, std::less<>> PersistentUnmetNeeds(
    const UnmetNeeds& needs,
    const WeightStore& store,
    TimePoint now) {
  std::set<std::string, std::less<>> persistent;
  for (const auto& [model, need] : needs.by_model) {
    if (now - need.first_seen >= kPersistenceLoadTimes * LoadTime(store))
      persistent.insert(model);
  }
  return persistent;
}

}  // namespace coltsfootvane
