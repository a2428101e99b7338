#include "gateway/traffic.h"

#include <algorithm>
#include <cmath>

#include "gateway/choice.h"

namespace coltsfootvane::gateway {
namespace {

/// Short enough to follow a shift of demand within the time of a load.
constexpr double kTimeConstantS = 3;
/// Engine time of one generated token beside the others of a batch, in ms.
constexpr double kOutputTokenMs = 0.15;

double WorkMs(const RequestInfo& request) {
  return TokensToRead(request, true) / kPromptTokensPerMs +
         request.output_tokens * kOutputTokenMs;
}

}  // namespace

void NoteDemand(Traffic* traffic, const RequestInfo& request, TimePoint now) {
  ModelDemand& demand = traffic->demand[request.model];
  demand.ms_per_s = DemandAt(demand, now) + WorkMs(request) / kTimeConstantS;
  demand.updated = now;
}

double DemandAt(const ModelDemand& demand, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - demand.updated;
  return demand.ms_per_s *
         std::exp(-std::max(0.0, elapsed.count()) / kTimeConstantS);
}

}  // namespace coltsfootvane::gateway
