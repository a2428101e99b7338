#include "placement/utilisation_estimate.h"

#include <algorithm>
#include <limits>

namespace coltsfootvane::detail {
namespace {

// Each pass redistributes the demand for every model, given that of the others.
// After three passes the estimate changes by less than one request in
// examples/shop.
constexpr int kBalancingPasses = 3;

double DemandFor(const PlanInput& input, std::string_view item) {
  const auto found = input.demand.find(std::string(item));
  return found == input.demand.end() ? 0 : found->second;
}

}  // namespace

double GroupDemand(const PlanInput& input, const DeclaredItem& model) {
  double demand = DemandFor(input, model.name);
  for (const DeclaredItem* adapter : model.adapters)
    demand += DemandFor(input, adapter->name);
  return demand;
}

UtilisationEstimate::UtilisationEstimate(const PlanInput& input,
                                         const PlanState& state)
    : state(&state), requests(state.EndpointCount()) {
  if (input.demand.empty())
    return;
  std::vector<ModelShares> placed;
  for (const DeclaredItem* model : state.models) {
    ModelShares shares;
    shares.demand = GroupDemand(input, *model);
    for (const std::size_t i : state.HoldersOf(*model)) {
      if (state.IsPresent(i, *model))
        shares.shares.push_back({i, 0});
    }
    if (shares.demand > 0 && !shares.shares.empty())
      placed.push_back(std::move(shares));
  }
  // Models with the fewest copies go first, since they have the least choice.
  std::stable_sort(placed.begin(), placed.end(),
                   [](const ModelShares& a, const ModelShares& b) {
                     return a.shares.size() < b.shares.size();
                   });
  for (int pass = 0; pass < kBalancingPasses; ++pass) {
    for (ModelShares& model : placed)
      this->Balance(&model);
  }
}

double UtilisationEstimate::UtilisationWith(std::size_t i,
                                            double more_requests) const {
  const int slots = std::max(1, this->state->At(i).endpoint->slots);
  return (this->requests[i] + more_requests) / slots;
}

double UtilisationEstimate::UtilisationOf(std::size_t i) const {
  return this->UtilisationWith(i, 0);
}

double UtilisationEstimate::LowestUtilisation(const DeclaredItem& model) const {
  double lowest = std::numeric_limits<double>::max();
  bool held = false;
  for (const std::size_t i : this->state->HoldersOf(model)) {
    if (!this->state->IsPresent(i, model))
      continue;
    held = true;
    lowest = std::min(lowest, this->UtilisationOf(i));
  }
  return held ? lowest : 0;
}

/// Redistributes the demand for a model over its copies by water-filling: the
/// least utilised endpoints are filled up to a common utilisation.
void UtilisationEstimate::Balance(ModelShares* model) {
  for (Share& share : model->shares) {
    this->requests[share.endpoint] -= share.requests;
    share.requests = 0;
  }
  std::sort(model->shares.begin(), model->shares.end(),
            [this](const Share& a, const Share& b) {
              const double first = this->UtilisationOf(a.endpoint);
              const double second = this->UtilisationOf(b.endpoint);
              return first != second ? first < second : a.endpoint < b.endpoint;
            });
  double slots = 0;
  double total_requests = model->demand;
  double common_utilisation = 0;
  for (std::size_t k = 0; k < model->shares.size(); ++k) {
    const std::size_t i = model->shares[k].endpoint;
    if (k > 0 && this->UtilisationOf(i) >= common_utilisation)
      break;
    slots += std::max(1, this->state->At(i).endpoint->slots);
    total_requests += this->requests[i];
    common_utilisation = total_requests / slots;
  }
  for (Share& share : model->shares) {
    const int own_slots =
        std::max(1, this->state->At(share.endpoint).endpoint->slots);
    share.requests = std::max(
        0.0, common_utilisation * own_slots - this->requests[share.endpoint]);
    this->requests[share.endpoint] += share.requests;
  }
}

}  // namespace coltsfootvane::detail
