#include "placement/ledger.h"

#include <algorithm>
#include <map>
#include <utility>

namespace coltsfootvane {
namespace {

using Operation = endpoint::Command::Operation;
using ItemKey = std::pair<std::string_view, std::string_view>;
using MemoryByItem = std::map<ItemKey, std::int64_t>;

void Charge(std::string_view item,
            std::string_view version,
            std::int64_t memory_mb,
            MemoryByItem* charges) {
  std::int64_t& charge = (*charges)[{item, version}];
  charge = std::max(charge, memory_mb);
}

std::int64_t Sum(const MemoryByItem& charges) {
  std::int64_t sum = 0;
  for (const auto& [key, memory_mb] : charges)
    sum += memory_mb;
  return sum;
}

void ChargeLoaded(const EndpointLedger& ledger,
                  bool with_observed,
                  MemoryByItem* charges) {
  for (const LoadedItem& loaded : ledger.loaded) {
    if (loaded.observed && !with_observed)
      continue;
    Charge(loaded.item, loaded.version, loaded.memory_mb, charges);
  }
}

void ChargeIntents(const EndpointLedger& ledger,
                   bool with_fenced,
                   MemoryByItem* charges) {
  for (const Intent& intent : ledger.intents) {
    if (intent.operation != Operation::kLoad || (intent.fenced && !with_fenced))
      continue;
    Charge(intent.item, intent.version, intent.memory_mb, charges);
  }
}

/// Adds the memory that may be in use after an unnoticed restart. A restart
/// clears the memory and the highest fencing number, so the endpoint may accept
/// a fenced load until the number is raised again. Items loaded since the last
/// index may have been loaded after the restart, so they count too.
void ChargeRestarted(const EndpointLedger& ledger, MemoryByItem* charges) {
  ChargeLoaded(ledger, /*with_observed=*/false, charges);
  ChargeIntents(ledger, /*with_fenced=*/true, charges);
}

bool Matches(const Intent& intent,
             std::string_view item,
             std::string_view version) {
  return intent.item == item && intent.version == version;
}

bool Matches(const LoadedItem& loaded,
             std::string_view item,
             std::string_view version) {
  return loaded.item == item && loaded.version == version;
}

void AddLoaded(EndpointLedger* ledger, const Intent& intent) {
  LoadedItem loaded;
  loaded.item = intent.item;
  loaded.version = intent.version;
  loaded.model = intent.model;
  loaded.memory_mb = intent.memory_mb;
  loaded.adapter = intent.adapter;
  loaded.ready = true;
  for (LoadedItem& existing : ledger->loaded) {
    if (!Matches(existing, intent.item, intent.version))
      continue;
    existing = loaded;
    return;
  }
  ledger->loaded.push_back(std::move(loaded));
}

std::vector<Intent>::iterator FindIntent(EndpointLedger* ledger,
                                         std::int64_t number) {
  return std::find_if(
      ledger->intents.begin(), ledger->intents.end(),
      [number](const Intent& intent) { return intent.number == number; });
}

void RemoveLoaded(EndpointLedger* ledger, const Intent& intent) {
  const auto same = [&intent](const LoadedItem& loaded) {
    return Matches(loaded, intent.item, intent.version);
  };
  ledger->loaded.erase(
      std::remove_if(ledger->loaded.begin(), ledger->loaded.end(), same),
      ledger->loaded.end());
}

std::vector<LoadedItem> LoadedFromIndex(const EndpointLedger& ledger,
                                        const endpoint::Index& index) {
  std::vector<LoadedItem> items;
  for (const endpoint::IndexItem& shown : index.items) {
    if (shown.state == endpoint::ItemState::kUnavailable)
      continue;
    LoadedItem loaded;
    loaded.item = shown.name;
    loaded.version = shown.version;
    loaded.memory_mb = shown.memory_mb;
    loaded.adapter = shown.adapter;
    loaded.ready = shown.state == endpoint::ItemState::kReady;
    loaded.observed = true;
    const LoadedItem* const known =
        FindLoaded(ledger, shown.name, shown.version);
    if (known != nullptr)
      loaded.model = known->model;
    for (const Intent& intent : ledger.intents) {
      if (loaded.model.empty() && Matches(intent, shown.name, shown.version))
        loaded.model = intent.model;
    }
    items.push_back(std::move(loaded));
  }
  return items;
}

/// Returns whether the change between two indexes proves that the command of
/// `intent` ran. This holds only if it is the only open command for its item:
/// otherwise the effect may be that of another attempt, which does not resolve
/// this one.
bool IsEffectProved(const EndpointLedger& before,
                    const std::vector<LoadedItem>& after,
                    const Intent& intent) {
  const auto competing = std::count_if(
      before.intents.begin(), before.intents.end(), [&intent](const Intent& i) {
        return Matches(i, intent.item, intent.version);
      });
  if (competing != 1)
    return false;
  const bool was_loaded =
      FindLoaded(before, intent.item, intent.version) != nullptr;
  const bool is_loaded =
      std::any_of(after.begin(), after.end(), [&intent](const LoadedItem& l) {
        return Matches(l, intent.item, intent.version);
      });
  const bool load = intent.operation == Operation::kLoad;
  return was_loaded != is_loaded && is_loaded == load;
}

/// Returns whether a command whose sender has ended can no longer take effect.
bool CanNoLongerTakeEffect(const Intent& intent, const IndexReading& reading) {
  // Either the endpoint rejects the command, since the index call raised the
  // fencing number, or the command has already taken effect.
  if (reading.checks_fencing || intent.seen_done)
    return true;
  // A restart after the sender ended has closed every connection on which the
  // command can arrive. A restart before that proves nothing, since the sender
  // may have sent the command to the restarted process.
  return !intent.last_boot.empty() && intent.last_boot != reading.index.boot_id;
}

/// Removes fenced intents that add nothing to the charged memory. A fenced
/// unload has no effect in a restarted endpoint, and a fenced load covers later
/// fenced loads of the same sender, item and version that need no more memory.
void DropRedundantFencedIntents(std::vector<Intent>* intents) {
  std::vector<Intent> kept;
  for (Intent& intent : *intents) {
    const bool repeated =
        std::any_of(kept.begin(), kept.end(), [&intent](const Intent& other) {
          return other.fenced && other.sender == intent.sender &&
                 Matches(other, intent.item, intent.version) &&
                 other.memory_mb >= intent.memory_mb;
        });
    const bool unload = intent.operation == Operation::kUnload;
    if (intent.fenced && (repeated || unload))
      continue;
    kept.push_back(std::move(intent));
  }
  *intents = std::move(kept);
}

}  // namespace

std::int64_t AllocateFencingNumber(EndpointLedger* ledger) {
  if (ledger->sequence >= kMaxSequence)
    return 0;
  ++ledger->sequence;
  return (ledger->epoch << 32) | ledger->sequence;
}

void StartEpoch(EndpointLedger* ledger, std::int64_t epoch) {
  ledger->epoch = epoch;
  ledger->sequence = 0;
}

std::int64_t ChargedMemoryAfterRestart(const EndpointLedger& ledger) {
  MemoryByItem charges;
  ChargeRestarted(ledger, &charges);
  return Sum(charges);
}

std::int64_t ChargedMemory(const EndpointLedger& ledger) {
  MemoryByItem charges;
  ChargeLoaded(ledger, /*with_observed=*/true, &charges);
  ChargeIntents(ledger, /*with_fenced=*/false, &charges);
  return Sum(charges);
}

bool CanLoad(const EndpointLedger& ledger,
             std::int64_t limit_mb,
             std::string_view item,
             std::string_view version,
             std::int64_t memory_mb) {
  if (CountOpenLoads(ledger, item, version) >= kMaxOpenLoads)
    return false;
  MemoryByItem running;
  ChargeLoaded(ledger, /*with_observed=*/true, &running);
  ChargeIntents(ledger, /*with_fenced=*/false, &running);
  Charge(item, version, memory_mb, &running);
  MemoryByItem restarted;
  ChargeRestarted(ledger, &restarted);
  Charge(item, version, memory_mb, &restarted);
  return Sum(running) <= limit_mb && Sum(restarted) <= limit_mb;
}

bool RecordIntent(EndpointLedger* ledger,
                  endpoint::Command* command,
                  std::string_view sender) {
  command->fencing_number = AllocateFencingNumber(ledger);
  if (command->fencing_number == 0)
    return false;
  Intent intent;
  intent.number = command->fencing_number;
  intent.operation = command->operation;
  intent.item = command->item;
  intent.version = command->version;
  intent.model = command->model;
  intent.memory_mb = command->memory_mb;
  intent.adapter = command->adapter;
  intent.sender = sender;
  ledger->intents.push_back(std::move(intent));
  return true;
}

bool IsDefinite(const Result<bool>& response) {
  if (response)
    return true;
  // With kConflict, a first delivery may have run and only a duplicate been
  // rejected as outdated; the next index call shows the outcome.
  const ErrorCode code = response.assume_error().code;
  return code != ErrorCode::kUnknown && code != ErrorCode::kConflict;
}

void ResolveByResponse(EndpointLedger* ledger,
                       std::int64_t number,
                       const Result<bool>& response) {
  const auto found = FindIntent(ledger, number);
  if (found == ledger->intents.end() || !IsDefinite(response))
    return;
  const Intent intent = *found;
  ledger->intents.erase(found);
  if (!response)
    return;
  if (intent.operation == Operation::kLoad)
    AddLoaded(ledger, intent);
  else
    RemoveLoaded(ledger, intent);
}

bool ResolveBySender(EndpointLedger* ledger, std::int64_t number, bool done) {
  const auto found = FindIntent(ledger, number);
  if (found == ledger->intents.end())
    return false;
  const Intent intent = *found;
  ledger->intents.erase(found);
  const bool load = intent.operation == Operation::kLoad;
  if (!load || !done ||
      FindLoaded(*ledger, intent.item, intent.version) != nullptr)
    return true;
  AddLoaded(ledger, intent);
  ledger->loaded.back().ready = false;
  return true;
}

void ApplyIndex(EndpointLedger* ledger,
                const IndexReading& reading,
                const SenderEndedCheck& has_sender_ended) {
  const bool restarted = ledger->boot_id != reading.index.boot_id;
  std::vector<LoadedItem> loaded = LoadedFromIndex(*ledger, reading.index);
  std::vector<Intent> kept;
  for (const Intent& intent : ledger->intents) {
    Intent next = intent;
    if (intent.number >= reading.number) {
      kept.push_back(std::move(next));
      continue;
    }
    if (!restarted && IsEffectProved(*ledger, loaded, intent))
      next.seen_done = true;
    const bool ended = has_sender_ended(intent.sender);
    if (ended && CanNoLongerTakeEffect(next, reading))
      continue;
    // The sender was known to have ended before this index call, so it cannot
    // have sent the command to a later process than the one that answered.
    if (intent.orphaned && next.last_boot.empty())
      next.last_boot = reading.index.boot_id;
    next.orphaned = intent.orphaned || ended;
    // After a restart the load is charged again until a second index call to
    // the same process confirms that the endpoint applies the raised number.
    next.fenced = reading.checks_fencing && !restarted;
    kept.push_back(std::move(next));
  }
  DropRedundantFencedIntents(&kept);
  ledger->intents = std::move(kept);
  ledger->loaded = std::move(loaded);
  ledger->boot_id = reading.index.boot_id;
}

const LoadedItem* FindLoaded(const EndpointLedger& ledger,
                             std::string_view item,
                             std::string_view version) {
  for (const LoadedItem& loaded : ledger.loaded) {
    if (Matches(loaded, item, version))
      return &loaded;
  }
  return nullptr;
}

int CountOpenLoads(const EndpointLedger& ledger,
                   std::string_view item,
                   std::string_view version) {
  return static_cast<int>(
      std::count_if(ledger.intents.begin(), ledger.intents.end(),
                    [item, version](const Intent& intent) {
                      return intent.operation == Operation::kLoad &&
                             !intent.fenced && Matches(intent, item, version);
                    }));
}

bool HasOpenUnload(const EndpointLedger& ledger,
                   std::string_view item,
                   std::string_view version) {
  return std::any_of(ledger.intents.begin(), ledger.intents.end(),
                     [item, version](const Intent& intent) {
                       return intent.operation == Operation::kUnload &&
                              !intent.fenced && !intent.seen_done &&
                              Matches(intent, item, version);
                     });
}

bool CountsAsCopy(const EndpointLedger& ledger,
                  std::string_view item,
                  std::string_view version) {
  const LoadedItem* const loaded = FindLoaded(ledger, item, version);
  if (loaded == nullptr || !loaded->ready ||
      HasOpenUnload(ledger, item, version))
    return false;
  if (!loaded->adapter)
    return true;
  // An adapter works with any version of its model, so it becomes unavailable
  // only when the last ready version is unloaded.
  const auto is_of_model = [loaded](const LoadedItem& other) {
    return !other.adapter && other.item == loaded->model;
  };
  const auto stays = [&ledger, &is_of_model](const LoadedItem& other) {
    return is_of_model(other) && other.ready &&
           !HasOpenUnload(ledger, other.item, other.version);
  };
  const auto& items = ledger.loaded;
  return std::none_of(items.begin(), items.end(), is_of_model) ||
         std::any_of(items.begin(), items.end(), stays);
}

}  // namespace coltsfootvane
