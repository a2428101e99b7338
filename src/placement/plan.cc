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
using detail::CopyPlanning;
using detail::DeclaredItem;
using detail::PlanState;

class Planning {
 public:
  explicit Planning(const PlanInput& input)
      : state(input),
        packed(detail::IsPacked(this->state)),
        copies(input, &this->state, this->packed) {}

  PlanResult Run() {
    this->RemoveUndeclared();
    this->PlaceMissingModels();
    this->PlaceMissingAdapters();
    if (!this->incomplete)
      this->copies.AddCopies();
    PlanResult result;
    result.settled = !this->incomplete && !this->state.waiting &&
                     this->state.orders.empty() && this->copies.wishes.empty();
    result.orders = std::move(this->state.orders);
    result.wishes = std::move(this->copies.wishes);
    return result;
  }

 private:
  void PlaceMissingModels();
  void PlaceModel(const DeclaredItem& model);
  void PlaceMissingAdapters();
  void RemoveUndeclared();
  bool IsObsolete(std::size_t i, const LoadedItem& loaded) const;
  std::optional<std::size_t> ChooseForModel(const DeclaredItem& model) const;
  bool MakeRoom(const DeclaredItem& item, bool on_model_only);
  bool MakeRoomFrom(const DeclaredItem& item,
                    bool on_model_only,
                    bool optional_only);
  bool MoveAway(const DeclaredItem& item);
  void GiveUpOldVersion(const DeclaredItem& item, std::int64_t needed_mb);

  PlanState state;
  bool packed;
  CopyPlanning copies;
  bool incomplete = false;  ///< An item has no copy and no room.
};

std::optional<std::size_t> Planning::ChooseForModel(
    const DeclaredItem& model) const {
  ChoiceRules rules;
  rules.packed = this->packed;
  return detail::ChooseForModel(this->state, model, rules);
}

void Planning::PlaceMissingModels() {
  for (const DeclaredItem* model : this->state.models) {
    if (this->state.CountPresent(*model) == 0) {
      // The rest is placed by later plans; nothing else may take its room.
      if (!this->state.CanOrderModels()) {
        this->incomplete = true;
        return;
      }
      this->PlaceModel(*model);
    }
    // Smaller models leave the room of the required copies of larger ones.
    if (this->state.CountPresent(*model) > 0)
      this->copies.Reserve(*model);
  }
}

void Planning::PlaceModel(const DeclaredItem& model) {
  auto chosen = this->ChooseForModel(model);
  if (!chosen && this->copies.DropReservations())
    chosen = this->ChooseForModel(model);
  if (chosen) {
    this->state.Load(*chosen, model);
    return;
  }
  this->incomplete = true;
  if (!this->MakeRoom(model, /*on_model_only=*/false) && !this->MoveAway(model))
    this->GiveUpOldVersion(model, model.memory_mb);
}

void Planning::PlaceMissingAdapters() {
  for (const DeclaredItem* adapter : this->state.adapters) {
    if (this->state.CountPresent(*adapter) > 0)
      continue;
    if (const auto place = ChooseForAdapter(this->state, *adapter)) {
      this->state.Load(*place, *adapter);
      continue;
    }
    const DeclaredItem* const model = this->state.Find(adapter->model);
    if (model == nullptr ||
        this->state.CountSafe(*model, this->state.EndpointCount()) == 0)
      continue;
    if (this->copies.DropReservations()) {
      if (const auto place = ChooseForAdapter(this->state, *adapter)) {
        this->state.Load(*place, *adapter);
        continue;
      }
    }
    this->incomplete = true;
    if (this->MakeRoom(*adapter, /*on_model_only=*/true))
      continue;
    // A copy that is still loading may have room.
    const bool loading =
        this->state.CountPresent(*model) >
        this->state.CountSafe(*model, this->state.EndpointCount());
    const auto chosen = this->ChooseForModel(*model);
    if (loading)
      continue;
    if (chosen)
      this->state.Load(*chosen, *model);
    else
      this->GiveUpOldVersion(*model, 0);
  }
}

/// Unloads a copy that is not needed where its memory suffices for `item`.
bool Planning::MakeRoom(const DeclaredItem& item, bool on_model_only) {
  return this->MakeRoomFrom(item, on_model_only, /*optional_only=*/true) ||
         this->MakeRoomFrom(item, on_model_only, /*optional_only=*/false);
}

bool Planning::MakeRoomFrom(const DeclaredItem& item,
                            bool on_model_only,
                            bool optional_only) {
  for (std::size_t i = 0; i < this->state.EndpointCount(); ++i) {
    const PlanEndpoint& endpoint = this->state.At(i);
    const DeclaredItem* const model = this->state.Find(item.model);
    if (endpoint.leaving || (on_model_only && !this->state.IsSafe(i, *model)))
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

/// Copies a smaller model to another endpoint, so that its copy here can be
/// unloaded later to make room for `item`.
bool Planning::MoveAway(const DeclaredItem& item) {
  for (std::size_t i = 0; i < this->state.EndpointCount(); ++i) {
    const PlanEndpoint& endpoint = this->state.At(i);
    if (endpoint.leaving)
      continue;
    const std::int64_t free_mb =
        endpoint.endpoint->memory_mb - ChargedMemory(endpoint.ledger);
    for (const LoadedItem& loaded : endpoint.ledger.loaded) {
      const DeclaredItem* const moved = this->state.Find(loaded.item);
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

/// The last resort of a version change, where the versions do not fit at once:
/// unloads an old one where that frees `needed_mb`.
void Planning::GiveUpOldVersion(const DeclaredItem& item,
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

bool Planning::IsObsolete(std::size_t i, const LoadedItem& loaded) const {
  const DeclaredItem* const item = this->state.Find(loaded.item);
  if (item == nullptr || item->IsAdapter() != loaded.adapter)
    return true;
  if (loaded.adapter && !this->state.HasAnyVersion(i, item->model))
    return true;
  return item->version != loaded.version && this->state.CanRemove(i, loaded);
}

void Planning::RemoveUndeclared() {
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
  return Planning(input).Run();
}

std::vector<Order> PlanOrders(const PlanInput& input) {
  return MakePlan(input).orders;
}

}  // namespace coltsfootvane
