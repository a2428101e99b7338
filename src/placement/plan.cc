#include "placement/plan.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "placement/plan_choice.h"
#include "placement/plan_copies.h"
#include "placement/plan_state.h"

namespace coltsfootvane {
namespace {

using detail::ChoiceRules;
using detail::ChooseForAdapter;
using detail::CopyPlanner;
using detail::DeclaredItem;
using detail::PlanState;

class PlanBuilder {
 public:
  explicit PlanBuilder(const PlanInput& input)
      : state(input),
        packed(detail::ShouldPack(this->state)),
        copies(input, &this->state, this->packed) {}

  PlanResult Run() {
    this->UnloadObsolete();
    this->PlaceMissingModels();
    this->PlaceMissingAdapters();
    if (!this->incomplete)
      this->copies.AddCopies();
    PlanResult result;
    result.settled = !this->incomplete && !this->state.waiting &&
                     this->state.commands.empty() && this->copies.unmet.empty();
    result.commands = std::move(this->state.commands);
    result.unmet = std::move(this->copies.unmet);
    return result;
  }

 private:
  void PlaceMissingModels();
  void PlaceModel(const DeclaredItem& model);
  void PlaceMissingAdapters();
  void UnloadObsolete();
  bool IsObsolete(std::size_t i, const LoadedItem& loaded) const;
  std::optional<std::size_t> ChooseForModel(const DeclaredItem& model) const;
  bool EvictFor(const DeclaredItem& item, bool with_model_only);
  bool EvictMatchingFor(const DeclaredItem& item,
                        bool with_model_only,
                        bool optional_only);
  bool RelocateSmallerModelFor(const DeclaredItem& item);
  void UnloadOldVersion(const DeclaredItem& item, std::int64_t needed_mb);

  PlanState state;
  bool packed;
  CopyPlanner copies;
  bool incomplete = false;  ///< Some item has no copy yet.
};

std::optional<std::size_t> PlanBuilder::ChooseForModel(
    const DeclaredItem& model) const {
  ChoiceRules rules;
  rules.packed = this->packed;
  return detail::ChooseForModel(this->state, model, rules);
}

void PlanBuilder::PlaceMissingModels() {
  for (const DeclaredItem* model : this->state.models) {
    if (this->state.CountPresent(*model) == 0) {
      // Later plans place the remaining models. AddCopies() is skipped, so that
      // nothing else takes their memory.
      if (!this->state.CanIssueModelLoad()) {
        this->incomplete = true;
        return;
      }
      this->PlaceModel(*model);
    }
    // Smaller models must not take the memory for the required copies of
    // larger ones.
    if (this->state.CountPresent(*model) > 0)
      this->copies.Reserve(*model);
  }
}

void PlanBuilder::PlaceModel(const DeclaredItem& model) {
  auto chosen = this->ChooseForModel(model);
  if (!chosen && this->copies.DropReservations())
    chosen = this->ChooseForModel(model);
  if (chosen) {
    this->state.Load(*chosen, model);
    return;
  }
  this->incomplete = true;
  if (!this->EvictFor(model, /*with_model_only=*/false) &&
      !this->RelocateSmallerModelFor(model))
    this->UnloadOldVersion(model, model.memory_mb);
}

void PlanBuilder::PlaceMissingAdapters() {
  for (const DeclaredItem* adapter : this->state.adapters) {
    if (this->state.CountPresent(*adapter) > 0)
      continue;
    if (const auto place = ChooseForAdapter(this->state, *adapter)) {
      this->state.Load(*place, *adapter);
      continue;
    }
    const DeclaredItem* const model = this->state.FindItem(adapter->model);
    if (model == nullptr ||
        this->state.CountServing(*model, this->state.EndpointCount()) == 0)
      continue;
    if (this->copies.DropReservations()) {
      if (const auto place = ChooseForAdapter(this->state, *adapter)) {
        this->state.Load(*place, *adapter);
        continue;
      }
    }
    this->incomplete = true;
    if (this->EvictFor(*adapter, /*with_model_only=*/true))
      continue;
    // A copy of the model that is still loading may have memory for the
    // adapter.
    const bool loading =
        this->state.CountPresent(*model) >
        this->state.CountServing(*model, this->state.EndpointCount());
    const auto chosen = this->ChooseForModel(*model);
    if (loading)
      continue;
    if (chosen)
      this->state.Load(*chosen, *model);
    else
      this->UnloadOldVersion(*model, 0);
  }
}

/// Frees memory for `item` on one endpoint by unloading copies that are not
/// needed there, preferably only optional ones. With `with_model_only`, only
/// endpoints that serve the item's model are considered.
bool PlanBuilder::EvictFor(const DeclaredItem& item, bool with_model_only) {
  return this->EvictMatchingFor(item, with_model_only,
                                /*optional_only=*/true) ||
         this->EvictMatchingFor(item, with_model_only, /*optional_only=*/false);
}

bool PlanBuilder::EvictMatchingFor(const DeclaredItem& item,
                                   bool with_model_only,
                                   bool optional_only) {
  for (std::size_t i = 0; i < this->state.EndpointCount(); ++i) {
    const PlanEndpoint& endpoint = this->state.At(i);
    const DeclaredItem* const model = this->state.FindItem(item.model);
    if (endpoint.leaving ||
        (with_model_only && !this->state.IsServing(i, *model)))
      continue;
    std::int64_t free_mb =
        endpoint.endpoint->memory_mb - ChargedMemory(endpoint.ledger);
    std::vector<LoadedItem> victims;
    for (const LoadedItem& loaded : endpoint.ledger.loaded) {
      const bool own_model = loaded.item == item.model;
      if (free_mb >= item.memory_mb || own_model ||
          !this->state.CanRemove(i, loaded) ||
          (optional_only && !this->copies.IsOptional(i, loaded)))
        continue;
      free_mb += loaded.memory_mb;
      victims.push_back(loaded);
    }
    if (free_mb < item.memory_mb || victims.empty())
      continue;
    for (const LoadedItem& victim : victims)
      this->state.Unload(i, victim);
    return true;
  }
  return false;
}

/// Loads a smaller model on another endpoint, so that a later plan can unload
/// its present copy to free memory for `item`.
bool PlanBuilder::RelocateSmallerModelFor(const DeclaredItem& item) {
  for (std::size_t i = 0; i < this->state.EndpointCount(); ++i) {
    const PlanEndpoint& endpoint = this->state.At(i);
    if (endpoint.leaving)
      continue;
    const std::int64_t free_mb =
        endpoint.endpoint->memory_mb - ChargedMemory(endpoint.ledger);
    for (const LoadedItem& loaded : endpoint.ledger.loaded) {
      const DeclaredItem* const moved = this->state.FindItem(loaded.item);
      if (moved == nullptr || moved->IsAdapter() ||
          moved->version != loaded.version ||
          moved->memory_mb >= item.memory_mb ||
          free_mb + moved->memory_mb < item.memory_mb ||
          this->state.CountPresent(*moved) > 1)
        continue;
      const auto chosen = this->ChooseForModel(*moved);
      if (!chosen)
        continue;
      this->state.Load(*chosen, *moved);
      return true;
    }
  }
  return false;
}

/// Last resort when the old and the new version of an item do not fit in memory
/// together: unloads an old version where that frees `needed_mb`.
void PlanBuilder::UnloadOldVersion(const DeclaredItem& item,
                                   std::int64_t needed_mb) {
  for (std::size_t i = 0; i < this->state.EndpointCount(); ++i) {
    const PlanEndpoint& endpoint = this->state.At(i);
    for (const LoadedItem& loaded : endpoint.ledger.loaded) {
      const std::int64_t free_mb =
          endpoint.endpoint->memory_mb - ChargedMemory(endpoint.ledger);
      if (loaded.item != item.name || loaded.version == item.version ||
          free_mb + loaded.memory_mb < needed_mb || endpoint.leaving)
        continue;
      this->state.Unload(i, loaded);
      return;
    }
  }
}

bool PlanBuilder::IsObsolete(std::size_t i, const LoadedItem& loaded) const {
  const DeclaredItem* const item = this->state.FindItem(loaded.item);
  if (item == nullptr || item->IsAdapter() != loaded.adapter)
    return true;
  if (loaded.adapter && !this->state.HasAnyVersion(i, item->model))
    return true;
  return item->version != loaded.version && this->state.CanRemove(i, loaded);
}

void PlanBuilder::UnloadObsolete() {
  for (std::size_t i = 0; i < this->state.EndpointCount(); ++i) {
    if (this->state.At(i).leaving)
      continue;
    const std::vector<LoadedItem> items = this->state.At(i).ledger.loaded;
    for (const LoadedItem& loaded : items) {
      if (this->IsObsolete(i, loaded))
        this->state.Unload(i, loaded);
    }
  }
}

}  // namespace

PlanResult MakePlan(const PlanInput& input) {
  return PlanBuilder(input).Run();
}

std::vector<PlannedCommand> PlanCommands(const PlanInput& input) {
  return MakePlan(input).commands;
}

}  // namespace coltsfootvane
