#ifndef COLTSFOOTVANE_PLACEMENT_PLAN_CHOICE_H_
#define COLTSFOOTVANE_PLACEMENT_PLAN_CHOICE_H_

#include <functional>
#include <optional>
#include <set>
#include <string_view>

#include "placement/plan_state.h"

namespace coltsfootvane::detail {

/// Constraints on the choice of an endpoint for a model.
struct ChoiceRules {
  /// Prefers the endpoint with the least free memory instead of the most.
  bool packed = false;
  /// Additional filter on endpoints by index, if set.
  std::function<bool(std::size_t)> allowed;
};

/// Returns whether copies have to be packed onto few endpoints instead of
/// spread, so that one copy of every item fits.
bool ShouldPack(const PlanState& state);

/// Returns the data centres in which the item is loaded or being loaded.
std::set<std::string_view> DataCentresOf(const PlanState& state,
                                         const DeclaredItem& item);

/// Returns the index of the endpoint for one more copy, or nothing if it fits
/// nowhere. Prefers memory for the pending adapters of the model too, then
/// another data centre.
std::optional<std::size_t> ChooseForModel(const PlanState& state,
                                          const DeclaredItem& model,
                                          const ChoiceRules& rules);

/// As ChooseForModel(), among the endpoints with a serving copy of the
/// adapter's model.
std::optional<std::size_t> ChooseForAdapter(const PlanState& state,
                                            const DeclaredItem& adapter);

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_CHOICE_H_
