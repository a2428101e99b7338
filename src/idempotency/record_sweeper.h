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
  Milliseconds keep{std::chrono::hours{168}};
  Milliseconds call_timeout{1000};
  double calls_per_s = 5;
  /// Told each deletion; `result` as in Metrics::CountRecordExpiry(). May be
  /// empty.
  std::function<void(RecordState, std::string_view result)> on_expiry;
};

/// Deletes expired records while it is active. Several may be active at once:
/// ticks and deletions are conditional on the versions that were read.
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
  bool Goes() const { return this->active && !this->stop.IsStopped(); }
  /// Reads the ticks and adds one when it is due. Returns whether there is a
  /// tick that was not swept for.
  bool UpdateTicks();
  bool TakeTick();
  void Sweep();
  /// Returns the number of deleted records.
  int SweepPage(const objectapi::ObjectList& page);
  bool DeleteRecord(const objectapi::Object& object, RecordState state);
  /// Waits for this thread's share of the calls. Returns the call's deadline.
  TimePoint Pace();

  objectapi::Connection connection;
  RecordSweeperOptions options;
  ExpiryTicks ticks;
  std::int64_t seen_version = -1;  ///< Of the ticks' object; -1: not read.
  TimePoint seen_at;               ///< When `seen_version` was first read.
  std::atomic<bool> active{false};
  StopSignal stop;
  std::thread thread;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_SWEEPER_H_
