#include "gateway/traffic.h"

#include <algorithm>
#include <cmath>

#include "gateway/choice.h"

namespace coltsfootvane::gateway {
namespace {

/// Short enough to follow a shift of demand within the load time of a model.
constexpr double kTimeConstantS = 3;
/// Least engine time of a generated token: that in a large batch.
constexpr double kMinOutputTokenMs = 0.15;

/// Weight of a new run in the moving average.
constexpr double kNewRunWeight = 1.0 / 16;
constexpr double kMinRunMs = 50;
constexpr double kMinCallMs = 1;
/// Of one call, in relation to the average: one that hung says little of
/// others.
constexpr double kMaxCallRatio = 8;

double WorkMs(const RequestInfo& request, double output_token_ms) {
  return TokensToPrefill(request, true) / kPromptTokensPerMs +
         request.output_tokens * output_token_ms;
}

void AddDemand(ModelDemand* demand, double work_ms, TimePoint now) {
  *demand = DemandAt(*demand, now);
  demand->ms_per_s += work_ms / kTimeConstantS;
}

}  // namespace

void RecordDemand(Traffic* traffic,
                  const RequestInfo& request,
                  double output_token_ms,
                  TimePoint now) {
  const double work_ms = WorkMs(request, output_token_ms);
  AddDemand(&traffic->demand[request.model], work_ms, now);
  if (request.adapter.empty())
    return;
  AddDemand(&traffic->demand[AdapterName(request.model, request.adapter)],
            work_ms, now);
}

void RecordRun(Traffic* traffic,
               const std::string& service,
               double run_ms,
               int output_tokens) {
  const auto [run, inserted] = traffic->run_ms.emplace(service, kDefaultRunMs);
  run->second += kNewRunWeight * (run_ms - run->second);
  if (output_tokens <= 0)
    return;
  const double token_ms = run_ms / output_tokens;
  const auto [token, is_first] = traffic->token_ms.emplace(service, token_ms);
  token->second += kNewRunWeight * (token_ms - token->second);
}

double OutputTokenMs(const Traffic& traffic,
                     std::string_view service,
                     int slots) {
  const auto token = traffic.token_ms.find(service);
  if (token == traffic.token_ms.end())
    return kMinOutputTokenMs;
  return std::max(kMinOutputTokenMs, token->second / std::max(1, slots));
}

double RunMs(const Traffic& traffic, std::string_view service) {
  const auto run = traffic.run_ms.find(service);
  return run == traffic.run_ms.end() ? kDefaultRunMs
                                     : std::max(kMinRunMs, run->second);
}

void RecordCall(Traffic* traffic, const std::string& service, double call_ms) {
  const auto [call, inserted] =
      traffic->call_ms.emplace(service, kServiceCallMs);
  const double bounded = std::min(call_ms, call->second * kMaxCallRatio);
  call->second += kNewRunWeight * (bounded - call->second);
}

double CallMs(const Traffic& traffic, std::string_view service) {
  const auto call = traffic.call_ms.find(service);
  return call == traffic.call_ms.end() ? kServiceCallMs
                                       : std::max(kMinCallMs, call->second);
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
