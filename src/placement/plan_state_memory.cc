#include <algorithm>

#include "placement/plan_state.h"

namespace coltsfootvane::detail {
const PlanState::Charges& PlanState::ChargesOf(std::size_t i) const {
  std::optional<Charges>& charges = this->charges[i];
  if (!charges) {
    const EndpointLedger& ledger = this->endpoints[i].ledger;
    charges = Charges{ChargedMemory(ledger), RestartedMemory(ledger), {}};
  }
  return *charges;
}

bool PlanState::IsNamedAt(std::size_t i, const DeclaredItem& item) const {
  return std::binary_search(item.holders.begin(), item.holders.end(), i);
}

bool PlanState::Fits(std::size_t i, const DeclaredItem& item) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  if (endpoint.leaving)
    return false;
  const std::int64_t limit_mb = endpoint.endpoint->memory_mb;
  if (this->IsNamedAt(i, item))
    return CanLoad(endpoint.ledger, limit_mb, item.name, item.version,
                   item.memory_mb);
  // As CanLoad() for an item that the ledger does not name.
  const Charges& charges = this->ChargesOf(i);
  return std::max(charges.running_mb, charges.restarted_mb) + item.memory_mb <=
         limit_mb;
}

bool PlanState::CanBeLoaded(std::size_t i, const DeclaredItem& item) const {
  if (this->claimed[i])
    return false;
  const bool absent = !this->IsNamedAt(i, item) ||
                      (!this->IsPresent(i, item) &&
                       FindLoaded(this->endpoints[i].ledger, item.name,
                                  item.version) == nullptr);
  return absent && this->Fits(i, item);
}

std::int64_t PlanState::FreeMemory(std::size_t i) const {
  const std::int64_t free_mb =
      this->endpoints[i].endpoint->memory_mb - this->ChargesOf(i).running_mb;
  std::optional<std::int64_t>& kept_mb = this->charges[i]->kept_mb;
  if (!kept_mb)
    kept_mb = this->KeptMemory(i);
  return free_mb - *kept_mb;
}

/// Memory for adapters without a copy, whose model is or will be there.
std::int64_t PlanState::KeptMemory(std::size_t i) const {
  const EndpointLedger& ledger = this->endpoints[i].ledger;
  std::int64_t kept_mb = 0;
  const auto keep = [this, i, &kept_mb](std::string_view name,
                                        std::string_view version) {
    const DeclaredItem* const model = this->Find(name);
    if (model == nullptr || model->adapters.empty() ||
        model->version != version || !this->IsPresent(i, *model))
      return;
    kept_mb += this->GroupMemory(*model) - model->memory_mb;
  };
  for (const LoadedItem& loaded : ledger.loaded) {
    if (!loaded.adapter)
      keep(loaded.item, loaded.version);
  }
  for (const Intent& intent : ledger.intents) {
    if (!intent.adapter &&
        FindLoaded(ledger, intent.item, intent.version) == nullptr)
      keep(intent.item, intent.version);
  }
  return kept_mb;
}

/// After a planned command; the copies of an adapter matter to all endpoints
/// with its model.
void PlanState::ForgetMemory(std::size_t i, bool adapter) {
  this->charges[i].reset();
  if (!adapter)
    return;
  for (std::optional<Charges>& charges : this->charges) {
    if (charges)
      charges->kept_mb.reset();
  }
}

std::int64_t PlanState::GroupMemory(const DeclaredItem& model) const {
  std::int64_t memory_mb = model.memory_mb;
  for (const DeclaredItem* adapter : model.adapters) {
    if (this->CountPresent(*adapter) == 0)
      memory_mb += adapter->memory_mb;
  }
  return memory_mb;
}

std::int64_t PlanState::MemoryWithAdapters(std::size_t i,
                                           const LoadedItem& loaded) const {
  std::int64_t memory_mb = loaded.memory_mb;
  for (const LoadedItem& other : this->endpoints[i].ledger.loaded) {
    if (other.adapter && other.model == loaded.item)
      memory_mb += other.memory_mb;
  }
  return memory_mb;
}

}  // namespace coltsfootvane::detail
