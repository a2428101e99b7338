#ifndef COLTSFOOTVANE_FLEET_REPORT_H_
#define COLTSFOOTVANE_FLEET_REPORT_H_

#include <gsl/span>

#include "base/clock.h"
#include "fleet/gen/fleet_types.h"
#include "gateway/endpoint.h"
#include "gateway/traffic.h"

namespace coltsfootvane::fleet {

/// Adds a daemon's work at the endpoints and the recent outcomes there.
void AddWork(gsl::span<const gateway::EndpointPtr> endpoints,
             TimePoint now,
             gen::Report* report);

/// Adds a daemon's demand for models and adapters.
void AddDemand(const gateway::Traffic& traffic,
               TimePoint now,
               gen::Report* report);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_REPORT_H_
