#include "placement/plan_state.h"

#include <algorithm>
#include <limits>

namespace coltsfootvane::detail {
namespace {

using Operation = endpoint::Command::Operation;

/// Marks commands of the plan itself.
constexpr std::int64_t kPlannedNumber =
    std::numeric_limits<std::int64_t>::max();

/// Each open intent makes the endpoint's object longer.
constexpr int kUnloadAttempts = 16;

/// An unload whose response was lost may never arrive. Its repeats stay open as
/// well, so that their number is bounded.
bool CanRepeatUnload(const PlanEndpoint& endpoint, const LoadedItem& loaded) {
  int open = 0;
  for (const Intent& intent : endpoint.ledger.intents) {
    if (intent.operation != Operation::kUnload || intent.fenced ||
        intent.item != loaded.item || intent.version != loaded.version)
      continue;
    if (endpoint.busy || intent.number == kPlannedNumber)
      return false;
    ++open;
  }
  return open < kUnloadAttempts;
}

bool LargerFirst(const DeclaredItem* a, const DeclaredItem* b) {
  if (a->memory_mb != b->memory_mb)
    return a->memory_mb > b->memory_mb;
  return a->name < b->name;
}

endpoint::Command MakeCommand(const LoadedItem& loaded) {
  endpoint::Command command;
  command.operation = Operation::kUnload;
  command.adapter = loaded.adapter;
  command.item = loaded.item;
  command.model = loaded.model;
  command.version = loaded.version;
  command.memory_mb = loaded.memory_mb;
  return command;
}

}  // namespace

PlanState::PlanState(const PlanInput& input)
    : endpoints(input.endpoints),
      adapter_orders(input.endpoints.size()),
      model_orders(input.endpoints.size()),
      claimed(input.endpoints.size()),
      charges(input.endpoints.size()),
      model_batch(std::max(1, input.model_batch)),
      model_loads(input.model_loads),
      adapter_loads(input.adapter_loads) {
  this->Declare(*input.configuration);
  this->CompleteAdapters();
  this->IndexHolders();
}

void PlanState::IndexHolders() {
  const auto add = [this](const std::string& item, std::size_t i) {
    const auto found = this->declared.find(item);
    if (found == this->declared.end())
      return;
    std::vector<std::size_t>& holders = found->second.holders;
    if (holders.empty() || holders.back() != i)
      holders.push_back(i);
  };
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    for (const LoadedItem& loaded : this->endpoints[i].ledger.loaded)
      add(loaded.item, i);
    for (const Intent& intent : this->endpoints[i].ledger.intents)
      add(intent.item, i);
  }
}

/// An index does not name the model of an adapter.
void PlanState::CompleteAdapters() {
  for (PlanEndpoint& endpoint : this->endpoints) {
    for (LoadedItem& loaded : endpoint.ledger.loaded) {
      const DeclaredItem* const item = this->Find(loaded.item);
      if (loaded.adapter && loaded.model.empty() && item != nullptr)
        loaded.model = item->model;
    }
  }
}

void PlanState::Declare(const Configuration& configuration) {
  for (const Model& model : configuration.models) {
    DeclaredItem item;
    item.name = model.name;
    item.version = model.version;
    item.memory_mb = model.memory_mb;
    item.min_copies = model.min_copies;
    this->declared[model.name] = std::move(item);
  }
  for (const Adapter& adapter : configuration.adapters) {
    DeclaredItem item;
    item.name = adapter.name;
    item.version = adapter.version;
    item.model = adapter.model;
    item.memory_mb = adapter.memory_mb;
    this->declared[adapter.name] = std::move(item);
  }
  for (auto& [name, item] : this->declared) {
    if (!item.IsAdapter()) {
      this->models.push_back(&item);
      continue;
    }
    this->adapters.push_back(&item);
    const auto model = this->declared.find(item.model);
    if (model != this->declared.end())
      model->second.adapters.push_back(&item);
  }
  std::sort(this->models.begin(), this->models.end(), LargerFirst);
  std::sort(this->adapters.begin(), this->adapters.end(), LargerFirst);
}

const DeclaredItem* PlanState::Find(std::string_view name) const {
  const auto found = this->declared.find(name);
  return found == this->declared.end() ? nullptr : &found->second;
}

bool PlanState::IsPresent(std::size_t i, const DeclaredItem& item) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  const EndpointLedger& ledger = endpoint.ledger;
  if (endpoint.leaving || HasOpenUnload(ledger, item.name, item.version))
    return false;
  if (FindLoaded(ledger, item.name, item.version) == nullptr &&
      !this->IsLoading(i, item))
    return false;
  if (!item.IsAdapter())
    return true;
  const DeclaredItem* const model = this->Find(item.model);
  return model != nullptr && this->IsPresent(i, *model);
}

/// A load whose response was lost may never arrive, so it stays charged but
/// does not count.
bool PlanState::IsLoading(std::size_t i, const DeclaredItem& item) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  return std::any_of(
      endpoint.ledger.intents.begin(), endpoint.ledger.intents.end(),
      [&endpoint, &item](const Intent& intent) {
        const bool in_progress =
            endpoint.busy || intent.number == kPlannedNumber;
        return intent.operation == Operation::kLoad && !intent.fenced &&
               in_progress && intent.item == item.name &&
               intent.version == item.version;
      });
}

bool PlanState::IsSafe(std::size_t i, const DeclaredItem& item) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  if (endpoint.leaving ||
      !CountsAsCopy(endpoint.ledger, item.name, item.version))
    return false;
  if (!item.IsAdapter())
    return true;
  const DeclaredItem* const model = this->Find(item.model);
  return model != nullptr && this->IsSafe(i, *model);
}

int PlanState::CountPresent(const DeclaredItem& item) const {
  int count = 0;
  for (const std::size_t i : this->HoldersOf(item))
    count += this->IsPresent(i, item) ? 1 : 0;
  return count;
}

int PlanState::CountSafe(const DeclaredItem& item, std::size_t except) const {
  int count = 0;
  for (const std::size_t i : this->HoldersOf(item))
    count += i != except && this->IsSafe(i, item) ? 1 : 0;
  return count;
}

bool PlanState::HasAnyVersion(std::size_t i, std::string_view item) const {
  const EndpointLedger& ledger = this->endpoints[i].ledger;
  return std::any_of(
      ledger.loaded.begin(), ledger.loaded.end(),
      [item](const LoadedItem& loaded) { return loaded.item == item; });
}

bool PlanState::CanRemove(std::size_t i, const LoadedItem& loaded) const {
  const auto is_needed = [this, i](std::string_view name,
                                   std::string_view version) {
    const DeclaredItem* const item = this->Find(name);
    if (item == nullptr)
      return false;
    if (item->version != version)
      return this->CountSafe(*item, this->endpoints.size()) == 0;
    return this->CountSafe(*item, i) == 0;
  };
  if (is_needed(loaded.item, loaded.version))
    return false;
  if (loaded.adapter)
    return true;
  const EndpointLedger& ledger = this->endpoints[i].ledger;
  // Adapters stay on another version of their model.
  const auto is_other_version = [&ledger, &loaded](const LoadedItem& other) {
    return other.item == loaded.item && other.version != loaded.version &&
           CountsAsCopy(ledger, other.item, other.version);
  };
  if (std::any_of(ledger.loaded.begin(), ledger.loaded.end(), is_other_version))
    return true;
  return std::none_of(ledger.loaded.begin(), ledger.loaded.end(),
                      [&loaded, &is_needed](const LoadedItem& other) {
                        return other.adapter && other.model == loaded.item &&
                               is_needed(other.item, other.version);
                      });
}

bool PlanState::CanOrder(std::size_t i, bool adapter) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  if (endpoint.busy || endpoint.leaving)
    return false;
  return adapter ? this->adapter_orders[i] < kAdapterBatch &&
                       this->model_orders[i] == 0
                 : this->model_orders[i] < this->model_batch &&
                       this->adapter_orders[i] == 0;
}

bool PlanState::CanOrderModels() const {
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    if (this->model_loads > 0 && this->CanOrder(i, /*adapter=*/false))
      return true;
  }
  return false;
}

void PlanState::GiveOrder(std::size_t i, const endpoint::Command& command) {
  this->orders.push_back({this->endpoints[i].endpoint->id, command});
  // An unload waits for its copy to drain; loads do not wait behind it.
  if (command.operation == Operation::kUnload)
    return;
  ++(command.adapter ? this->adapter_orders : this->model_orders)[i];
}

void PlanState::Load(std::size_t i, const DeclaredItem& item) {
  this->Order(i, item);
  this->Reserve(i, item);
}

void PlanState::Order(std::size_t i, const DeclaredItem& item) {
  endpoint::Command command;
  command.adapter = item.IsAdapter();
  command.item = item.name;
  command.model = item.model;
  command.version = item.version;
  command.memory_mb = item.memory_mb;
  int& budget = command.adapter ? this->adapter_loads : this->model_loads;
  if (budget <= 0 || !this->CanOrder(i, command.adapter)) {
    this->waiting = true;
    return;
  }
  --budget;
  this->GiveOrder(i, command);
}

void PlanState::Reserve(std::size_t i, const DeclaredItem& item) {
  Intent planned;
  planned.number = kPlannedNumber;
  planned.item = item.name;
  planned.model = item.model;
  planned.version = item.version;
  planned.memory_mb = item.memory_mb;
  planned.adapter = item.IsAdapter();
  this->endpoints[i].ledger.intents.push_back(std::move(planned));
  this->ForgetMemory(i, item.IsAdapter());
  std::vector<std::size_t>& holders = this->declared[item.name].holders;
  const auto place = std::lower_bound(holders.begin(), holders.end(), i);
  if (place == holders.end() || *place != i)
    holders.insert(place, i);
}

void PlanState::DropReservation(std::size_t i, const DeclaredItem& item) {
  std::vector<Intent>& intents = this->endpoints[i].ledger.intents;
  const auto is_reservation = [&item](const Intent& intent) {
    return intent.number == kPlannedNumber &&
           intent.operation == Operation::kLoad && intent.item == item.name;
  };
  intents.erase(std::remove_if(intents.begin(), intents.end(), is_reservation),
                intents.end());
  this->ForgetMemory(i, item.IsAdapter());
}

void PlanState::Unload(std::size_t i, const LoadedItem& loaded) {
  EndpointLedger& ledger = this->endpoints[i].ledger;
  if (!CanRepeatUnload(this->endpoints[i], loaded))
    return;
  const auto same_model = [&loaded](const LoadedItem& other) {
    return other.item == loaded.item && other.version != loaded.version;
  };
  const bool last_version =
      std::none_of(ledger.loaded.begin(), ledger.loaded.end(), same_model);
  bool has_adapters = false;
  const std::vector<LoadedItem> items = ledger.loaded;
  for (const LoadedItem& other : items) {
    if (loaded.adapter || !last_version || !other.adapter ||
        other.model != loaded.item)
      continue;
    has_adapters = true;
    this->Unload(i, other);
  }
  if (has_adapters || this->endpoints[i].busy || this->model_orders[i] > 0) {
    this->waiting = true;
    return;
  }
  const endpoint::Command command = MakeCommand(loaded);
  this->GiveOrder(i, command);
  Intent planned;
  planned.number = kPlannedNumber;
  planned.operation = Operation::kUnload;
  planned.item = command.item;
  planned.model = command.model;
  planned.version = command.version;
  planned.adapter = command.adapter;
  ledger.intents.push_back(std::move(planned));
  // Without its model an adapter has no copy there either.
  this->ForgetMemory(i, /*adapter=*/true);
}

}  // namespace coltsfootvane::detail
