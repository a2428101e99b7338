#include "placement/plan_choice.h"

#include <array>
#include <utility>

namespace coltsfootvane::detail {
namespace {

// If one copy of every item needs more than this share of the memory, copies
// are packed instead of spread, since the configuration check only guarantees
// that they fit when packed.
constexpr double kMaxSpreadMemoryShare = 0.6;

}  // namespace

bool ShouldPack(const PlanState& state) {
  std::int64_t needed_mb = 0;
  for (const DeclaredItem* model : state.models)
    needed_mb += model->memory_mb;
  for (const DeclaredItem* adapter : state.adapters)
    needed_mb += adapter->memory_mb;
  std::int64_t total_mb = 0;
  for (std::size_t i = 0; i < state.EndpointCount(); ++i)
    total_mb += state.At(i).leaving ? 0 : state.At(i).endpoint->memory_mb;
  return static_cast<double>(needed_mb) >
         kMaxSpreadMemoryShare * static_cast<double>(total_mb);
}

std::set<std::string_view> DataCentresOf(const PlanState& state,
                                         const DeclaredItem& item) {
  std::set<std::string_view> data_centres;
  for (const std::size_t i : state.HoldersOf(item)) {
    if (state.IsPresent(i, item))
      data_centres.insert(state.DataCentreOf(i));
  }
  return data_centres;
}

std::optional<std::size_t> ChooseForModel(const PlanState& state,
                                          const DeclaredItem& model,
                                          const ChoiceRules& rules) {
  const auto data_centres = DataCentresOf(state, model);
  const std::int64_t group_mb = state.GroupMemory(model);
  std::optional<std::size_t> best;
  std::array<std::int64_t, 3> best_score{};
  for (std::size_t i = 0; i < state.EndpointCount(); ++i) {
    if (!state.CanBeLoaded(i, model) || (rules.allowed && !rules.allowed(i)))
      continue;
    const std::int64_t free_mb = state.FreeMemory(i);
    const bool other_data_centre =
        data_centres.count(state.DataCentreOf(i)) == 0;
    const std::array<std::int64_t, 3> score = {
        free_mb >= group_mb ? 1 : 0, other_data_centre ? 1 : 0,
        rules.packed ? -free_mb : free_mb};
    if (best && score <= best_score)
      continue;
    best = i;
    best_score = score;
  }
  return best;
}

std::optional<std::size_t> ChooseForAdapter(const PlanState& state,
                                            const DeclaredItem& adapter) {
  const DeclaredItem* const model = state.FindItem(adapter.model);
  std::optional<std::size_t> best;
  std::pair<bool, std::int64_t> best_score;
  if (model == nullptr)
    return best;
  const auto data_centres = DataCentresOf(state, adapter);
  for (const std::size_t i : state.HoldersOf(*model)) {
    if (!state.IsServing(i, *model) || !state.CanBeLoaded(i, adapter))
      continue;
    const std::int64_t free_mb =
        state.At(i).endpoint->memory_mb - ChargedMemory(state.At(i).ledger);
    const bool other_data_centre =
        data_centres.count(state.DataCentreOf(i)) == 0;
    const std::pair<bool, std::int64_t> score{other_data_centre, free_mb};
    if (best && score <= best_score)
      continue;
    best = i;
    best_score = score;
  }
  return best;
}

}  // namespace coltsfootvane::detail
