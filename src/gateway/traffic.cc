#include "gateway/traffic.h"

#include <algorithm>
#include <cmath>

#include "gateway/choice.h"

namespace coltsfootvane::gateway {
namespace {

/// Short enough to follow a shift of demand within the load time of a model.
constexpr double kTimeConstantS = 3;
constexpr double kRecentTimeConstantS = 1;
/// Engine time of the requests of a caller that arrive together.
constexpr double kBurstWorkMs = 200;
/// Engine time per generated token in a batch.
constexpr double kOutputTokenMs = 0.15;

/// Weight of a new run in the moving average.
constexpr double kNewRunWeight = 1.0 / 16;
constexpr double kMinRunMs = 50;

double WorkMs(const RequestInfo& request) {
  return TokensToPrefill(request, true) / kPromptTokensPerMs +
         request.output_tokens * kOutputTokenMs;
}

double Decay(double value, double elapsed_s, double time_constant_s) {
  return value * std::exp(-std::max(0.0, elapsed_s) / time_constant_s);
}

void AddDemand(ModelDemand* demand, double work_ms, TimePoint now) {
  *demand = DemandAt(*demand, now);
  demand->ms_per_s += work_ms / kTimeConstantS;
  demand->recent_ms_per_s += work_ms / kRecentTimeConstantS;
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

ModelDemand DemandAt(const ModelDemand& demand, TimePoint now) {
  const std::chrono::duration<double> elapsed = now - demand.updated;
  ModelDemand decayed;
  decayed.ms_per_s = Decay(demand.ms_per_s, elapsed.count(), kTimeConstantS);
  decayed.recent_ms_per_s =
      Decay(demand.recent_ms_per_s, elapsed.count(), kRecentTimeConstantS);
  decayed.updated = now;
  return decayed;
}

double ExpectedDemand(const ModelDemand& demand, double ahead_s) {
  const double slow = demand.ms_per_s;
  const double recent = demand.recent_ms_per_s;
  const double noise = std::sqrt(kBurstWorkMs * std::max(slow, recent) /
                                 (2 * kRecentTimeConstantS));
  if (recent < slow)
    return std::min(slow, recent + noise);
  const double rise = std::max(0.0, recent - slow - noise);
  // Each average lags behind a steady rise by its time constant.
  const double rise_per_s = rise / (kTimeConstantS - kRecentTimeConstantS);
  constexpr double kMostOfRecent = 2;
  return std::clamp(recent + rise_per_s * (kRecentTimeConstantS + ahead_s),
                    slow, recent * kMostOfRecent);
}

}  // namespace coltsfootvane::gateway
