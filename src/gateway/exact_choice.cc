#include "gateway/exact_choice.h"

#include <algorithm>
#include <optional>

#include "occupancy/candidates.h"

namespace coltsfootvane::gateway {
namespace {

/// Share of the work of yielding requests that counts against an engine which
/// would interrupt them for the request: they are read again from the start.
constexpr double kInterruptionShare = 0.5;

bool IsExact(const Endpoint& endpoint, TimePoint asked_at) {
  return endpoint.exact_at >= asked_at;
}

double ComparedMs(const AssessedEndpoint& one, const ChoiceInput& input) {
  if (one.wait_ms > input.objective_ms)
    return one.yielding_wait_ms;
  return one.wait_ms +
         kInterruptionShare * (one.yielding_wait_ms - one.wait_ms);
}

void SetBeginTimes(const AssessedEndpoint& one,
                   const ChoiceInput& input,
                   Choice* choice) {
  const Endpoint& endpoint = *one.endpoint;
  const int running = endpoint.own.running + endpoint.peers.running;
  const int yielding = endpoint.own.yielding + endpoint.peers.yielding;
  const int slots = input.engine->slots;
  choice->begin_ms =
      occupancy::BeginMs(running - yielding, slots, input.run_ms);
  choice->yielding_begin_ms = occupancy::BeginMs(running, slots, input.run_ms);
}

void SetChosen(const AssessedEndpoint& one, Choice* choice) {
  choice->verdict = ChoiceVerdict::kChosen;
  choice->endpoint = one.endpoint;
  choice->wait_ms = one.wait_ms;
  choice->yielding_wait_ms = one.yielding_wait_ms;
}

occupancy::PlainEndpoint ToPlain(const AssessedEndpoint& one,
                                 const ChoiceInput& input,
                                 TimePoint asked_at) {
  const Endpoint& endpoint = *one.endpoint;
  occupancy::PlainEndpoint plain;
  plain.running = endpoint.own.running + endpoint.peers.running;
  plain.slots = std::max(1, endpoint.entry.slots);
  plain.limit = endpoint.place_limit;
  plain.penalty_ms = one.penalty_ms;
  plain.exact = IsExact(endpoint, asked_at);
  plain.ejected = endpoint.ejected_until > input.now;
  plain.reported = {one.weight, one.draw};
  return plain;
}

}  // namespace

std::vector<EndpointPtr> DrawLoadCandidates(
    gsl::span<const EndpointPtr> endpoints,
    const ChoiceInput& input,
    gsl::span<const EndpointPtr> asked) {
  std::vector<AssessedEndpoint> eligible = AssessEndpoints(endpoints, input);
  eligible.erase(std::remove_if(eligible.begin(), eligible.end(),
                                [asked](const AssessedEndpoint& one) {
                                  return std::find(asked.begin(), asked.end(),
                                                   one.endpoint) != asked.end();
                                }),
                 eligible.end());
  std::vector<occupancy::WeightedEndpoint> weighted;
  std::optional<std::size_t> preferred;
  for (const AssessedEndpoint& one : eligible) {
    if (one.preferred)
      preferred = weighted.size();
    weighted.push_back({one.weight, one.draw});
  }
  const bool is_small = input.engine == nullptr &&
                        eligible.size() <= occupancy::kMaxPlainEndpoints;
  const std::size_t count = is_small ? eligible.size() : occupancy::kCandidates;
  std::vector<EndpointPtr> drawn;
  for (const std::size_t position :
       occupancy::DrawCandidates(weighted, count, preferred))
    drawn.push_back(eligible[position].endpoint);
  return drawn;
}

Choice ChooseExact(gsl::span<const EndpointPtr> candidates,
                   const ChoiceInput& input,
                   TimePoint asked_at) {
  Choice choice;
  const std::vector<AssessedEndpoint> usable =
      AssessEndpoints(candidates, input);
  if (usable.empty())
    return choice;
  std::vector<occupancy::ComparedCandidate> compared;
  compared.reserve(usable.size());
  for (const AssessedEndpoint& one : usable)
    compared.push_back({ComparedMs(one, input) + one.others_ms + one.penalty_ms,
                        IsExact(*one.endpoint, asked_at),
                        {one.weight, one.draw}});
  const AssessedEndpoint& chosen = usable[occupancy::ChooseCandidate(compared)];
  SetChosen(chosen, &choice);
  if (input.engine != nullptr && IsExact(*chosen.endpoint, asked_at))
    SetBeginTimes(chosen, input, &choice);
  return choice;
}

PlainChoice ChoosePlain(gsl::span<const EndpointPtr> candidates,
                        const ChoiceInput& input,
                        const occupancy::PlainRequest& request,
                        TimePoint asked_at) {
  PlainChoice result;
  const std::vector<AssessedEndpoint> usable =
      AssessEndpoints(candidates, input);
  if (usable.empty())
    return result;
  std::vector<occupancy::PlainEndpoint> plain;
  plain.reserve(usable.size());
  for (const AssessedEndpoint& one : usable)
    plain.push_back(ToPlain(one, input, asked_at));
  result.decision = occupancy::DecidePlain(plain, request);
  SetChosen(usable[result.decision.position], &result.choice);
  return result;
}

}  // namespace coltsfootvane::gateway
