#include "gateway/choice.h"

#include <algorithm>
#include <limits>

#include "base/digest.h"

namespace coltsfootvane::gateway {
namespace {

/// Assumed duration of a call to a plain service.
constexpr double kServiceCallMs = 60;
/// Time by which each request that runs on an engine delays the first event of
/// a new one, since the time per token grows with the batch.
constexpr double kRunningRequestMs = 0.5;
/// Average time lost by a request that fails.
constexpr double kFailurePenaltyMs = 1500;
/// Cost of sending a request to another data centre, as a wait.
constexpr double kOtherDataCentrePenaltyMs = 3;
/// Jitter between equal endpoints, so that daemons that see the same loads do
/// not all choose the same endpoint.
constexpr double kMinJitterMs = 3;
/// Jitter in ms for each ms of age of the other daemons' reports.
constexpr double kJitterPerReportAge = 0.15;
/// Less than the penalty of a full or failing endpoint, so that jitter cannot
/// hide it.
constexpr double kMaxJitterMs = 200;
/// Report age up to which the least jitter is enough for engines: their
/// requests run longer than this, so that the reported loads still hold. Calls
/// to plain services are shorter, so that this does not apply to them.
constexpr Milliseconds kEngineReportFreshness{250};
/// An ejected endpoint is used only if all are ejected.
constexpr double kEjectedPenaltyMs = 100'000;
/// Makes endpoints with a free slot preferred over full ones.
constexpr double kFullPenaltyMs = 400;

double Jitter(std::uint64_t seed, std::uint32_t key) {
  const std::uint64_t mixed = (seed ^ key) * 0x9E3779B97F4A7C15ULL;
  return static_cast<double>(mixed >> 40) / static_cast<double>(1 << 24);
}

bool IsExcluded(const ChoiceInput& input, const Endpoint& endpoint) {
  return input.excluded != nullptr &&
         input.excluded->count(endpoint.entry.id) > 0;
}

double JitterRangeMs(const ChoiceInput& input) {
  const Milliseconds fresh =
      input.engine == nullptr ? Milliseconds{0} : kEngineReportFreshness;
  const auto age = static_cast<double>((input.report_age - fresh).count());
  return std::clamp(kJitterPerReportAge * age, kMinJitterMs, kMaxJitterMs);
}

double PenaltyMs(const Endpoint& endpoint, const ChoiceInput& input) {
  double penalty = FailureShare(endpoint, input.now) * kFailurePenaltyMs;
  if (endpoint.ejected_until > input.now)
    penalty += kEjectedPenaltyMs;
  if (endpoint.entry.data_centre != input.data_centre)
    penalty += kOtherDataCentrePenaltyMs;
  return penalty +
         Jitter(input.jitter_seed, endpoint.key) * JitterRangeMs(input);
}

bool UsesAdapter(const ChoiceInput& input) {
  return input.engine != nullptr && !input.request->adapter.empty();
}

/// Returns the first requirement that the endpoint does not meet, or kChosen.
ChoiceVerdict CheckEligibility(const Endpoint& endpoint,
                               const ChoiceInput& input) {
  if (endpoint.gone || endpoint.entry.draining ||
      endpoint.entry.service != input.service || IsExcluded(input, endpoint))
    return ChoiceVerdict::kNoEndpoint;
  if (input.engine == nullptr)
    return ChoiceVerdict::kChosen;
  if (!HoldsModel(endpoint, input.request->model, input.now))
    return ChoiceVerdict::kNoModel;
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
    case ChoiceVerdict::kNoAdapter:
      return 2;
    case ChoiceVerdict::kChosen:
      return 3;
  }
  return 0;
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
                      int tokens) {
  const int running = endpoint.own.running + endpoint.peers.running;
  if (engine == nullptr) {
    const int slots = std::max(1, endpoint.entry.slots);
    const int queued = std::max(0, running - slots + 1);
    return kServiceCallMs * (static_cast<double>(queued) / slots) +
           static_cast<double>(running) / slots;
  }
  const int queued = endpoint.own.prompt_tokens + endpoint.peers.prompt_tokens;
  const int excess = std::max(0, running - engine->slots + 1);
  return (queued + tokens) / kPromptTokensPerMs + running * kRunningRequestMs +
         (excess > 0 ? kFullPenaltyMs + excess * kRunningRequestMs : 0);
}

Choice ChooseEndpoint(gsl::span<const EndpointPtr> endpoints,
                      const ChoiceInput& input) {
  Choice best;
  double least_cost = std::numeric_limits<double>::max();
  const Endpoint* const preferred =
      input.engine == nullptr ? nullptr : PreferredForPrompt(endpoints, input);
  for (const EndpointPtr& endpoint : endpoints) {
    const ChoiceVerdict verdict = CheckEligibility(*endpoint, input);
    if (Progress(verdict) > Progress(best.verdict))
      best.verdict = verdict;
    if (verdict != ChoiceVerdict::kChosen)
      continue;
    const int tokens =
        input.engine == nullptr
            ? 0
            : TokensToPrefill(*input.request, endpoint.get() == preferred);
    const double wait = ExpectedWaitMs(*endpoint, input.engine, tokens);
    const double cost = wait + PenaltyMs(*endpoint, input);
    if (cost >= least_cost)
      continue;
    least_cost = cost;
    best.endpoint = endpoint;
    best.wait_ms = wait;
  }
  return best;
}

}  // namespace coltsfootvane::gateway
