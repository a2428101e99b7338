#ifndef COLTSFOOTVANE_GATEWAY_TRAFFIC_H_
#define COLTSFOOTVANE_GATEWAY_TRAFFIC_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "gateway/wire_format.h"

namespace coltsfootvane::gateway {

/// Engine time that requests for a model ask for, smoothed.
struct ModelDemand {
  double ms_per_s = 0;  ///< Engine ms a second, urgent work counted in full.
  TimePoint updated;
};

/// Requests of one daemon and its demand by model and by AdapterName().
struct Traffic {
  std::map<std::string, ModelDemand, std::less<>> demand;
  std::uint64_t requests = 0;
};

/// Counts the work of a request towards the demand for its model and adapter.
void NoteDemand(Traffic* traffic, const RequestInfo& request, TimePoint now);

/// Returns the demand decayed to `now`.
double DemandAt(const ModelDemand& demand, TimePoint now);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_TRAFFIC_H_
