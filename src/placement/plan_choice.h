#ifndef COLTSFOOTVANE_PLACEMENT_PLAN_CHOICE_H_
#define COLTSFOOTVANE_PLACEMENT_PLAN_CHOICE_H_

#include <functional>
#include <optional>
#include <set>
#include <string_view>

#include "placement/plan_state.h"

namespace coltsfootvane::detail {

struct ChoiceRules {
  /// Fill the fullest endpoint instead of the emptiest one.
  bool packed = false;
  /// Further condition on the endpoint, if set.
  std::function<bool(std::size_t)> allowed;
};

/// Returns whether single copies are packed instead of spread.
bool IsPacked(const PlanState& state);

/// Returns the data centres that have, or are loading, the item.
std::set<std::string_view> CentresOf(const PlanState& state,
                                     const DeclaredItem& item);

/// Returns the endpoint for one more copy, or nothing if it fits nowhere.
std::optional<std::size_t> ChooseForModel(const PlanState& state,
                                          const DeclaredItem& model,
                                          const ChoiceRules& rules);

/// As ChooseForModel(), among the endpoints with a safe copy of the model.
std::optional<std::size_t> ChooseForAdapter(const PlanState& state,
                                            const DeclaredItem& adapter);

}  // namespace coltsfootvane::detail

#endif  // COLTSFOOTVANE_PLACEMENT_PLAN_CHOICE_H_
