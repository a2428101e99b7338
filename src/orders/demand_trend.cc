#include "orders/demand_trend.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::orders {
namespace {

constexpr double kTimeConstantS = 4;
/// Part of the difference to the average by which demand goes on changing.
constexpr double kLead = 0.6;

}  // namespace

double FollowDemand(DemandTrend* trend, double demand, TimePoint now) {
  if (trend->updated == TimePoint())
    trend->average = demand;
  const std::chrono::duration<double> elapsed = now - trend->updated;
  const double kept =
      std::exp(-std::max(0.0, elapsed.count()) / kTimeConstantS);
  trend->average = demand + (trend->average - demand) * kept;
  trend->updated = now;
  return std::max(0.0, demand + (demand - trend->average) * kLead);
}

}  // namespace coltsfootvane::orders
