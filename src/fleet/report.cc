#include "fleet/report.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::fleet {
namespace {

constexpr std::size_t kMaxWorkInReport = 48;
constexpr std::size_t kMaxDemandInReport = 48;

std::int16_t RoundedCount(double count) {
  return static_cast<std::int16_t>(std::lround(std::min(count, 30000.0)));
}

}  // namespace

void AddWork(gsl::span<const gateway::EndpointPtr> endpoints,
             TimePoint now,
             gen::Report* report) {
  for (const gateway::EndpointPtr& endpoint : endpoints) {
    gen::EndpointWork work;
    work.endpoint = static_cast<std::int32_t>(endpoint->key);
    work.running = endpoint->own.running;
    work.prompt_tokens = endpoint->own.prompt_tokens;
    const double factor = gateway::OutcomeDecay(*endpoint, now);
    work.good = RoundedCount(endpoint->outcomes.successes * factor);
    work.bad = RoundedCount(endpoint->outcomes.failures * factor);
    // Good results matter only if other daemons have reported bad ones.
    const bool good_counts = work.good > 0 && endpoint->peer_failures > 0;
    const bool idle = work.running == 0 && work.bad == 0 && !good_counts;
    if (!idle && report->work.size() < kMaxWorkInReport)
      report->work.push_back(work);
  }
}

void AddDemand(const gateway::Traffic& traffic,
               TimePoint now,
               gen::Report* report) {
  for (const auto& [model, demand] : traffic.demand) {
    gen::ModelDemand wire;
    wire.model = static_cast<std::int32_t>(gateway::KeyOf(model));
    wire.ms_per_s =
        static_cast<std::int32_t>(std::lround(gateway::DemandAt(demand, now)));
    if (wire.ms_per_s > 0 && report->demand.size() < kMaxDemandInReport)
      report->demand.push_back(wire);
  }
}

}  // namespace coltsfootvane::fleet
