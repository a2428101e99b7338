#ifndef COLTSFOOTVANE_IDEMPOTENCY_RECORD_SWEEPER_H_
#define COLTSFOOTVANE_IDEMPOTENCY_RECORD_SWEEPER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>
#include <thread>

#include "base/clock.h"
#include "distribution/stop_signal.h"
#include "idempotency/record_expiry.h"
#include "objectapi/client.h"

namespace coltsfootvane {

struct RecordSweeperOptions {
  Milliseconds retention{std::chrono::hours{168}};
  Milliseconds call_timeout{1000};
  double calls_per_s = 5;
  /// Called after each attempt to delete a record; `result` as in
  /// Metrics::CountRecordExpiry(). May be empty.
  std::function<void(RecordState, std::string_view result)> on_delete_attempt;
};

/// Deletes expired records while it is active. Several sweepers may be active
/// at once: ticks and deletions are conditional on the versions that were read.
class RecordSweeper {
 public:
  RecordSweeper(objectapi::Connection connection, RecordSweeperOptions options);
  ~RecordSweeper();

  RecordSweeper(const RecordSweeper&) = delete;
  RecordSweeper& operator=(const RecordSweeper&) = delete;

  void SetActive(bool is_active) { this->active = is_active; }
  void Stop();

 private:
  void Run();
  bool ShouldContinue() const {
    return this->active && !this->stop.IsStopped();
  }
  /// Reads the ticks and adds one when it is due. Returns whether there is a
  /// new tick, so that a sweep is due.
  bool UpdateTicks();
  bool AddTick();
  void Sweep();
  /// Returns the number of deleted records.
  int SweepPage(const objectapi::ObjectList& page);
  bool DeleteRecord(const objectapi::Object& object, RecordState state);
  /// Waits so that calls stay below `calls_per_s`. Returns the deadline of the
  /// call that follows.
  TimePoint WaitForRateLimit();

  objectapi::Connection connection;
  RecordSweeperOptions options;
  ExpiryTicks ticks;
  std::int64_t ticks_version = -1;  ///< Of the ticks' object; -1: not read.
  TimePoint ticks_version_seen_at;  ///< When `ticks_version` was first read.
  std::atomic<bool> active{false};
  StopSignal stop;
  std::thread thread;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_SWEEPER_H_
