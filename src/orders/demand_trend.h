#ifndef COLTSFOOTVANE_ORDERS_DEMAND_TREND_H_
#define COLTSFOOTVANE_ORDERS_DEMAND_TREND_H_

#include "base/clock.h"

namespace coltsfootvane::orders {

/// Slow average of a demand, beside which a rise shows.
struct DemandTrend {
  double average = 0;
  TimePoint updated;
};

/// Takes over the present demand and returns the one expected by the time that
/// a copy ordered now is loaded. Never below 0.
double FollowDemand(DemandTrend* trend, double demand, TimePoint now);

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_DEMAND_TREND_H_
