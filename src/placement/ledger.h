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

/// A model or adapter in an endpoint's memory.
struct LoadedItem {
  std::string item;
  std::string version;
  std::string model;  ///< Base model of an adapter, if known.
  std::int64_t memory_mb = 0;
  bool adapter = false;
  bool ready = false;
  /// The item was listed in an index; otherwise it is known only from the
  /// outcome of its load. Not stored, since a new lease holder reads an index
  /// before it sends commands.
  bool observed = false;
};

/// A command, recorded before it is sent and kept until its outcome is known.
struct Intent {
  std::int64_t number = 0;  ///< Fencing number.
  endpoint::Command::Operation operation = endpoint::Command::Operation::kLoad;
  std::string item;
  std::string version;
  std::string model;  ///< Base model of an adapter.
  std::int64_t memory_mb = 0;
  bool adapter = false;
  std::string sender;  ///< Incarnation of the daemon that sends the command.
  bool sent = true;    ///< The command may have been sent.
  /// The current endpoint process has answered an index call with a higher
  /// fencing number, so the endpoint rejects the command until it restarts.
  bool fenced = false;
  /// An index showed the effect, and no other command can have caused it.
  bool seen_done = false;
  bool orphaned = false;  ///< The sender had ended by an earlier index call.
  /// Boot id of the latest endpoint process to which the ended sender can have
  /// sent the command; empty if not known.
  std::string last_boot;
};

/// The known state of one endpoint's memory; the spec of the platform object
/// `endpoints/<id>`. It contains no times.
struct EndpointLedger {
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
  std::string boot_id;
  std::vector<LoadedItem> loaded;
  std::vector<Intent> intents;
};

/// Returns whether the daemon with this incarnation is known to have ended.
using SenderEndedCheck = std::function<bool(std::string_view incarnation)>;

inline constexpr std::int64_t kMaxSequence = 0xFFFFFFFF;

/// Maximum number of open loads of one item and version at one endpoint. A load
/// without a definite response may be repeated, since it may never have arrived
/// and its charge covers the repeat. The limit bounds the size of the
/// endpoint's object, which each open load makes longer.
inline constexpr int kMaxOpenLoads = 4;

std::string FormatLedger(const EndpointLedger& ledger);
Result<EndpointLedger> ParseLedger(std::string_view json);

/// Allocates the next fencing number. Returns 0 if the sequence of the epoch is
/// exhausted; the lease holder then needs a new epoch.
std::int64_t AllocateFencingNumber(EndpointLedger* ledger);

/// Starts a new epoch. Intents of earlier epochs are kept.
void StartEpoch(EndpointLedger* ledger, std::int64_t epoch);

/// Returns the charged memory in MB: that of loaded items and of load intents
/// that are not fenced, counting each item and version once.
std::int64_t ChargedMemory(const EndpointLedger& ledger);

/// Returns the memory in MB that may be in use if the endpoint has restarted
/// since the last index.
std::int64_t ChargedMemoryAfterRestart(const EndpointLedger& ledger);

/// Returns whether a load fits in `limit_mb`, even if the endpoint has
/// restarted since the last index and accepted fenced commands. Also returns
/// false if kMaxOpenLoads loads of the item and version are open.
bool CanLoad(const EndpointLedger& ledger,
             std::int64_t limit_mb,
             std::string_view item,
             std::string_view version,
             std::int64_t memory_mb);

/// Records `command` as an intent and sets its new fencing number. Returns
/// false if the sequence of the epoch is exhausted.
bool RecordIntent(EndpointLedger* ledger,
                  endpoint::Command* command,
                  std::string_view sender);

/// Returns whether the response shows if the command took effect, and rules out
/// that it takes effect later.
bool IsDefinite(const Result<bool>& response);

/// Resolves the intent `number` from the response to its command, if the
/// response is definite.
void ResolveByResponse(EndpointLedger* ledger,
                       std::int64_t number,
                       const Result<bool>& response);

/// Resolves the intent `number`, whose outcome its sender knows, in a ledger
/// that other lease holders may have changed since. The next index shows what
/// is loaded; until then a load that was `done` is charged, and an unload frees
/// no memory. Returns false if there is no such intent.
bool ResolveBySender(EndpointLedger* ledger, std::int64_t number, bool done);

/// An index and the conditions under which it was read.
struct IndexReading {
  endpoint::Index index;
  /// Fencing number of the index call. Later intents are not changed.
  std::int64_t number = 0;
  bool checks_fencing = false;  ///< The endpoint rejects outdated numbers.
};

/// Replaces the loaded items with those of the index and resolves intents. No
/// command of this sender may be in progress during the index call.
void ApplyIndex(EndpointLedger* ledger,
                const IndexReading& reading,
                const SenderEndedCheck& has_sender_ended);

const LoadedItem* FindLoaded(const EndpointLedger& ledger,
                             std::string_view item,
                             std::string_view version);

/// Returns the number of load intents of the item and version that are not
/// fenced.
int CountOpenLoads(const EndpointLedger& ledger,
                   std::string_view item,
                   std::string_view version);

/// Returns whether an unload of the item and version may still take effect.
bool HasOpenUnload(const EndpointLedger& ledger,
                   std::string_view item,
                   std::string_view version);

/// Returns whether the endpoint has a ready copy that no open unload can
/// remove. An adapter also needs a ready version of its model without an open
/// unload, if the endpoint has any version of that model.
bool CountsAsCopy(const EndpointLedger& ledger,
                  std::string_view item,
                  std::string_view version);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_PLACEMENT_LEDGER_H_
