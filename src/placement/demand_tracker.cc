#include "placement/demand_tracker.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane {
namespace {

constexpr double kRiseTimeConstantS = 5;
constexpr double kFallTimeConstantS = 300;
// Items with less demand than this are dropped; it is too low to affect the
// number of copies.
constexpr double kNegligibleRequests = 0.001;

double Smooth(double value, double target, double elapsed_s) {
  const double time_constant_s =
      target > value ? kRiseTimeConstantS : kFallTimeConstantS;
  return target + (value - target) * std::exp(-elapsed_s / time_constant_s);
}

}  // namespace

void UpdateDemand(DemandTracker* tracker,
                  gsl::span<const ItemDemand> demand,
                  TimePoint now) {
  const bool first = tracker->updated_at == TimePoint();
  const double elapsed_s =
      first ? 0
            : std::chrono::duration<double>(now - tracker->updated_at).count();
  tracker->updated_at = now;
  std::map<std::string, std::array<double, kPriorityCount>> targets;
  for (const ItemDemand& item : demand) {
    auto& target = targets[item.item];
    for (std::size_t i = 0; i < kPriorityCount; ++i)
      target[i] += item.requests[i];
    tracker->smoothed.try_emplace(item.item);
  }
  for (auto it = tracker->smoothed.begin(); it != tracker->smoothed.end();) {
    const auto& target = targets[it->first];
    double total = 0;
    for (std::size_t i = 0; i < kPriorityCount; ++i) {
      it->second[i] = Smooth(it->second[i], target[i], elapsed_s);
      total += it->second[i] + target[i];
    }
    it = total < kNegligibleRequests ? tracker->smoothed.erase(it)
                                     : std::next(it);
  }
}

std::map<std::string, double> WeightedDemand(
    const DemandTracker& tracker,
    const std::array<PriorityClass, kPriorityCount>& classes) {
  double highest = 0;
  for (const PriorityClass& priority_class : classes)
    highest = std::max(highest, priority_class.value);
  std::map<std::string, double> weighted;
  for (const auto& [item, requests] : tracker.smoothed) {
    double sum = 0;
    for (std::size_t i = 0; i < kPriorityCount; ++i)
      sum += requests[i] * (highest > 0 ? classes[i].value / highest : 1);
    weighted[item] = sum;
  }
  return weighted;
}

}  // namespace coltsfootvane
