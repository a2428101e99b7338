#ifndef COLTSFOOTVANE_DAEMON_CONFIG_JOB_H_
#define COLTSFOOTVANE_DAEMON_CONFIG_JOB_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"
#include "daemon/deployment.h"
#include "gateway/routing_table.h"
#include "replication/comparison.h"
#include "replication/document.h"
#include "replication/item_reader.h"
#include "store/place.h"

namespace coltsfootvane::daemon {

/// Where a new configuration is on its way into force.
enum class ConfigStage {
  kCompare,   ///< The text of the store is read item by item.
  kDecode,    ///< Parts that another daemon has sent are read.
  kRemovals,  ///< The items that are gone are found.
  kEncode,    ///< The change is made ready for others.
  kRead,      ///< The routing table takes the changed items over.
  kStore,     ///< So does the document.
  kRebuild,   ///< The table takes over all items of the document.
  kDone,
  kFailed,  ///< See `fault`; the document is as before.
};

/// A configuration of which a daemon makes a routing table, in steps that are
/// short whatever its size.
struct ConfigJob {
  ConfigStage stage = ConfigStage::kCompare;
  bool is_from_store = false;
  bool encodes = false;  ///< For daemons that lack the change.
  store::Place place;    ///< Unknown before the first part is read.
  store::Place base;     ///< Of the document; unknown before its first state.
  std::string input;     ///< Text or frames, in which the readers point.
  std::size_t change_start = 0;  ///< In the input; what is before is known.
  std::size_t input_bytes = 0;   ///< That belong to this change.
  replication::ItemReader reader;
  std::string_view frames;  ///< That have not been read.
  bool is_whole = false;    ///< All items are met, not only those that change.
  replication::Comparison comparison;
  std::uint64_t digest_rise = 0;  ///< Of the document by the change.
  std::optional<std::uint64_t> wanted_digest;
  std::string encoded;         ///< The change, for others.
  std::size_t next = 0;        ///< Change that the stage handles next.
  std::string next_key;        ///< Item that kRebuild handles next.
  bool updates_table = false;  ///< From that in force; else it is made anew.
  gateway::RoutingTable table;
  std::optional<Error> table_fault;  ///< Why there is no table.
  Error fault;
  TimePoint began;
  Microseconds busy{0};
};

/// Begins with the text of the store at `place`.
ConfigJob BeginFromText(const store::Place& place,
                        std::string text,
                        const Deployment& deployment);
/// Begins with frames of another daemon. What follows the first change of them
/// is left over.
ConfigJob BeginFromFrames(std::string frames);

/// Sets what the steps start from. `table` is what the document says, or
/// nullptr if the table in force differs from it.
void StartFrom(const replication::Document& document,
               const gateway::RoutingTable* table,
               std::uint32_t number,
               ConfigJob* job);

/// Does the next short step of a job that is neither done nor has failed. Only
/// kStore changes the document, beyond the marks of a comparison.
void Step(const Deployment& deployment,
          replication::Document* document,
          ConfigJob* job);

/// Encodes the next items of a whole document, in order, and appends the frame.
/// Returns whether it was the last one.
bool EncodeWhole(const replication::Document& document,
                 std::string* next_key,
                 std::string* frames);

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_CONFIG_JOB_H_
