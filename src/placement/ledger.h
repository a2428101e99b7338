#ifndef COLTSFOOTVANE_PLACEMENT_LEDGER_H_
#define COLTSFOOTVANE_PLACEMENT_LEDGER_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "endpoint/engine.h"

namespace coltsfootvane {

/// A model or adapter seen in an endpoint's memory.
struct LoadedItem {
  std::string item;
  std::string version;
  std::string model;  ///< Of an adapter, if known.
  std::int64_t memory_mb = 0;
  bool adapter = false;
  bool ready = false;
  /// An index showed it; otherwise only the response to its load is known. Not
  /// stored, since a holder reads an index before it sends a command.
  bool observed = false;
};

/// A command that was recorded before it was sent.
struct Intent {
  std::int64_t number = 0;  ///< Fencing number.
  endpoint::Command::Operation operation = endpoint::Command::Operation::kLoad;
  std::string item;
  std::string version;
  std::string model;  ///< Of an adapter.
  std::int64_t memory_mb = 0;
  bool adapter = false;
  std::string sender;  ///< Incarnation of the daemon that sends it.
  bool sent = true;    ///< May have been sent.
  /// An index call with a higher number was answered in the current boot.
  bool fenced = false;
  /// An index showed the effect, and no other command can have caused it.
  bool seen_done = false;
  bool orphaned = false;  ///< The sender had ended at an index call.
  /// What an ended sender left behind was sent to the process with this boot
  /// id, or to an earlier one; empty if not known.
  std::string last_boot;
};

/// What is known about the memory of one endpoint; the spec of the platform
/// object `endpoints/<id>`. Times do not occur in it.
struct EndpointLedger {
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
  std::string boot_id;
  std::vector<LoadedItem> loaded;
  std::vector<Intent> intents;
};

/// Returns whether the daemon with this incarnation is known to have ended.
using SenderGone = std::function<bool(std::string_view incarnation)>;

inline constexpr std::int64_t kMaxSequence = 0xFFFFFFFF;

/// Loads of one item and version that may be open at one endpoint. A lost load
/// may be repeated, since it may never arrive and its charge covers the repeat;
/// but each one makes the endpoint's object longer.
inline constexpr int kMaxOpenLoads = 4;

std::string FormatLedger(const EndpointLedger& ledger);
Result<EndpointLedger> ParseLedger(std::string_view json);

/// Takes a new fencing number. Returns 0 if the sequence of the epoch is used
/// up; the holder then needs a new epoch.
std::int64_t TakeNumber(EndpointLedger* ledger);

/// Starts a new epoch; intents of earlier epochs stay.
void RaiseEpoch(EndpointLedger* ledger, std::int64_t epoch);

/// Returns the memory charged: loaded items and open load intents, each pair of
/// item and version once.
std::int64_t ChargedMemory(const EndpointLedger& ledger);

/// Returns the memory that may be occupied if the endpoint has restarted
/// unnoticed.
std::int64_t RestartedMemory(const EndpointLedger& ledger);

/// Returns whether a load fits in `limit_mb`, also if the endpoint has
/// restarted unnoticed, in which case fenced commands may have taken effect.
/// Returns false, too, if kMaxOpenLoads are open.
bool CanLoad(const EndpointLedger& ledger,
             std::int64_t limit_mb,
             std::string_view item,
             std::string_view version,
             std::int64_t memory_mb);

/// Records `command` under a new number, which is stored in it. Returns false
/// if there is none left.
bool RecordIntent(EndpointLedger* ledger,
                  endpoint::Command* command,
                  std::string_view sender);

/// Returns whether a response tells if its command took effect and that it will
/// not do so later.
bool IsDefinite(const Result<bool>& response);

/// Resolves the intent `number` by the response to its own request, if the
/// response is definite.
void ResolveByResponse(EndpointLedger* ledger,
                       std::int64_t number,
                       const Result<bool>& response);

/// Resolves the intent `number`, whose outcome its sender knows, in a ledger
/// that may have been changed by other holders since. The next index tells what
/// is loaded; until then a load that was `done` is charged, and an unload frees
/// nothing. Returns false if there is no such intent.
bool ResolveBySender(EndpointLedger* ledger, std::int64_t number, bool done);

/// How an index was obtained.
struct IndexReading {
  endpoint::Index index;
  /// Fencing number of the call. Later intents are left alone.
  std::int64_t number = 0;
  bool checks_fencing = false;  ///< Of the endpoint.
};

/// Replaces the loaded items by those of the index and resolves intents. No
/// command of this sender may be in progress during the index call.
void ApplyIndex(EndpointLedger* ledger,
                const IndexReading& reading,
                const SenderGone& sender_gone);

const LoadedItem* FindLoaded(const EndpointLedger& ledger,
                             std::string_view item,
                             std::string_view version);

/// Returns how many loads of the item and version are recorded and open.
int CountOpenLoads(const EndpointLedger& ledger,
                   std::string_view item,
                   std::string_view version);

/// Returns whether an unload of the item and version may still take effect.
bool HasOpenUnload(const EndpointLedger& ledger,
                   std::string_view item,
                   std::string_view version);

/// Returns whether the endpoint's copy is ready and no open unload of it, or of
/// all versions there of the model of an adapter, may still take effect.
bool CountsAsCopy(const EndpointLedger& ledger,
                  std::string_view item,
                  std::string_view version);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_LEDGER_H_
