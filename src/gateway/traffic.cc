#include "gateway/traffic.h"

#include <algorithm>
#include <cmath>

#include "gateway/choice.h"

namespace coltsfootvane::gateway {
namespace {

/// Short enough to follow a shift of demand within the load time of a model.
constexpr double kTimeConstantS = 3;
/// Engine time per generated token in a batch.
constexpr double kOutputTokenMs = 0.15;

double WorkMs(const RequestInfo& request) {
  return TokensToPrefill(request, true) / kPromptTokensPerMs +
         request.output_tokens * kOutputTokenMs;
}

void AddDemand(ModelDemand* demand, double work_ms, TimePoint now) {
  demand->ms_per_s = DemandAt(*demand, now) + work_ms / kTimeConstantS;
  demand->updated = now;
}

}  // namespace

void RecordDemand(Traffic* traffic, const RequestInfo& request, TimePoint now) {
  const double work_ms = WorkMs(request);
  AddDemand(&traffic->demand[request.model], work_ms, now);
  if (request.adapter.empty())
    return;
  AddDemand(&traffic->demand[AdapterName(request.model, request.adapter)],
            work_ms, now);
}

double DemandAt(const ModelDemand& demand, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - demand.updated;
  return demand.ms_per_s *
         std::exp(-std::max(0.0, elapsed.count()) / kTimeConstantS);
}

}  // namespace coltsfootvane::gateway
