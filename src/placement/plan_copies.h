#ifndef COLTSFOOTVANE_PLACEMENT_PLAN_COPIES_H_
#define COLTSFOOTVANE_PLACEMENT_PLAN_COPIES_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement/plan_choice.h"
#include "placement/plan_state.h"
#include "placement/utilisation_estimate.h"

namespace coltsfootvane::detail {

/// Plans the copies beyond the first one of each model and adapter. The
/// declared minimum and, if memory suffices for all items, the copies of the
/// survival goal are required. All others are optional and may be evicted.
class CopyPlanner {
 public:
  CopyPlanner(const PlanInput& input, PlanState* state, bool packed);

  /// Reserves memory for the required copies of a model that has a copy,
  /// without issuing the loads.
  void Reserve(const DeclaredItem& model);
  /// Drops all reservations, for a first copy that fits nowhere else, and stops
  /// reserving. Returns whether there were any.
  bool DropReservations();
  /// Issues the reserved loads, then adds copies and evicts optional ones.
  void AddCopies();

  /// Returns whether the required copies of the model remain without this one.
  bool IsOptional(std::size_t i, const LoadedItem& loaded) const;

  /// Models that lack a copy and for which no endpoint has free memory.
  std::vector<std::string> unmet;

 private:
  struct Reservation {
    std::size_t endpoint;
    const DeclaredItem* model;
  };
  struct CopyNeed {
    const DeclaredItem* model;
    double gain;  ///< Requests that the new copy would take; 0 if required.
    double utilisation;  ///< Lowest one of the existing copies.
  };
  struct Eviction {
    std::size_t endpoint = 0;
    bool started = false;  ///< A copy there is being drained.
    double loss = 0;       ///< Sum of EvictionLoss() of the victims.
    std::vector<LoadedItem> victims;
  };
  using EndpointFilter = std::function<bool(std::size_t)>;

  int SurvivalCopies() const;
  bool IsSurvivalGoalFeasible() const;
  int RequiredCopies(const DeclaredItem& model) const;
  bool LacksRequiredCopies(const DeclaredItem& model) const;
  bool HasFreeMemory(std::size_t i, const DeclaredItem& model) const;
  std::optional<std::size_t> ChooseWithFreeMemory(
      const DeclaredItem& model,
      const EndpointFilter& allowed) const;
  EndpointFilter RequiredCopyFilter(const DeclaredItem& model) const;
  void IssueReservedLoads();
  void AddForDemand();
  void AddForSurvival();
  void AddAdapterCopy(const DeclaredItem& adapter);
  void HandleUnmetNeed(const CopyNeed& need, const EndpointFilter& allowed);
  /// Returns the weighted demand per remaining copy if `loaded` is unloaded
  /// from the endpoint with index `i`. Compared with the gain of a new copy.
  double EvictionLoss(std::size_t i, const LoadedItem& loaded) const;
  bool CanEvict(std::size_t i,
                const LoadedItem& loaded,
                const CopyNeed& need) const;
  std::optional<Eviction> FindEviction(std::size_t i,
                                       const CopyNeed& need) const;
  double DemandFor(const DeclaredItem& adapter) const;
  int SlotsPerCopy() const;

  const PlanInput* input;
  PlanState* state;
  bool packed;
  int survival_copies;  ///< Copies of each item for the survival goal.
  bool survival_goal_feasible;
  bool reserving = true;
  std::vector<Reservation> reservations;
  /// Models of which a required copy finds no free memory.
  std::vector<const DeclaredItem*> unplaced;
  int eviction_searches = 0;
};

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_COPIES_H_
