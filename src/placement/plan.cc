#include "placement/plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <utility>

#include "placement/plan_state.h"

namespace coltsfootvane {
namespace {

using detail::DeclaredItem;
using detail::PlanState;

// A copy moves to another model only if the demand per copy there is this many
// times as high, so that similar demands do not exchange copies for ever.
constexpr double kMoveGain = 2;
// Bounds the time of a plan; the next plan goes on.
constexpr int kEvictionsPerPlan = 4;
// Above this share of memory, single copies are packed instead of spread, since
// the configuration check only promises that they fit when packed.
constexpr double kPackedShare = 0.6;

class Planning {
 public:
  explicit Planning(const PlanInput& input)
      : input(&input), state(input), packed(this->IsPacked()) {}

  std::vector<Order> Run() {
    this->RemoveUndeclared();
    this->PlaceMissingModels();
    this->PlaceMissingAdapters();
    if (!this->incomplete)
      this->AddCopies();
    return std::move(this->state.orders);
  }

 private:
  bool IsPacked() const;
  void PlaceMissingModels();
  void PlaceMissingAdapters();
  void RemoveUndeclared();
  void AddCopies();
  void AddModelCopy(const DeclaredItem& model);
  void AddAdapterCopy(const DeclaredItem& adapter);
  bool IsObsolete(std::size_t i, const LoadedItem& loaded) const;
  std::optional<std::size_t> ChooseForModel(const DeclaredItem& model) const;
  std::optional<std::size_t> ChooseForAdapter(
      const DeclaredItem& adapter) const;
  bool MakeRoom(const DeclaredItem& item, bool on_model_only);
  bool MoveAway(const DeclaredItem& item);
  void GiveUpOldVersion(const DeclaredItem& item, std::int64_t needed_mb);
  void EvictForDemand(const DeclaredItem& model);
  double Demand(std::string_view item) const;
  double GroupDemand(const DeclaredItem& model) const;
  int SurvivalCopies() const;
  int WantedCopies(const DeclaredItem& model) const;
  int SlotsPerCopy() const;

  const PlanInput* input;
  PlanState state;
  bool packed;
  int evictions = 0;        ///< Searches for a copy to evict.
  bool incomplete = false;  ///< An item has no copy and no room.
};

bool Planning::IsPacked() const {
  std::int64_t needed_mb = 0;
  for (const DeclaredItem* model : this->state.models)
    needed_mb += model->memory_mb;
  for (const DeclaredItem* adapter : this->state.adapters)
    needed_mb += adapter->memory_mb;
  std::int64_t total_mb = 0;
  for (const PlanEndpoint& endpoint : this->input->endpoints)
    total_mb += endpoint.leaving ? 0 : endpoint.endpoint->memory_mb;
  return static_cast<double>(needed_mb) >
         kPackedShare * static_cast<double>(total_mb);
}

void Planning::PlaceMissingModels() {
  for (const DeclaredItem* model : this->state.models) {
    if (this->state.CountPresent(*model) > 0)
      continue;
    // The rest is placed by later plans; nothing else may take its room.
    if (!this->state.HasModelBudget()) {
      this->incomplete = true;
      return;
    }
    if (const auto chosen = this->ChooseForModel(*model)) {
      this->state.Load(*chosen, *model);
      continue;
    }
    this->incomplete = true;
    if (!this->MakeRoom(*model, /*on_model_only=*/false) &&
        !this->MoveAway(*model))
      this->GiveUpOldVersion(*model, model->memory_mb);
  }
}

void Planning::PlaceMissingAdapters() {
  for (const DeclaredItem* adapter : this->state.adapters) {
    if (this->state.CountPresent(*adapter) > 0)
      continue;
    if (const auto chosen = this->ChooseForAdapter(*adapter)) {
      this->state.Load(*chosen, *adapter);
      continue;
    }
    const DeclaredItem* const model = this->state.Find(adapter->model);
    if (model == nullptr ||
        this->state.CountSafe(*model, this->state.EndpointCount()) == 0)
      continue;
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

std::optional<std::size_t> Planning::ChooseForModel(
    const DeclaredItem& model) const {
  std::set<std::string_view> data_centres;
  for (const std::size_t i : this->state.HoldersOf(model.name)) {
    if (this->state.IsPresent(i, model))
      data_centres.insert(this->state.DataCentreOf(i));
  }
  const std::int64_t group_mb = this->state.GroupMemory(model);
  std::optional<std::size_t> best;
  std::array<std::int64_t, 3> best_score{};
  for (std::size_t i = 0; i < this->state.EndpointCount(); ++i) {
    if (!this->state.CanBeLoaded(i, model))
      continue;
    const std::int64_t free_mb = this->state.FreeMemory(i);
    const bool other_centre =
        data_centres.count(this->state.DataCentreOf(i)) == 0;
    const std::array<std::int64_t, 3> score = {
        free_mb >= group_mb ? 1 : 0, other_centre ? 1 : 0,
        this->packed ? -free_mb : free_mb};
    if (best && score <= best_score)
      continue;
    best = i;
    best_score = score;
  }
  return best;
}

std::optional<std::size_t> Planning::ChooseForAdapter(
    const DeclaredItem& adapter) const {
  const DeclaredItem* const model = this->state.Find(adapter.model);
  std::optional<std::size_t> best;
  std::pair<bool, std::int64_t> best_score;
  if (model == nullptr)
    return best;
  std::set<std::string_view> data_centres;
  for (const std::size_t i : this->state.HoldersOf(adapter.name)) {
    if (this->state.IsPresent(i, adapter))
      data_centres.insert(this->state.DataCentreOf(i));
  }
  for (const std::size_t i : this->state.HoldersOf(model->name)) {
    if (!this->state.IsSafe(i, *model) || !this->state.CanBeLoaded(i, adapter))
      continue;
    const std::int64_t free_mb = this->state.At(i).endpoint->memory_mb -
                                 ChargedMemory(this->state.At(i).ledger);
    const bool other_centre =
        data_centres.count(this->state.DataCentreOf(i)) == 0;
    const std::pair<bool, std::int64_t> score{other_centre, free_mb};
    if (best && score <= best_score)
      continue;
    best = i;
    best_score = score;
  }
  return best;
}

/// Unloads a copy that is not needed where its memory suffices for `item`.
bool Planning::MakeRoom(const DeclaredItem& item, bool on_model_only) {
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
          !this->state.CanRemove(i, loaded))
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

double Planning::Demand(std::string_view item) const {
  const auto found = this->input->demand.find(std::string(item));
  return found == this->input->demand.end() ? 0 : found->second;
}

double Planning::GroupDemand(const DeclaredItem& model) const {
  double demand = this->Demand(model.name);
  for (const DeclaredItem* adapter : model.adapters)
    demand += this->Demand(adapter->name);
  return demand;
}

int Planning::SlotsPerCopy() const {
  int slots = 0;
  int count = 0;
  for (const PlanEndpoint& endpoint : this->input->endpoints) {
    slots += endpoint.endpoint->slots;
    ++count;
  }
  return count == 0 ? 1 : std::max(1, slots / count);
}

int Planning::SurvivalCopies() const {
  if (this->input->configuration->survival_goal == SurvivalGoal::kVm)
    return 1;
  std::set<std::string_view> data_centres;
  for (const PlanEndpoint& endpoint : this->input->endpoints) {
    if (!endpoint.leaving)
      data_centres.insert(endpoint.endpoint->data_centre);
  }
  return data_centres.size() > 1 ? 2 : 1;
}

int Planning::WantedCopies(const DeclaredItem& model) const {
  const int by_demand = static_cast<int>(
      std::ceil(this->GroupDemand(model) / this->SlotsPerCopy()));
  const int wanted =
      std::max({by_demand, model.min_copies, this->SurvivalCopies()});
  return std::min(wanted, static_cast<int>(this->state.EndpointCount()));
}

void Planning::AddCopies() {
  std::vector<const DeclaredItem*> wanting;
  for (const DeclaredItem* model : this->state.models) {
    if (this->state.CountPresent(*model) < this->WantedCopies(*model))
      wanting.push_back(model);
  }
  const auto per_copy = [this](const DeclaredItem* model) {
    return this->GroupDemand(*model) / (this->state.CountPresent(*model) + 1);
  };
  std::stable_sort(wanting.begin(), wanting.end(),
                   [&per_copy](const DeclaredItem* a, const DeclaredItem* b) {
                     return per_copy(a) > per_copy(b);
                   });
  for (const DeclaredItem* model : wanting)
    this->AddModelCopy(*model);
  for (const DeclaredItem* adapter : this->state.adapters)
    this->AddAdapterCopy(*adapter);
}

void Planning::AddModelCopy(const DeclaredItem& model) {
  const auto chosen = this->ChooseForModel(model);
  if (chosen && this->state.FreeMemory(*chosen) >= model.memory_mb) {
    this->state.Load(*chosen, model);
    return;
  }
  if (this->evictions >= kEvictionsPerPlan)
    return;
  ++this->evictions;
  this->EvictForDemand(model);
}

void Planning::AddAdapterCopy(const DeclaredItem& adapter) {
  const int copies = this->state.CountPresent(adapter);
  const bool survives = copies >= this->SurvivalCopies();
  if (survives && this->Demand(adapter.name) <= copies * this->SlotsPerCopy())
    return;
  const auto chosen = this->ChooseForAdapter(adapter);
  if (chosen && this->state.FreeMemory(*chosen) >= adapter.memory_mb)
    this->state.Load(*chosen, adapter);
}

void Planning::EvictForDemand(const DeclaredItem& model) {
  const double gain =
      this->GroupDemand(model) / (this->state.CountPresent(model) + 1);
  for (std::size_t i = 0; i < this->state.EndpointCount(); ++i) {
    const PlanEndpoint& endpoint = this->state.At(i);
    if (endpoint.busy || endpoint.leaving || this->state.IsPresent(i, model))
      continue;
    for (const LoadedItem& loaded : endpoint.ledger.loaded) {
      const DeclaredItem* const victim = this->state.Find(loaded.item);
      if (victim == nullptr || victim->IsAdapter() ||
          !this->state.CanRemove(i, loaded))
        continue;
      const int copies = this->state.CountPresent(*victim);
      const int floor = std::max(victim->min_copies, this->SurvivalCopies());
      const double loss = this->GroupDemand(*victim) / std::max(1, copies - 1);
      const std::int64_t room_mb = this->state.FreeMemory(i) + loaded.memory_mb;
      if (copies <= floor || room_mb < model.memory_mb ||
          gain <= kMoveGain * loss)
        continue;
      this->state.Unload(i, loaded);
      return;
    }
  }
}

}  // namespace

std::vector<Order> PlanOrders(const PlanInput& input) {
  return Planning(input).Run();
}

}  // namespace coltsfootvane
