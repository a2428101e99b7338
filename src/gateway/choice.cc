#include "gateway/choice.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "base/digest.h"

namespace coltsfootvane::gateway {
namespace {

/// Time by which each request that runs on an engine delays the first event of
/// a new one, since the time per token grows with the batch.
constexpr double kRunningRequestMs = 0.5;
/// Average time lost by a request that fails.
constexpr double kFailurePenaltyMs = 1500;
/// Cost of sending a request to another data centre, as a wait.
constexpr double kOtherDataCentrePenaltyMs = 3;
/// Jitter between equal endpoints, so that daemons that see the same loads do
/// not all choose the same endpoint.
constexpr double kJitterMs = 3;
/// Reports are fresh up to this age, as a share of the time of a run: most of
/// the requests that they count are still running.
constexpr double kFreshShareOfRun = 0.25;
/// An ejected endpoint is used only if all are ejected.
constexpr double kEjectedPenaltyMs = 100'000;
/// An endpoint that has just refused a request has no room, whatever the
/// reports say.
constexpr double kRefusingPenaltyMs = 1000;
/// Least number of requests that an endpoint is expected to take, so that one
/// believed full is used if all are.
constexpr double kMinCapacity = 0.05;
/// Wait that halves the chance of an endpoint to be drawn.
constexpr double kHalvingWaitMs = 100;
/// Factors of that chance.
constexpr double kEjectedFactor = 1e-6;
constexpr double kRefusingFactor = 0.02;
constexpr double kOtherDataCentreFactor = 0.8;
/// Of the share of successes: one failure without a success leaves a thousandth
/// of the chance.
constexpr double kFailureExponent = 24;

/// Returns a number from 0 to 1, independent for each endpoint and seed.
double Draw(std::uint64_t seed, const Endpoint& endpoint) {
  constexpr int kMantissaBits = 53;
  const std::uint64_t hash = Hash64(endpoint.entry.id, seed);
  return std::ldexp(static_cast<double>(hash >> (64 - kMantissaBits)),
                    -kMantissaBits);
}

bool IsExcluded(const ChoiceInput& input, const Endpoint& endpoint) {
  return input.excluded != nullptr &&
         input.excluded->count(endpoint.entry.id) > 0;
}

double PenaltyMs(const Endpoint& endpoint, const ChoiceInput& input) {
  double penalty = FailureShare(endpoint, input.now) * kFailurePenaltyMs;
  if (endpoint.ejected_until > input.now)
    penalty += kEjectedPenaltyMs;
  if (endpoint.refusing_until > input.now)
    penalty += kRefusingPenaltyMs;
  if (endpoint.entry.data_centre != input.data_centre)
    penalty += kOtherDataCentrePenaltyMs;
  return penalty + Draw(input.jitter_seed, endpoint) * kJitterMs;
}

/// Returns the number of requests that the endpoint can begin until the next
/// reports: in its free slots, and as others end.
double CapacityUntilNextReports(const Endpoint& endpoint,
                                const ChoiceInput& input) {
  const bool plain = input.engine == nullptr;
  const double slots =
      std::max(1, plain ? endpoint.entry.slots : input.engine->slots);
  const double run_ms = plain ? input.call_ms : input.run_ms;
  const double ends =
      static_cast<double>(input.report_age.count()) / run_ms * slots;
  const int running = endpoint.own.running + endpoint.peers.running;
  return std::max(kMinCapacity, slots + ends - running);
}

/// Returns the chance of the endpoint to be drawn, in relation to the others.
double Weight(const Endpoint& endpoint,
              const ChoiceInput& input,
              double wait_ms) {
  double weight = CapacityUntilNextReports(endpoint, input) /
                  (1 + wait_ms / kHalvingWaitMs);
  if (endpoint.ejected_until > input.now)
    weight *= kEjectedFactor;
  if (endpoint.refusing_until > input.now)
    weight *= kRefusingFactor;
  if (endpoint.entry.data_centre != input.data_centre)
    weight *= kOtherDataCentreFactor;
  return weight *
         std::pow(1 - FailureShare(endpoint, input.now), kFailureExponent);
}

bool UsesAdapter(const ChoiceInput& input) {
  return input.engine != nullptr && !input.request->adapter.empty();
}

/// Returns the first requirement that the endpoint does not meet, or kChosen.
ChoiceVerdict CheckEligibility(const Endpoint& endpoint,
                               const ChoiceInput& input) {
  const bool paused = IsPaused(endpoint, input.now);
  // One that was tried and asked for a pause may be used after it.
  if (!TakesNewWork(endpoint) || endpoint.entry.service != input.service ||
      (!paused && IsExcluded(input, endpoint)))
    return ChoiceVerdict::kNoEndpoint;
  if (input.engine != nullptr &&
      !HoldsModel(endpoint, input.request->model, input.now))
    return ChoiceVerdict::kNoModel;
  if (paused)
    return ChoiceVerdict::kPaused;
  if (UsesAdapter(input) && !HoldsAdapter(endpoint, input.request->model,
                                          input.request->adapter, input.now))
    return ChoiceVerdict::kNoAdapter;
  return ChoiceVerdict::kChosen;
}

/// Orders verdicts by how many requirements were met.
int Progress(ChoiceVerdict verdict) {
  switch (verdict) {
    case ChoiceVerdict::kNoEndpoint:
      return 0;
    case ChoiceVerdict::kNoModel:
      return 1;
    case ChoiceVerdict::kPaused:
      return 2;
    case ChoiceVerdict::kNoAdapter:
      return 3;
    case ChoiceVerdict::kChosen:
      return 4;
  }
  return 0;
}

int PromptTokens(const Endpoint& endpoint) {
  return endpoint.own.prompt_tokens + endpoint.peers.prompt_tokens;
}

/// The work at an engine before a new request.
struct WorkAhead {
  int running = 0;  ///< All requests, which slow each other down.
  int ahead = 0;    ///< Of these, those that the new one does not pass.
  int tokens = 0;   ///< Of prompts.
};

/// Returns the time until the engine gives the first event of a new request.
double EngineWaitMs(const WorkAhead& work,
                    const EngineSpec& engine,
                    double run_ms) {
  const int queued = std::max(0, work.ahead - engine.slots + 1);
  return work.tokens / kPromptTokensPerMs + work.running * kRunningRequestMs +
         queued * run_ms / std::max(1, engine.slots);
}

/// Keeps the pause of the endpoint if it ends before those seen so far.
void KeepFirstPause(const Endpoint& endpoint, Choice* choice) {
  const StatedAvailability& stated = *endpoint.stated;
  if (choice->paused_until != TimePoint() &&
      stated.paused_until >= choice->paused_until)
    return;
  choice->paused_since = stated.paused_since;
  choice->paused_until = stated.paused_until;
}

const Endpoint* PreferredForPrompt(gsl::span<const EndpointPtr> endpoints,
                                   const ChoiceInput& input) {
  const Endpoint* preferred = nullptr;
  std::uint64_t highest = 0;
  for (const EndpointPtr& endpoint : endpoints) {
    if (CheckEligibility(*endpoint, input) != ChoiceVerdict::kChosen)
      continue;
    const std::uint64_t rank = PromptRank(*input.request, *endpoint);
    if (preferred == nullptr || rank > highest) {
      preferred = endpoint.get();
      highest = rank;
    }
  }
  return preferred;
}

}  // namespace

int TokensToPrefill(const RequestInfo& request, bool preferred) {
  if (request.prompt.size() < 2)
    return request.prompt_tokens;
  int cached = request.prompt.front().tokens;
  if (preferred) {
    for (std::size_t i = 1; i + 1 < request.prompt.size(); ++i)
      cached += request.prompt[i].tokens;
  }
  return std::max(1, request.prompt_tokens - cached);
}

std::uint64_t PromptRank(const RequestInfo& request, const Endpoint& endpoint) {
  std::uint64_t seed = Hash64(request.model);
  seed = Hash64(request.adapter, seed);
  if (request.prompt.size() >= 2)
    seed ^= request.prompt[request.prompt.size() - 2].id;
  return Hash64(endpoint.entry.id, seed);
}

double ExpectedWaitMs(const Endpoint& endpoint,
                      const EngineSpec* engine,
                      int tokens,
                      double run_ms,
                      double call_ms) {
  const int running = endpoint.own.running + endpoint.peers.running;
  if (engine == nullptr) {
    const int slots = std::max(1, endpoint.entry.slots);
    const int queued = std::max(0, running - slots + 1);
    return call_ms * (static_cast<double>(queued) / slots) +
           static_cast<double>(running) / slots;
  }
  const int yielding = endpoint.own.yielding + endpoint.peers.yielding;
  const int yielding_tokens =
      endpoint.own.yielding_tokens + endpoint.peers.yielding_tokens;
  return EngineWaitMs({running, running - yielding,
                       PromptTokens(endpoint) - yielding_tokens + tokens},
                      *engine, run_ms);
}

double YieldingWaitMs(const Endpoint& endpoint,
                      const EngineSpec& engine,
                      int tokens,
                      double run_ms) {
  const int running = endpoint.own.running + endpoint.peers.running;
  return EngineWaitMs({running, running, PromptTokens(endpoint) + tokens},
                      engine, run_ms);
}

namespace {

/// The expected waits of a request at one endpoint, in ms.
struct Waits {
  double on_time = 0;
  double yielding = 0;
  double others = 0;    ///< Cost of the prompt for other requests there.
  double compared = 0;  ///< The one by which endpoints are compared.
};

double CostForOthersMs(const Endpoint& endpoint,
                       const ChoiceInput& input,
                       int tokens) {
  if (input.engine == nullptr || input.mix == nullptr)
    return 0;
  return prefill::CostForOthersMs(
      *input.mix,
      {endpoint.own.running + endpoint.peers.running, PromptTokens(endpoint),
       kPromptTokensPerMs, input.run_ms},
      tokens);
}

Waits WaitsAt(const Endpoint& endpoint, const ChoiceInput& input, int tokens) {
  Waits waits;
  waits.on_time = ExpectedWaitMs(endpoint, input.engine, tokens, input.run_ms,
                                 input.call_ms);
  waits.yielding =
      input.engine == nullptr
          ? waits.on_time
          : YieldingWaitMs(endpoint, *input.engine, tokens, input.run_ms);
  waits.compared =
      waits.on_time > input.objective_ms ? waits.yielding : waits.on_time;
  waits.others = CostForOthersMs(endpoint, input, tokens);
  // In old reports, the cost would drive all daemons away from the same
  // engines.
  if (HasFreshReports(input))
    waits.compared += waits.others;
  return waits;
}

}  // namespace

Choice ChooseEndpoint(gsl::span<const EndpointPtr> endpoints,
                      const ChoiceInput& input) {
  Choice best;
  const bool fresh = HasFreshReports(input);
  double least_cost = std::numeric_limits<double>::max();
  double weight_sum = 0;
  const Endpoint* const preferred =
      input.engine == nullptr ? nullptr : PreferredForPrompt(endpoints, input);
  for (const EndpointPtr& endpoint : endpoints) {
    const ChoiceVerdict verdict = CheckEligibility(*endpoint, input);
    if (Progress(verdict) > Progress(best.verdict))
      best.verdict = verdict;
    if (verdict == ChoiceVerdict::kPaused)
      KeepFirstPause(*endpoint, &best);
    if (verdict != ChoiceVerdict::kChosen)
      continue;
    const int tokens =
        input.engine == nullptr
            ? 0
            : TokensToPrefill(*input.request, endpoint.get() == preferred);
    const Waits waits = WaitsAt(*endpoint, input, tokens);
    const double wait = waits.compared;
    if (fresh) {
      const double cost = wait + PenaltyMs(*endpoint, input);
      if (best.endpoint != nullptr && cost >= least_cost)
        continue;
      least_cost = cost;
    } else {
      // Replaces the one drawn so far with the chance that gives each endpoint
      // its share of the sum in the end.
      const double weight = Weight(*endpoint, input, wait);
      weight_sum += weight;
      if (best.endpoint != nullptr &&
          Draw(input.jitter_seed, *endpoint) * weight_sum >= weight)
        continue;
    }
    best.endpoint = endpoint;
    best.wait_ms = waits.on_time;
    best.yielding_wait_ms = waits.yielding;
  }
  return best;
}

bool HasFreshReports(const ChoiceInput& input) {
  const double run_ms = input.engine == nullptr ? input.call_ms : input.run_ms;
  return static_cast<double>(input.report_age.count()) <=
         kFreshShareOfRun * run_ms;
}

std::vector<AssessedEndpoint> AssessEndpoints(
    gsl::span<const EndpointPtr> endpoints,
    const ChoiceInput& input) {
  const Endpoint* const preferred =
      input.engine == nullptr ? nullptr : PreferredForPrompt(endpoints, input);
  std::vector<AssessedEndpoint> assessed;
  for (const EndpointPtr& endpoint : endpoints) {
    if (CheckEligibility(*endpoint, input) != ChoiceVerdict::kChosen)
      continue;
    AssessedEndpoint one;
    one.endpoint = endpoint;
    one.preferred = endpoint.get() == preferred;
    const int tokens = input.engine == nullptr
                           ? 0
                           : TokensToPrefill(*input.request, one.preferred);
    const Waits waits = WaitsAt(*endpoint, input, tokens);
    one.wait_ms = waits.on_time;
    one.yielding_wait_ms = waits.yielding;
    one.others_ms = waits.others;
    one.penalty_ms = PenaltyMs(*endpoint, input);
    one.weight = Weight(*endpoint, input, waits.compared);
    one.draw = Draw(input.jitter_seed, *endpoint);
    assessed.push_back(std::move(one));
  }
  return assessed;
}

}  // namespace coltsfootvane::gateway
