#ifndef COLTSFOOTVANE_GATEWAY_CHOICE_H_
#define COLTSFOOTVANE_GATEWAY_CHOICE_H_

#include <cstdint>
#include <gsl/span>
#include <set>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "gateway/endpoint.h"
#include "gateway/routing_table.h"
#include "gateway/wire_format.h"

namespace coltsfootvane::gateway {

/// Inputs of the choice of an endpoint, apart from the endpoints themselves.
struct ChoiceInput {
  std::string_view service;
  const EngineSpec* engine = nullptr;  ///< nullptr for a plain service.
  const RequestInfo* request = nullptr;
  std::string_view data_centre;                     ///< Of this daemon.
  const std::set<std::string>* excluded = nullptr;  ///< Ids of tried endpoints.
  TimePoint now;
  Milliseconds report_age{0};  ///< Greatest age of the other daemons' reports.
  std::uint64_t jitter_seed = 0;  ///< Random; differs between daemons.
};

enum class ChoiceVerdict {
  kChosen,
  kNoEndpoint,  ///< The service has no usable endpoint.
  kNoModel,     ///< No endpoint has the model loaded.
  kNoAdapter,   ///< Endpoints have the model, but not the adapter.
};

struct Choice {
  ChoiceVerdict verdict = ChoiceVerdict::kNoEndpoint;
  EndpointPtr endpoint;
  double wait_ms = 0;  ///< Expected time to the first byte of the answer.
};

/// Assumed prefill rate of an engine that also generates tokens for other
/// requests.
inline constexpr double kPromptTokensPerMs = 30;

/// Returns the number of prompt tokens that are not in the prefix cache of an
/// engine. The preferred engine of a shared prompt is assumed to have all parts
/// but the last cached, other engines only the first part.
int TokensToPrefill(const RequestInfo& request, bool preferred);

/// Returns the rendezvous hash of a shared prompt and an endpoint. The endpoint
/// with the highest hash is preferred.
std::uint64_t PromptRank(const RequestInfo& request, const Endpoint& endpoint);

/// Returns the expected time to the first byte of an answer, in ms.
double ExpectedWaitMs(const Endpoint& endpoint,
                      const EngineSpec* engine,
                      int tokens);

/// Chooses the endpoint with the least cost: the expected wait plus penalties
/// for recent failures and for traffic between data centres, plus random jitter
/// that grows with the age of the other daemons' reports. All daemons see the
/// same reports, so that without jitter the endpoint with the least load in
/// them would get every request until the next reports.
Choice ChooseEndpoint(gsl::span<const EndpointPtr> endpoints,
                      const ChoiceInput& input);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_CHOICE_H_
