#include "placement/plan_copies.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace coltsfootvane::detail {
namespace {

// A copy moves to another model only if the demand per copy there is this many
// times as high, so that similar demands do not exchange copies for ever.
constexpr double kMoveGain = 2;
// A move that has started goes on while it still gains anything.
constexpr double kStartedGain = 1;
// Requests in progress that a copy for demand has to take at least; less does
// not repay a load.
constexpr double kLeastGain = 1;
// Requests per slot above which a copy is short of slots.
constexpr double kFullUtilisation = 1;
// Bounds the time of a plan; the next plan goes on.
constexpr int kSearchesPerPlan = 4;

}  // namespace

CopyPlanning::CopyPlanning(const PlanInput& input,
                           PlanState* state,
                           bool packed)
    : input(&input),
      state(state),
      packed(packed),
      survival_copies(this->SurvivalCopies()),
      goal_affordable(this->IsGoalAffordable()) {}

int CopyPlanning::SurvivalCopies() const {
  if (this->input->configuration->survival_goal == SurvivalGoal::kVm)
    return 1;
  std::set<std::string_view> data_centres;
  for (const PlanEndpoint& endpoint : this->input->endpoints) {
    if (!endpoint.leaving)
      data_centres.insert(endpoint.endpoint->data_centre);
  }
  return data_centres.size() > 1 ? 2 : 1;
}

/// The goal binds if two copies of everything fit, one of them outside the
/// largest data centre.
bool CopyPlanning::IsGoalAffordable() const {
  std::int64_t single_mb = 0;
  for (const DeclaredItem* model : this->state->models)
    single_mb += model->memory_mb;
  for (const DeclaredItem* adapter : this->state->adapters)
    single_mb += adapter->memory_mb;
  std::map<std::string_view, std::int64_t> centres;
  std::int64_t total_mb = 0;
  std::int64_t largest_mb = 0;
  for (const PlanEndpoint& endpoint : this->input->endpoints) {
    if (endpoint.leaving)
      continue;
    std::int64_t& centre_mb = centres[endpoint.endpoint->data_centre];
    centre_mb += endpoint.endpoint->memory_mb;
    total_mb += endpoint.endpoint->memory_mb;
    largest_mb = std::max(largest_mb, centre_mb);
  }
  return 2 * single_mb <= total_mb && single_mb <= total_mb - largest_mb;
}

int CopyPlanning::RequiredCopies(const DeclaredItem& model) const {
  const int survival = this->goal_affordable ? this->survival_copies : 1;
  int endpoints = 0;
  for (const PlanEndpoint& endpoint : this->input->endpoints)
    endpoints += endpoint.leaving ? 0 : 1;
  return std::min(std::max(model.min_copies, survival), endpoints);
}

bool CopyPlanning::LacksRequired(const DeclaredItem& model) const {
  if (this->state->CountPresent(model) < this->RequiredCopies(model))
    return true;
  return this->goal_affordable && this->survival_copies > 1 &&
         CentresOf(*this->state, model).size() < 2;
}

bool CopyPlanning::IsOptional(std::size_t i, const LoadedItem& loaded) const {
  const DeclaredItem* const item = this->state->Find(loaded.item);
  if (item == nullptr || item->IsAdapter() || item->version != loaded.version ||
      this->state->CountSafe(*item, i) < this->RequiredCopies(*item))
    return false;
  if (!this->goal_affordable || this->survival_copies < 2)
    return true;
  std::set<std::string_view> data_centres;
  for (const std::size_t k : this->state->HoldersOf(*item)) {
    if (k != i && this->state->IsSafe(k, *item))
      data_centres.insert(this->state->DataCentreOf(k));
  }
  return data_centres.size() > 1;
}

bool CopyPlanning::HasFreeMemory(std::size_t i,
                                 const DeclaredItem& model) const {
  return this->state->FreeMemory(i) >= model.memory_mb;
}

std::optional<std::size_t> CopyPlanning::ChooseFree(
    const DeclaredItem& model,
    const Allowed& allowed) const {
  ChoiceRules rules;
  rules.packed = this->packed;
  rules.allowed = [this, &model, &allowed](std::size_t i) {
    return this->HasFreeMemory(i, model) && (!allowed || allowed(i));
  };
  return ChooseForModel(*this->state, model, rules);
}

/// Returns the condition on a place for the next required copy.
CopyPlanning::Allowed CopyPlanning::RequiredPlace(
    const DeclaredItem& model) const {
  const auto data_centres = CentresOf(*this->state, model);
  if (!this->goal_affordable || this->survival_copies < 2 ||
      data_centres.size() > 1)
    return nullptr;
  return [this, data_centres](std::size_t i) {
    return data_centres.count(this->state->DataCentreOf(i)) == 0;
  };
}

void CopyPlanning::Reserve(const DeclaredItem& model) {
  while (this->reserving && this->LacksRequired(model)) {
    const auto chosen = this->ChooseFree(model, this->RequiredPlace(model));
    if (!chosen) {
      this->lacking.push_back(&model);
      return;
    }
    this->state->Reserve(*chosen, model);
    this->reservations.push_back({*chosen, &model});
  }
}

bool CopyPlanning::DropReservations() {
  this->reserving = false;
  this->lacking.clear();
  if (this->reservations.empty())
    return false;
  for (const Reservation& reservation : this->reservations)
    this->state->DropReservation(reservation.endpoint, *reservation.model);
  this->reservations.clear();
  return true;
}

void CopyPlanning::OrderReserved() {
  for (const Reservation& reservation : this->reservations)
    this->state->Order(reservation.endpoint, *reservation.model);
}

void CopyPlanning::AddCopies() {
  this->OrderReserved();
  for (const DeclaredItem* model : this->lacking)
    this->Wish({model, 0, 0}, this->RequiredPlace(*model));
  this->AddForDemand();
  this->AddForSurvival();
  for (const DeclaredItem* adapter : this->state->adapters)
    this->AddAdapterCopy(*adapter);
}

void CopyPlanning::AddForDemand() {
  const LoadEstimate load(*this->input, *this->state);
  std::vector<Want> wants;
  for (const DeclaredItem* model : this->state->models) {
    Want want{model, 0, load.PressureOn(*model)};
    want.gain = GroupDemand(*this->input, *model) /
                (this->state->CountPresent(*model) + 1);
    if (want.pressure > kFullUtilisation && want.gain >= kLeastGain)
      wants.push_back(want);
  }
  std::stable_sort(
      wants.begin(), wants.end(),
      [](const Want& a, const Want& b) { return a.gain > b.gain; });
  for (const Want& want : wants) {
    const Allowed allowed = [&load, &want](std::size_t i) {
      return load.UtilisationWith(i, want.gain) < want.pressure;
    };
    if (const auto chosen = this->ChooseFree(*want.model, allowed))
      this->state->Load(*chosen, *want.model);
    else
      this->Wish(want, allowed);
  }
}

/// Without memory for the goal, second copies take what is left.
void CopyPlanning::AddForSurvival() {
  for (const DeclaredItem* model : this->state->models) {
    if (this->state->CountPresent(*model) >= this->survival_copies)
      continue;
    if (const auto chosen = this->ChooseFree(*model, nullptr))
      this->state->Load(*chosen, *model);
  }
}

double CopyPlanning::DemandFor(const DeclaredItem& adapter) const {
  const auto found = this->input->demand.find(std::string(adapter.name));
  return found == this->input->demand.end() ? 0 : found->second;
}

int CopyPlanning::SlotsPerCopy() const {
  int slots = 0;
  int count = 0;
  for (const PlanEndpoint& endpoint : this->input->endpoints) {
    slots += endpoint.endpoint->slots;
    ++count;
  }
  return count == 0 ? 1 : std::max(1, slots / count);
}

void CopyPlanning::AddAdapterCopy(const DeclaredItem& adapter) {
  const int copies = this->state->CountPresent(adapter);
  const bool survives = copies >= this->survival_copies;
  if (survives && this->DemandFor(adapter) <= copies * this->SlotsPerCopy())
    return;
  const auto chosen = ChooseForAdapter(*this->state, adapter);
  if (chosen && this->state->FreeMemory(*chosen) >= adapter.memory_mb)
    this->state->Load(*chosen, adapter);
}

double CopyPlanning::LossOf(std::size_t i, const LoadedItem& loaded) const {
  const DeclaredItem* const item = this->state->Find(loaded.item);
  return GroupDemand(*this->input, *item) /
         std::max(1, this->state->CountSafe(*item, i));
}

bool CopyPlanning::IsVictim(std::size_t i,
                            const LoadedItem& loaded,
                            const Want& want) const {
  if (loaded.adapter || !this->IsOptional(i, loaded) ||
      !this->state->CanRemove(i, loaded))
    return false;
  const bool required = want.gain == 0;
  const double factor = this->state->At(i).draining ? kStartedGain : kMoveGain;
  return required || want.gain > factor * this->LossOf(i, loaded);
}

std::optional<CopyPlanning::Eviction> CopyPlanning::FindEviction(
    std::size_t i,
    const Want& want) const {
  std::vector<std::pair<double, const LoadedItem*>> candidates;
  for (const LoadedItem& loaded : this->state->At(i).ledger.loaded) {
    if (this->IsVictim(i, loaded, want))
      candidates.emplace_back(this->LossOf(i, loaded), &loaded);
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  const std::int64_t needed_mb =
      want.model->memory_mb - this->state->FreeMemory(i);
  Eviction eviction;
  eviction.endpoint = i;
  eviction.started = this->state->At(i).draining;
  std::int64_t freed_mb = 0;
  for (const auto& [loss, loaded] : candidates) {
    const std::int64_t group_mb = this->state->MemoryWithAdapters(i, *loaded);
    // One copy that suffices is preferred to several.
    if (group_mb >= needed_mb) {
      eviction.victims = {*loaded};
      eviction.loss = loss;
      return eviction;
    }
    if (freed_mb >= needed_mb)
      continue;
    freed_mb += group_mb;
    eviction.loss += loss;
    eviction.victims.push_back(*loaded);
  }
  if (freed_mb < needed_mb || eviction.victims.empty())
    return std::nullopt;
  return eviction;
}

/// Gives up copies for the model if it has lacked one for long enough.
void CopyPlanning::Wish(const Want& want, const Allowed& allowed) {
  this->wishes.emplace_back(want.model->name);
  if (this->input->lasting_wishes.count(want.model->name) == 0 ||
      this->searches >= kSearchesPerPlan)
    return;
  ++this->searches;
  const auto key = [](const Eviction& eviction) {
    return std::make_tuple(!eviction.started, eviction.victims.size(),
                           eviction.loss);
  };
  std::optional<Eviction> best;
  for (std::size_t i = 0; i < this->state->EndpointCount(); ++i) {
    const PlanEndpoint& endpoint = this->state->At(i);
    if (endpoint.leaving || this->state->IsClaimed(i) ||
        this->state->IsPresent(i, *want.model) || (allowed && !allowed(i)))
      continue;
    const auto eviction = this->FindEviction(i, want);
    if (eviction && (!best || key(*eviction) < key(*best)))
      best = eviction;
  }
  if (!best)
    return;
  // What becomes free there is kept for this model.
  this->state->Claim(best->endpoint);
  for (const LoadedItem& victim : best->victims)
    this->state->Unload(best->endpoint, victim);
}

}  // namespace coltsfootvane::detail
