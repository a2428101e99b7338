#include "placement/plan_wishes.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace coltsfootvane {
namespace {

// A gain of a move has to last this many load times.
constexpr int kGainLoadTimes = 10;
// Demand that varies around a limit does not start the time anew.
constexpr Milliseconds kWishPause{5000};
// Of a weight store that is declared to be slower.
constexpr double kLongestLoadMs = 60'000;

}  // namespace

Milliseconds LoadTime(const WeightStore& store) {
  const double at_once = std::max(1, store.loads_at_once);
  const double load_ms = store.loads_per_s > 0
                             ? 1000 * at_once / store.loads_per_s
                             : kLongestLoadMs;
  return Milliseconds{std::llround(std::clamp(load_ms, 1.0, kLongestLoadMs))};
}

void UpdateWishes(PlanWishes* wishes,
                  gsl::span<const std::string> wished,
                  TimePoint now) {
  // A settled plan is not repeated, so a wish may be long past by now.
  for (auto it = wishes->wishes.begin(); it != wishes->wishes.end();) {
    const bool keep = now - it->second.seen < kWishPause;
    it = keep ? std::next(it) : wishes->wishes.erase(it);
  }
  for (const std::string& model : wished) {
    const auto [wish, added] =
        wishes->wishes.try_emplace(model, PlanWishes::Wish{now, now});
    wish->second.seen = now;
  }
}

std::set<std::string, std::less<>> LastingWishes(const PlanWishes& wishes,
                                                 const WeightStore& store,
                                                 TimePoint now) {
  std::set<std::string, std::less<>> lasting;
  for (const auto& [model, wish] : wishes.wishes) {
    if (now - wish.since >= kGainLoadTimes * LoadTime(store))
      lasting.insert(model);
  }
  return lasting;
}

}  // namespace coltsfootvane
