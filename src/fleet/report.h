#ifndef COLTSFOOTVANE_FLEET_REPORT_H_
#define COLTSFOOTVANE_FLEET_REPORT_H_

#include <cstdint>
#include <gsl/span>
#include <map>

#include "base/clock.h"
#include "fleet/gen/fleet_types.h"
#include "gateway/endpoint.h"
#include "gateway/traffic.h"

namespace coltsfootvane::fleet {

using WorkByEndpoint = std::map<std::int32_t, gen::EndpointWork>;
/// Demand as of a report. It decays from then on, with the sender and with the
/// receiver alike.
using DemandByModel = std::map<std::int32_t, gateway::ModelDemand>;

/// Every so many reports one lists all work, which mends what lost reports have
/// left wrong.
inline constexpr int kReportsPerWholeList = 8;

/// What the reports sent so far have said, by key.
struct SentReports {
  WorkByEndpoint work;
  DemandByModel demand;
  int until_whole_list = 0;
};

/// Returns whether there is nothing to report of an endpoint.
bool IsIdle(const gen::EndpointWork& work);

/// Returns a daemon's work at the endpoints, and the recent outcomes there.
WorkByEndpoint CollectWork(gsl::span<const gateway::EndpointPtr> endpoints,
                           TimePoint now);

/// Returns a daemon's demand for models and adapters.
DemandByModel CollectDemand(const gateway::Traffic& traffic, TimePoint now);

/// Adds all work and demand to a report, as far as it has room.
void AddAll(const WorkByEndpoint& work,
            const DemandByModel& demand,
            gen::Report* report);

/// Adds what differs from the reports sent so far or, if it is time for that,
/// all. What the report has no room for remains to be sent.
void AddChanges(const WorkByEndpoint& work,
                const DemandByModel& demand,
                SentReports* sent,
                gen::Report* report);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_REPORT_H_
