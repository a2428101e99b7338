#include "placement/plan_copies.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace coltsfootvane::detail {
namespace {

// A copy is evicted for the demand of another model only if the gain is more
// than this many times the loss, so that models with similar demand do not keep
// evicting each other.
constexpr double kMinMoveGainRatio = 2;
// An eviction whose drain has started continues as long as the gain exceeds the
// loss.
constexpr double kMinStartedMoveGainRatio = 1;
// A copy is added for demand only if it would take at least this many requests
// in progress; fewer do not justify the cost of a load.
constexpr double kMinGainRequests = 1;
// Above this many requests per slot, a copy is short of slots.
constexpr double kFullRequestsPerSlot = 1;
// Limits the computing time of a plan; the next plan continues.
constexpr int kMaxEvictionSearches = 4;

}  // namespace

CopyPlanner::CopyPlanner(const PlanInput& input, PlanState* state, bool packed)
    : input(&input),
      state(state),
      packed(packed),
      survival_copies(this->SurvivalCopies()),
      survival_goal_feasible(this->IsSurvivalGoalFeasible()) {}

int CopyPlanner::SurvivalCopies() const {
  if (this->input->configuration->survival_goal == SurvivalGoal::kVm)
    return 1;
  std::set<std::string_view> data_centres;
  for (const PlanEndpoint& endpoint : this->input->endpoints) {
    if (!endpoint.leaving)
      data_centres.insert(endpoint.endpoint->data_centre);
  }
  return data_centres.size() > 1 ? 2 : 1;
}

/// Returns whether the total memory suffices for two copies of every item, and
/// the memory outside the largest data centre for one copy. Otherwise the
/// copies for the survival goal are optional.
bool CopyPlanner::IsSurvivalGoalFeasible() const {
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

int CopyPlanner::RequiredCopies(const DeclaredItem& model) const {
  const int survival = this->survival_goal_feasible ? this->survival_copies : 1;
  int endpoints = 0;
  for (const PlanEndpoint& endpoint : this->input->endpoints)
    endpoints += endpoint.leaving ? 0 : 1;
  return std::min(std::max(model.min_copies, survival), endpoints);
}

bool CopyPlanner::LacksRequiredCopies(const DeclaredItem& model) const {
  if (this->state->CountPresent(model) < this->RequiredCopies(model))
    return true;
  return this->survival_goal_feasible && this->survival_copies > 1 &&
         DataCentresOf(*this->state, model).size() < 2;
}

bool CopyPlanner::IsOptional(std::size_t i, const LoadedItem& loaded) const {
  const DeclaredItem* const item = this->state->FindItem(loaded.item);
  if (item == nullptr || item->IsAdapter() || item->version != loaded.version ||
      this->state->CountServing(*item, i) < this->RequiredCopies(*item))
    return false;
  if (!this->survival_goal_feasible || this->survival_copies < 2)
    return true;
  std::set<std::string_view> data_centres;
  for (const std::size_t k : this->state->HoldersOf(*item)) {
    if (k != i && this->state->IsServing(k, *item))
      data_centres.insert(this->state->DataCentreOf(k));
  }
  return data_centres.size() > 1;
}

bool CopyPlanner::HasFreeMemory(std::size_t i,
                                const DeclaredItem& model) const {
  return this->state->FreeMemory(i) >= model.memory_mb;
}

std::optional<std::size_t> CopyPlanner::ChooseWithFreeMemory(
    const DeclaredItem& model,
    const EndpointFilter& allowed) const {
  ChoiceRules rules;
  rules.packed = this->packed;
  rules.allowed = [this, &model, &allowed](std::size_t i) {
    return this->HasFreeMemory(i, model) && (!allowed || allowed(i));
  };
  return ChooseForModel(*this->state, model, rules);
}

/// Returns the filter on endpoints for the next required copy; null allows all.
CopyPlanner::EndpointFilter CopyPlanner::RequiredCopyFilter(
    const DeclaredItem& model) const {
  const auto data_centres = DataCentresOf(*this->state, model);
  if (!this->survival_goal_feasible || this->survival_copies < 2 ||
      data_centres.size() > 1)
    return nullptr;
  return [this, data_centres](std::size_t i) {
    return data_centres.count(this->state->DataCentreOf(i)) == 0;
  };
}

void CopyPlanner::Reserve(const DeclaredItem& model) {
  while (this->reserving && this->LacksRequiredCopies(model)) {
    const auto chosen =
        this->ChooseWithFreeMemory(model, this->RequiredCopyFilter(model));
    if (!chosen) {
      this->unplaced.push_back(&model);
      return;
    }
    this->state->Reserve(*chosen, model);
    this->reservations.push_back({*chosen, &model});
  }
}

bool CopyPlanner::DropReservations() {
  this->reserving = false;
  this->unplaced.clear();
  if (this->reservations.empty())
    return false;
  for (const Reservation& reservation : this->reservations)
    this->state->DropReservation(reservation.endpoint, *reservation.model);
  this->reservations.clear();
  return true;
}

void CopyPlanner::IssueReservedLoads() {
  for (const Reservation& reservation : this->reservations)
    this->state->IssueLoad(reservation.endpoint, *reservation.model);
}

void CopyPlanner::AddCopies() {
  this->IssueReservedLoads();
  for (const DeclaredItem* model : this->unplaced)
    this->HandleUnmetNeed({model, 0, 0}, this->RequiredCopyFilter(*model));
  this->AddForDemand();
  this->AddForSurvival();
  for (const DeclaredItem* adapter : this->state->adapters)
    this->AddAdapterCopy(*adapter);
}

void CopyPlanner::AddForDemand() {
  const UtilisationEstimate estimate(*this->input, *this->state);
  std::vector<CopyNeed> needs;
  for (const DeclaredItem* model : this->state->models) {
    CopyNeed need{model, 0, estimate.LowestUtilisation(*model)};
    need.gain = GroupDemand(*this->input, *model) /
                (this->state->CountPresent(*model) + 1);
    if (need.utilisation > kFullRequestsPerSlot &&
        need.gain >= kMinGainRequests)
      needs.push_back(need);
  }
  std::stable_sort(
      needs.begin(), needs.end(),
      [](const CopyNeed& a, const CopyNeed& b) { return a.gain > b.gain; });
  for (const CopyNeed& need : needs) {
    const EndpointFilter allowed = [&estimate, &need](std::size_t i) {
      return estimate.UtilisationWith(i, need.gain) < need.utilisation;
    };
    if (const auto chosen = this->ChooseWithFreeMemory(*need.model, allowed))
      this->state->Load(*chosen, *need.model);
    else
      this->HandleUnmetNeed(need, allowed);
  }
}

/// Where memory does not suffice for the survival goal, second copies are added
/// as far as there is free memory.
void CopyPlanner::AddForSurvival() {
  for (const DeclaredItem* model : this->state->models) {
    if (this->state->CountPresent(*model) >= this->survival_copies)
      continue;
    if (const auto chosen = this->ChooseWithFreeMemory(*model, nullptr))
      this->state->Load(*chosen, *model);
  }
}

double CopyPlanner::DemandFor(const DeclaredItem& adapter) const {
  const auto found = this->input->demand.find(std::string(adapter.name));
  return found == this->input->demand.end() ? 0 : found->second;
}

int CopyPlanner::SlotsPerCopy() const {
  int slots = 0;
  int count = 0;
  for (const PlanEndpoint& endpoint : this->input->endpoints) {
    slots += endpoint.endpoint->slots;
    ++count;
  }
  return count == 0 ? 1 : std::max(1, slots / count);
}

void CopyPlanner::AddAdapterCopy(const DeclaredItem& adapter) {
  const int copies = this->state->CountPresent(adapter);
  const bool survives = copies >= this->survival_copies;
  if (survives && this->DemandFor(adapter) <= copies * this->SlotsPerCopy())
    return;
  const auto chosen = ChooseForAdapter(*this->state, adapter);
  if (chosen && this->state->FreeMemory(*chosen) >= adapter.memory_mb)
    this->state->Load(*chosen, adapter);
}

double CopyPlanner::EvictionLoss(std::size_t i,
                                 const LoadedItem& loaded) const {
  const DeclaredItem* const item = this->state->FindItem(loaded.item);
  return GroupDemand(*this->input, *item) /
         std::max(1, this->state->CountServing(*item, i));
}

bool CopyPlanner::CanEvict(std::size_t i,
                           const LoadedItem& loaded,
                           const CopyNeed& need) const {
  if (loaded.adapter || !this->IsOptional(i, loaded) ||
      !this->state->CanRemove(i, loaded))
    return false;
  const bool required = need.gain == 0;
  const double factor = this->state->At(i).draining ? kMinStartedMoveGainRatio
                                                    : kMinMoveGainRatio;
  return required || need.gain > factor * this->EvictionLoss(i, loaded);
}

std::optional<CopyPlanner::Eviction> CopyPlanner::FindEviction(
    std::size_t i,
    const CopyNeed& need) const {
  std::vector<std::pair<double, const LoadedItem*>> candidates;
  for (const LoadedItem& loaded : this->state->At(i).ledger.loaded) {
    if (this->CanEvict(i, loaded, need))
      candidates.emplace_back(this->EvictionLoss(i, loaded), &loaded);
  }
  std::stable_sort(
      candidates.begin(), candidates.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  const std::int64_t needed_mb =
      need.model->memory_mb - this->state->FreeMemory(i);
  Eviction eviction;
  eviction.endpoint = i;
  eviction.started = this->state->At(i).draining;
  std::int64_t freed_mb = 0;
  for (const auto& [loss, loaded] : candidates) {
    const std::int64_t group_mb = this->state->MemoryWithAdapters(i, *loaded);
    // A single copy that frees enough memory is preferred to several.
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

/// Records an unmet need, and evicts copies for the model if its need is
/// persistent.
void CopyPlanner::HandleUnmetNeed(const CopyNeed& need,
                                  const EndpointFilter& allowed) {
  this->unmet.emplace_back(need.model->name);
  if (this->input->persistent_unmet.count(need.model->name) == 0 ||
      this->eviction_searches >= kMaxEvictionSearches)
    return;
  ++this->eviction_searches;
  const auto key = [](const Eviction& eviction) {
    return std::make_tuple(!eviction.started, eviction.victims.size(),
                           eviction.loss);
  };
  std::optional<Eviction> best;
  for (std::size_t i = 0; i < this->state->EndpointCount(); ++i) {
    const PlanEndpoint& endpoint = this->state->At(i);
    if (endpoint.leaving || this->state->IsClaimed(i) ||
        this->state->IsPresent(i, *need.model) || (allowed && !allowed(i)))
      continue;
    const auto eviction = this->FindEviction(i, need);
    if (eviction && (!best || key(*eviction) < key(*best)))
      best = eviction;
  }
  if (!best)
    return;
  // The memory that becomes free there is kept for this model.
  this->state->Claim(best->endpoint);
  for (const LoadedItem& victim : best->victims)
    this->state->Unload(best->endpoint, victim);
}

}  // namespace coltsfootvane::detail
