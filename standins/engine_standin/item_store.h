#ifndef COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_ITEM_STORE_H_
#define COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_ITEM_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "standins/engine_standin/options.h"

namespace coltsfootvane::standins {

struct ItemCommand {
  bool load = true;
  bool adapter = false;
  std::string name;
  std::string model;  ///< Of an adapter.
  std::string version;
  std::int64_t memory_mb = 0;
  std::int64_t fencing_number = 0;  ///< 0 if the command has none.
};

/// The models and adapters in the engine's memory. A load is charged from its
/// acceptance to the end of its unload.
class ItemStore {
 public:
  explicit ItemStore(const EngineOptions& options);

  /// Carries out `command` and returns the HTTP status.
  int Run(const ItemCommand& command);

  /// Returns nothing if `fencing_number` is checked and outdated.
  std::optional<nlohmann::json> Index(std::int64_t fencing_number);

  /// Marks `name`, and the model of an adapter, as in use. Returns false if one
  /// of them is not ready.
  bool Acquire(const std::string& name);
  void Release(const std::string& name);

  void AddStats(nlohmann::json* stats) const;
  std::int64_t MemoryUsed() const;

 private:
  enum class State { kLoading, kReady, kUnloading };
  struct Item {
    std::string name;
    std::string version;
    std::string model;
    std::int64_t memory_mb = 0;
    bool adapter = false;
    State state = State::kLoading;
    int users = 0;
  };

  bool AcceptNumber(std::int64_t number);
  int Load(const ItemCommand& command, std::unique_lock<std::mutex>& lock);
  int Unload(const ItemCommand& command, std::unique_lock<std::mutex>& lock);
  Item* Find(const std::string& name, const std::string& version);
  Item* FindReady(const std::string& name);
  void Erase(const std::string& name, const std::string& version);
  std::int64_t UsedLocked() const;

  EngineOptions options;
  std::string boot_id;
  mutable std::mutex mutex;
  std::condition_variable changed;
  std::vector<Item> items;
  std::int64_t highest_number = 0;
  std::int64_t highest_memory_mb = 0;
  int overcommits = 0;
  int loads = 0;
  int unloads = 0;
  int outdated_commands = 0;
};

}  // namespace coltsfootvane::standins

#endif  // COLTSFOOTVANE_STANDINS_ENGINE_STANDIN_ITEM_STORE_H_
