#ifndef COLTSFOOTVANE_PLACEMENT_UTILISATION_ESTIMATE_H_
#define COLTSFOOTVANE_PLACEMENT_UTILISATION_ESTIMATE_H_

#include <vector>

#include "placement/plan_state.h"

namespace coltsfootvane::detail {

/// Returns the weighted demand for a model and its adapters.
double GroupDemand(const PlanInput& input, const DeclaredItem& model);

/// Estimates the utilisation of each endpoint from the weighted demand, on the
/// assumption that a dispatcher balances it over the copies.
class UtilisationEstimate {
 public:
  UtilisationEstimate(const PlanInput& input, const PlanState& state);

  /// Returns the requests per slot of the endpoint with index `i`.
  double UtilisationOf(std::size_t i) const;
  double UtilisationWith(std::size_t i, double more_requests) const;
  /// Returns the lowest utilisation among the endpoints on which the model is
  /// loaded or being loaded, or 0 if there is none.
  double LowestUtilisation(const DeclaredItem& model) const;

 private:
  struct Share {
    std::size_t endpoint = 0;
    double requests = 0;
  };
  struct ModelShares {
    double demand = 0;
    std::vector<Share> shares;
  };

  void Balance(ModelShares* model);

  const PlanState* state;
  std::vector<double> requests;  ///< By endpoint.
};

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_UTILISATION_ESTIMATE_H_
