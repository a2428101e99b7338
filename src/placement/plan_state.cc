#include "placement/plan_state.h"

#include <algorithm>
#include <limits>

namespace coltsfootvane::detail {
namespace {

using Operation = endpoint::Command::Operation;

/// Fencing number of the intents that the plan itself adds.
constexpr std::int64_t kPlannedFencingNumber =
    std::numeric_limits<std::int64_t>::max();

/// Limit on open unloads of one item and version, since each open intent adds
/// to the size of the endpoint's platform object.
constexpr int kMaxOpenUnloads = 16;

/// An unload whose response was lost may never arrive, so it is repeated. The
/// repeats stay open as well, so their number is limited.
bool CanRepeatUnload(const PlanEndpoint& endpoint, const LoadedItem& loaded) {
  int open = 0;
  for (const Intent& intent : endpoint.ledger.intents) {
    if (intent.operation != Operation::kUnload || intent.fenced ||
        intent.item != loaded.item || intent.version != loaded.version)
      continue;
    if (endpoint.busy || intent.number == kPlannedFencingNumber)
      return false;
    ++open;
  }
  return open < kMaxOpenUnloads;
}

bool LargerFirst(const DeclaredItem* a, const DeclaredItem* b) {
  if (a->memory_mb != b->memory_mb)
    return a->memory_mb > b->memory_mb;
  return a->name < b->name;
}

endpoint::Command MakeUnloadCommand(const LoadedItem& loaded) {
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
      adapter_commands(input.endpoints.size()),
      model_commands(input.endpoints.size()),
      claimed(input.endpoints.size()),
      charges(input.endpoints.size()),
      max_model_batch(std::max(1, input.max_model_batch)),
      model_load_budget(input.model_load_budget),
      adapter_load_budget(input.adapter_load_budget) {
  this->Declare(*input.configuration);
  this->FillInAdapterModels();
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

/// Sets the model of loaded adapters, which an index does not report.
void PlanState::FillInAdapterModels() {
  for (PlanEndpoint& endpoint : this->endpoints) {
    for (LoadedItem& loaded : endpoint.ledger.loaded) {
      const DeclaredItem* const item = this->FindItem(loaded.item);
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

const DeclaredItem* PlanState::FindItem(std::string_view name) const {
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
  const DeclaredItem* const model = this->FindItem(item.model);
  return model != nullptr && this->IsPresent(i, *model);
}

/// A load whose response was lost may never arrive, so its memory stays charged
/// but it does not count as a copy.
bool PlanState::IsLoading(std::size_t i, const DeclaredItem& item) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  return std::any_of(
      endpoint.ledger.intents.begin(), endpoint.ledger.intents.end(),
      [&endpoint, &item](const Intent& intent) {
        const bool in_progress =
            endpoint.busy || intent.number == kPlannedFencingNumber;
        return intent.operation == Operation::kLoad && !intent.fenced &&
               in_progress && intent.item == item.name &&
               intent.version == item.version;
      });
}

bool PlanState::IsServing(std::size_t i, const DeclaredItem& item) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  if (endpoint.leaving ||
      !CountsAsCopy(endpoint.ledger, item.name, item.version))
    return false;
  if (!item.IsAdapter())
    return true;
  const DeclaredItem* const model = this->FindItem(item.model);
  return model != nullptr && this->IsServing(i, *model);
}

int PlanState::CountPresent(const DeclaredItem& item) const {
  int count = 0;
  for (const std::size_t i : this->HoldersOf(item))
    count += this->IsPresent(i, item) ? 1 : 0;
  return count;
}

int PlanState::CountServing(const DeclaredItem& item,
                            std::size_t except) const {
  int count = 0;
  for (const std::size_t i : this->HoldersOf(item))
    count += i != except && this->IsServing(i, item) ? 1 : 0;
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
    const DeclaredItem* const item = this->FindItem(name);
    if (item == nullptr)
      return false;
    if (item->version != version)
      return this->CountServing(*item, this->endpoints.size()) == 0;
    return this->CountServing(*item, i) == 0;
  };
  if (is_needed(loaded.item, loaded.version))
    return false;
  if (loaded.adapter)
    return true;
  const EndpointLedger& ledger = this->endpoints[i].ledger;
  // If another version of the model is loaded there, its adapters stay on it.
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

bool PlanState::CanIssue(std::size_t i, bool adapter) const {
  const PlanEndpoint& endpoint = this->endpoints[i];
  if (endpoint.busy || endpoint.leaving)
    return false;
  return adapter ? this->adapter_commands[i] < kMaxAdapterBatch &&
                       this->model_commands[i] == 0
                 : this->model_commands[i] < this->max_model_batch &&
                       this->adapter_commands[i] == 0;
}

bool PlanState::CanIssueModelLoad() const {
  for (std::size_t i = 0; i < this->endpoints.size(); ++i) {
    if (this->model_load_budget > 0 && this->CanIssue(i, /*adapter=*/false))
      return true;
  }
  return false;
}

void PlanState::Issue(std::size_t i, const endpoint::Command& command) {
  this->commands.push_back({this->endpoints[i].endpoint->id, command});
  // An unload waits for its copy to drain. Loads do not wait for it, so it does
  // not count towards the batch.
  if (command.operation == Operation::kUnload)
    return;
  ++(command.adapter ? this->adapter_commands : this->model_commands)[i];
}

void PlanState::Load(std::size_t i, const DeclaredItem& item) {
  this->IssueLoad(i, item);
  this->Reserve(i, item);
}

void PlanState::IssueLoad(std::size_t i, const DeclaredItem& item) {
  endpoint::Command command;
  command.adapter = item.IsAdapter();
  command.item = item.name;
  command.model = item.model;
  command.version = item.version;
  command.memory_mb = item.memory_mb;
  int& budget =
      command.adapter ? this->adapter_load_budget : this->model_load_budget;
  if (budget <= 0 || !this->CanIssue(i, command.adapter)) {
    this->waiting = true;
    return;
  }
  --budget;
  this->Issue(i, command);
}

void PlanState::Reserve(std::size_t i, const DeclaredItem& item) {
  Intent planned;
  planned.number = kPlannedFencingNumber;
  planned.item = item.name;
  planned.model = item.model;
  planned.version = item.version;
  planned.memory_mb = item.memory_mb;
  planned.adapter = item.IsAdapter();
  this->endpoints[i].ledger.intents.push_back(std::move(planned));
  this->InvalidateCharges(i, item.IsAdapter());
  std::vector<std::size_t>& holders = this->declared[item.name].holders;
  const auto place = std::lower_bound(holders.begin(), holders.end(), i);
  if (place == holders.end() || *place != i)
    holders.insert(place, i);
}

void PlanState::DropReservation(std::size_t i, const DeclaredItem& item) {
  std::vector<Intent>& intents = this->endpoints[i].ledger.intents;
  const auto is_reservation = [&item](const Intent& intent) {
    return intent.number == kPlannedFencingNumber &&
           intent.operation == Operation::kLoad && intent.item == item.name;
  };
  intents.erase(std::remove_if(intents.begin(), intents.end(), is_reservation),
                intents.end());
  this->InvalidateCharges(i, item.IsAdapter());
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
  if (has_adapters || this->endpoints[i].busy || this->model_commands[i] > 0) {
    this->waiting = true;
    return;
  }
  const endpoint::Command command = MakeUnloadCommand(loaded);
  this->Issue(i, command);
  Intent planned;
  planned.number = kPlannedFencingNumber;
  planned.operation = Operation::kUnload;
  planned.item = command.item;
  planned.model = command.model;
  planned.version = command.version;
  planned.adapter = command.adapter;
  ledger.intents.push_back(std::move(planned));
  // Unloading a model also ends the copies of its adapters there.
  this->InvalidateCharges(i, /*adapter=*/true);
}

}  // namespace coltsfootvane::detail
