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

/// Weight of a new run in the moving average.
constexpr double kNewRunWeight = 1.0 / 16;
constexpr double kMinRunMs = 50;

double WorkMs(const RequestInfo& request) {
  return TokensToPrefill(request, true) / kPromptTokensPerMs +
         request.output_tokens * kOutputTokenMs;
}

void AddDemand(ModelDemand* demand, double work_ms, TimePoint now) {
  *demand = DemandAt(*demand, now);
  demand->ms_per_s += work_ms / kTimeConstantS;
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

void RecordRun(Traffic* traffic, const std::string& service, double run_ms) {
  const auto [run, inserted] = traffic->run_ms.emplace(service, kDefaultRunMs);
  run->second += kNewRunWeight * (run_ms - run->second);
}

double RunMs(const Traffic& traffic, std::string_view service) {
  const auto run = traffic.run_ms.find(service);
  return run == traffic.run_ms.end() ? kDefaultRunMs
                                     : std::max(kMinRunMs, run->second);
}

const prefill::Mix* MixOf(const Traffic& traffic, std::string_view service) {
  const auto mix = traffic.mixes.find(service);
  return mix != traffic.mixes.end() &&
                 prefill::IsMixed(mix->second, kPromptTokensPerMs)
             ? &mix->second
             : nullptr;
}

ModelDemand DemandAt(const ModelDemand& demand, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - demand.updated;
  const double decay =
      std::exp(-std::max(0.0, elapsed.count()) / kTimeConstantS);
  return {demand.ms_per_s * decay, now};
}

}  // namespace coltsfootvane::gateway
