#include <algorithm>

#include "placement/plan_state.h"

namespace coltsfootvane::detail {
const PlanState::Charges& PlanState::ChargesOf(std::size_t i) const {
  std::optional<Charges>& charges = this->charges[i];
  if (!charges) {
    const EndpointLedger& ledger = this->endpoints[i].ledger;
    charges =
        Charges{ChargedMemory(ledger), ChargedMemoryAfterRestart(ledger), {}};
  }
  return *charges;
}

bool PlanState::IsInLedger(std::size_t i, const DeclaredItem& item) const {
  return std::binary_search(item.holders.begin(), item.holders.end(), i);
}

bool PlanState::Fits(std::size_t i, const DeclaredItem& item) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  if (endpoint.leaving)
    return false;
  const std::int64_t limit_mb = endpoint.endpoint->memory_mb;
  if (this->IsInLedger(i, item))
    return CanLoad(endpoint.ledger, limit_mb, item.name, item.version,
                   item.memory_mb);
  // Equivalent to CanLoad() for an item that the ledger does not name.
  const Charges& charges = this->ChargesOf(i);
  return std::max(charges.running_mb, charges.restarted_mb) + item.memory_mb <=
         limit_mb;
}

bool PlanState::CanBeLoaded(std::size_t i, const DeclaredItem& item) const {
  if (this->claimed[i])
    return false;
  const bool absent = !this->IsInLedger(i, item) ||
                      (!this->IsPresent(i, item) &&
                       FindLoaded(this->endpoints[i].ledger, item.name,
                                  item.version) == nullptr);
  return absent && this->Fits(i, item);
}

std::int64_t PlanState::FreeMemory(std::size_t i) const {
  const std::int64_t free_mb =
      this->endpoints[i].endpoint->memory_mb - this->ChargesOf(i).running_mb;
  std::optional<std::int64_t>& pending_adapters_mb =
      this->charges[i]->pending_adapters_mb;
  if (!pending_adapters_mb)
    pending_adapters_mb = this->PendingAdapterMemory(i);
  return free_mb - *pending_adapters_mb;
}

/// Returns the memory for adapters without a copy whose model is loaded or
/// being loaded on the endpoint.
std::int64_t PlanState::PendingAdapterMemory(std::size_t i) const {
  const EndpointLedger& ledger = this->endpoints[i].ledger;
  std::int64_t pending_adapters_mb = 0;
  const auto add_pending = [this, i, &pending_adapters_mb](
                               std::string_view name,
                               std::string_view version) {
    const DeclaredItem* const model = this->FindItem(name);
    if (model == nullptr || model->adapters.empty() ||
        model->version != version || !this->IsPresent(i, *model))
      return;
    pending_adapters_mb += this->GroupMemory(*model) - model->memory_mb;
  };
  for (const LoadedItem& loaded : ledger.loaded) {
    if (!loaded.adapter)
      add_pending(loaded.item, loaded.version);
  }
  for (const Intent& intent : ledger.intents) {
    if (!intent.adapter &&
        FindLoaded(ledger, intent.item, intent.version) == nullptr)
      add_pending(intent.item, intent.version);
  }
  return pending_adapters_mb;
}

/// Called after each planned command. A change of an adapter's copies affects
/// the pending memory of all endpoints with its model.
void PlanState::InvalidateCharges(std::size_t i, bool adapter) {
  this->charges[i].reset();
  if (!adapter)
    return;
  for (std::optional<Charges>& charges : this->charges) {
    if (charges)
      charges->pending_adapters_mb.reset();
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
