#ifndef COLTSFOOTVANE_GATEWAY_CHOICE_H_
#define COLTSFOOTVANE_GATEWAY_CHOICE_H_

#include <cstdint>
#include <gsl/span>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "gateway/endpoint.h"
#include "gateway/routing_table.h"
#include "gateway/wire_format.h"
#include "prefill/prefill.h"

namespace coltsfootvane::gateway {

/// Time for which a request occupies a slot of an engine, in ms, until some
/// have been observed.
inline constexpr double kDefaultRunMs = 1500;
/// The same for a plain service.
inline constexpr double kServiceCallMs = 60;

/// Inputs of the choice of an endpoint, apart from the endpoints themselves.
struct ChoiceInput {
  std::string_view service;
  const EngineSpec* engine = nullptr;  ///< nullptr for a plain service.
  const RequestInfo* request = nullptr;
  std::string_view data_centre;                     ///< Of this daemon.
  const std::set<std::string>* excluded = nullptr;  ///< Ids of tried endpoints.
  TimePoint now;
  Milliseconds report_age{0};  ///< Greatest age of the other daemons' reports.
  /// Typical time for which a request to this service occupies a slot, in ms.
  double run_ms = kDefaultRunMs;
  /// Typical time of a call to a plain service, in ms.
  double call_ms = kServiceCallMs;
  std::uint64_t jitter_seed = 0;  ///< Random; differs between daemons.
  /// The request yields to others wherever it would begin later than this; 0 if
  /// it does in any case.
  double objective_ms = std::numeric_limits<double>::infinity();
  /// Long and short prompts that meet at the service, or nullptr if they do
  /// not.
  const prefill::Mix* mix = nullptr;
};

enum class ChoiceVerdict {
  kChosen,
  kNoEndpoint,  ///< The service has no usable endpoint.
  kNoModel,     ///< No endpoint has the model loaded.
  kNoAdapter,   ///< Endpoints have the model, but not the adapter.
  kPaused,      ///< All that could be used want no requests for a while.
};

struct Choice {
  ChoiceVerdict verdict = ChoiceVerdict::kNoEndpoint;
  EndpointPtr endpoint;
  double wait_ms = 0;  ///< Expected time to the first byte of the answer.
  double yielding_wait_ms = 0;  ///< The same if the request yields to others.
  /// Time until the engine has a free slot for the request, and for one that
  /// yields, by exact figures; not set if the figures are those of reports.
  std::optional<double> begin_ms;
  std::optional<double> yielding_begin_ms;
  /// If all are paused, the pause that ends first.
  TimePoint paused_since;
  TimePoint paused_until;
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

/// Returns the expected time to the first byte of an answer, in ms. A request
/// beyond the slots waits until enough of the others have ended.
double ExpectedWaitMs(const Endpoint& endpoint,
                      const EngineSpec* engine,
                      int tokens,
                      double run_ms = kDefaultRunMs,
                      double call_ms = kServiceCallMs);

/// Returns the same for a request that yields to others: the engine begins it
/// after them.
double YieldingWaitMs(const Endpoint& endpoint,
                      const EngineSpec& engine,
                      int tokens,
                      double run_ms);

/// Chooses the endpoint with the least cost: the expected wait plus penalties
/// for recent failures and for traffic between data centres.
///
/// All daemons see the same reports. With reports that are old compared with
/// the run of a request, the endpoint with the least work in them would get
/// every request until the next ones. It is then drawn at random instead, in
/// proportion to the requests that each endpoint can begin within the age of
/// the reports, so that all daemons together fill each endpoint evenly.
Choice ChooseEndpoint(gsl::span<const EndpointPtr> endpoints,
                      const ChoiceInput& input);

/// Returns whether the reports show the present work at the endpoints.
bool HasFreshReports(const ChoiceInput& input);

/// An endpoint that a request may be sent to, as this daemon sees it.
struct AssessedEndpoint {
  EndpointPtr endpoint;
  double wait_ms = 0;  ///< As in Choice.
  double yielding_wait_ms = 0;
  double others_ms = 0;    ///< Cost of a prompt for other requests there.
  double penalty_ms = 0;   ///< For failures, refusals and distance.
  double weight = 0;       ///< In a draw by reports.
  double draw = 0;         ///< From 0 to 1, by ChoiceInput::jitter_seed.
  bool preferred = false;  ///< For the cached parts of the prompt.
};

/// Returns the endpoints that meet all requirements of the request.
std::vector<AssessedEndpoint> AssessEndpoints(
    gsl::span<const EndpointPtr> endpoints,
    const ChoiceInput& input);

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_CHOICE_H_
