#ifndef COLTSFOOTVANE_DAEMON_QUARANTINE_RECORD_H_
#define COLTSFOOTVANE_DAEMON_QUARANTINE_RECORD_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>

#include "base/clock.h"
#include "gateway/gateway.h"
#include "quarantine/suspicion.h"
#include "store/object_store.h"

namespace coltsfootvane::daemon {

/// Returns the evidence against quarantined parts as it is kept in the store.
/// `unix_ms` is the time of day: the evidence outlasts processes, whose clocks
/// have nothing else in common. An error of some seconds shifts the end of a
/// quarantine by as much.
nlohmann::json FormatEvidence(const gateway::PartQuarantine& state,
                              TimePoint now,
                              std::int64_t unix_ms);

/// Reads evidence. What cannot be read is left out.
std::map<quarantine::PartId, quarantine::Suspect>
ReadEvidence(const nlohmann::json& spec, TimePoint now, std::int64_t unix_ms);

/// Keeps the evidence against quarantined parts in the store, so that it
/// outlasts the end of all daemons at once. Every daemon reads it at its start;
/// the holder of the planner's lease writes it when a quarantine begins or
/// ends.
class QuarantineRecord {
 public:
  QuarantineRecord(boost::asio::io_context* io,
                   const store::ObjectStore* store,
                   gateway::Gateway* gateway);

  void Start();
  /// Writes what has changed, if this daemon is the one to write.
  void Tick(bool holds_lease, TimePoint now);
  /// The store has come back from an older copy: what was recorded there may be
  /// gone.
  void OnNewEra();

 private:
  void Load();
  void OnLoaded(const Result<store::Object>& loaded);
  void Write();
  void OnWritten(const Result<store::Object>& written);

  const store::ObjectStore* store;
  gateway::Gateway* gateway;
  boost::asio::steady_timer timer;
  bool loaded = false;
  bool call_in_progress = false;
  store::Place place;              ///< Of the object; unknown if there is none.
  bool is_of_earlier_era = false;  ///< What is known of the object.
  /// Parts of the quarantines that the object lists.
  std::vector<quarantine::PartId> recorded;
  std::vector<quarantine::PartId> writing;
  TimePoint next_write_at;
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_QUARANTINE_RECORD_H_
