#ifndef COLTSFOOTVANE_PLACEMENT_PLAN_COPIES_H_
#define COLTSFOOTVANE_PLACEMENT_PLAN_COPIES_H_

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "placement/plan_choice.h"
#include "placement/plan_load.h"
#include "placement/plan_state.h"

namespace coltsfootvane::detail {

/// Plans the copies beyond the first one of each model and adapter. Required
/// are the declared minimum and, where memory suffices for all models, the
/// copies of the survival goal. The others are optional and may be given up.
class CopyPlanning {
 public:
  CopyPlanning(const PlanInput& input, PlanState* state, bool packed);

  /// Plans places for the required copies of a model that has a copy, without
  /// ordering the loads.
  void Reserve(const DeclaredItem& model);
  /// Gives the reserved places up, since a first copy has no other. Returns
  /// whether there were any.
  bool DropReservations();
  /// Orders the reserved loads, then adds or replaces copies.
  void AddCopies();

  /// Returns whether the copy may go without a loss of required ones.
  bool IsOptional(std::size_t i, const LoadedItem& loaded) const;

  /// Models that lack a copy and find no free memory.
  std::vector<std::string> wishes;

 private:
  struct Reservation {
    std::size_t endpoint;
    const DeclaredItem* model;
  };
  struct Want {
    const DeclaredItem* model;
    double gain;      ///< Requests that the new copy would take; 0: required.
    double pressure;  ///< Utilisation of the copies that exist.
  };
  struct Eviction {
    std::size_t endpoint = 0;
    bool started = false;
    double loss = 0;
    std::vector<LoadedItem> victims;
  };
  using Allowed = std::function<bool(std::size_t)>;

  int SurvivalCopies() const;
  bool IsGoalAffordable() const;
  int RequiredCopies(const DeclaredItem& model) const;
  bool LacksRequired(const DeclaredItem& model) const;
  bool HasFreeMemory(std::size_t i, const DeclaredItem& model) const;
  std::optional<std::size_t> ChooseFree(const DeclaredItem& model,
                                        const Allowed& allowed) const;
  Allowed RequiredPlace(const DeclaredItem& model) const;
  void OrderReserved();
  void AddForDemand();
  void AddForSurvival();
  void AddAdapterCopy(const DeclaredItem& adapter);
  void Wish(const Want& want, const Allowed& allowed);
  double LossOf(std::size_t i, const LoadedItem& loaded) const;
  bool IsVictim(std::size_t i,
                const LoadedItem& loaded,
                const Want& want) const;
  std::optional<Eviction> FindEviction(std::size_t i, const Want& want) const;
  double DemandFor(const DeclaredItem& adapter) const;
  int SlotsPerCopy() const;

  const PlanInput* input;
  PlanState* state;
  bool packed;
  int survival_copies;
  bool goal_affordable;
  bool reserving = true;
  std::vector<Reservation> reservations;
  std::vector<const DeclaredItem*> lacking;  ///< Required copies.
  int searches = 0;
};

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_COPIES_H_
