#include "standins/engine_standin/item_store.h"

#include <algorithm>
#include <thread>

#include "base/clock.h"
#include "base/digest.h"

namespace coltsfootvane::standins {
namespace {

constexpr Milliseconds kUnloadTime{20};

}  // namespace

ItemStore::ItemStore(const EngineOptions& options)
    : options(options), boot_id(RandomId()) {}

int ItemStore::Run(const ItemCommand& command) {
  std::unique_lock<std::mutex> lock(this->mutex);
  if (!this->AcceptNumber(command.fencing_number)) {
    ++this->outdated_commands;
    return 409;
  }
  return command.load ? this->Load(command, lock) : this->Unload(command, lock);
}

bool ItemStore::AcceptNumber(std::int64_t number) {
  if (!this->options.checks_fencing)
    return true;
  if (number <= this->highest_number)
    return false;
  this->highest_number = number;
  return true;
}

int ItemStore::Load(const ItemCommand& command,
                    std::unique_lock<std::mutex>& lock) {
  if (command.adapter && this->FindReady(command.model) == nullptr)
    return 404;
  const auto unloading = [this, &command] {
    const Item* const item = this->Find(command.name, command.version);
    return item != nullptr && item->state == State::kUnloading;
  };
  this->changed.wait(lock, [&unloading] { return !unloading(); });
  if (this->Find(command.name, command.version) == nullptr) {
    Item item;
    item.name = command.name;
    item.version = command.version;
    item.model = command.model;
    item.memory_mb = command.memory_mb;
    item.adapter = command.adapter;
    this->items.push_back(item);
    ++this->loads;
    const std::int64_t used = this->UsedLocked();
    this->highest_memory_mb = std::max(this->highest_memory_mb, used);
    // A real engine would crash here; tests read the count instead.
    if (used > this->options.memory_mb)
      ++this->overcommits;
    lock.unlock();
    std::this_thread::sleep_for(Milliseconds{command.adapter
                                                 ? this->options.adapter_load_ms
                                                 : this->options.load_ms});
    lock.lock();
    Item* const loaded = this->Find(command.name, command.version);
    if (loaded != nullptr && loaded->state == State::kLoading)
      loaded->state = State::kReady;
    this->changed.notify_all();
  }
  this->changed.wait(lock, [this, &command] {
    const Item* const item = this->Find(command.name, command.version);
    return item == nullptr || item->state != State::kLoading;
  });
  return 200;
}

int ItemStore::Unload(const ItemCommand& command,
                      std::unique_lock<std::mutex>& lock) {
  this->changed.wait(lock, [this, &command] {
    const Item* const item = this->Find(command.name, command.version);
    return item == nullptr || item->state == State::kReady;
  });
  Item* const item = this->Find(command.name, command.version);
  if (item == nullptr)
    return 200;
  item->state = State::kUnloading;
  ++this->unloads;
  this->changed.wait(lock, [this, &command] {
    const Item* const used = this->Find(command.name, command.version);
    return used == nullptr || used->users == 0;
  });
  lock.unlock();
  std::this_thread::sleep_for(kUnloadTime);
  lock.lock();
  this->Erase(command.name, command.version);
  this->changed.notify_all();
  return 200;
}

std::optional<nlohmann::json> ItemStore::Index(std::int64_t fencing_number) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (fencing_number > 0 && !this->AcceptNumber(fencing_number)) {
    ++this->outdated_commands;
    return std::nullopt;
  }
  nlohmann::json models = nlohmann::json::array();
  for (const Item& item : this->items) {
    const char* state = "READY";
    if (item.state == State::kLoading)
      state = "LOADING";
    if (item.state == State::kUnloading)
      state = "UNLOADING";
    models.push_back({{"name", item.name},
                      {"version", item.version},
                      {"state", state},
                      {"memory_mb", item.memory_mb},
                      {"adapter", item.adapter}});
  }
  return nlohmann::json{{"boot_id", this->boot_id},
                        {"fencing_number", this->highest_number},
                        {"models", models}};
}

bool ItemStore::Acquire(const std::string& name) {
  std::lock_guard<std::mutex> lock(this->mutex);
  Item* const item = this->FindReady(name);
  if (item == nullptr)
    return false;
  if (item->adapter) {
    Item* const model = this->FindReady(item->model);
    if (model == nullptr)
      return false;
    ++model->users;
  }
  ++item->users;
  return true;
}

void ItemStore::Release(const std::string& name) {
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto release = [this](const std::string& used) -> std::string {
    for (Item& item : this->items) {
      if (item.name != used || item.users == 0)
        continue;
      --item.users;
      return item.adapter ? item.model : std::string();
    }
    return {};
  };
  const std::string model = release(name);
  if (!model.empty())
    release(model);
  this->changed.notify_all();
}

void ItemStore::AddStats(nlohmann::json* stats) const {
  std::lock_guard<std::mutex> lock(this->mutex);
  (*stats)["overcommits"] = this->overcommits;
  (*stats)["highest_memory_mb"] = this->highest_memory_mb;
  (*stats)["memory_used_mb"] = this->UsedLocked();
  (*stats)["loads"] = this->loads;
  (*stats)["unloads"] = this->unloads;
  (*stats)["outdated_commands"] = this->outdated_commands;
}

std::int64_t ItemStore::MemoryUsed() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->UsedLocked();
}

ItemStore::Item* ItemStore::Find(const std::string& name,
                                 const std::string& version) {
  for (Item& item : this->items) {
    if (item.name == name && item.version == version)
      return &item;
  }
  return nullptr;
}

ItemStore::Item* ItemStore::FindReady(const std::string& name) {
  Item* newest = nullptr;
  for (Item& item : this->items) {
    if (item.name == name && item.state == State::kReady)
      newest = &item;
  }
  return newest;
}

void ItemStore::Erase(const std::string& name, const std::string& version) {
  this->items.erase(std::remove_if(this->items.begin(), this->items.end(),
                                   [&name, &version](const Item& item) {
                                     return item.name == name &&
                                            item.version == version;
                                   }),
                    this->items.end());
}

std::int64_t ItemStore::UsedLocked() const {
  std::int64_t used = 0;
  for (const Item& item : this->items)
    used += item.memory_mb;
  return used;
}

}  // namespace coltsfootvane::standins
