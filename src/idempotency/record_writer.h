#ifndef COLTSFOOTVANE_IDEMPOTENCY_RECORD_WRITER_H_
#define COLTSFOOTVANE_IDEMPOTENCY_RECORD_WRITER_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <random>
#include <thread>

#include "base/clock.h"
#include "base/ring.h"
#include "idempotency/next_step.h"
#include "idempotency/record_store.h"

namespace coltsfootvane {

struct RecordWriterOptions {
  std::size_t capacity = 4096;  ///< Of the ring, and of the writes in progress.
  /// Bodies waiting to be written; above this, responses are recorded without
  /// their body. A daemon has 64 MB for control.
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  Milliseconds call_timeout{1000};
  Milliseconds first_backoff{50};
  Milliseconds max_backoff{5000};
  /// After that the record itself has expired.
  Milliseconds keep{std::chrono::hours{168}};
  std::uint64_t seed = 1;  ///< Of the backoff's jitter.
};

/// Goes on writing records in the background until each is confirmed.
class RecordWriter {
 public:
  RecordWriter(RecordStore store, const RecordWriterOptions& options);
  ~RecordWriter();

  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// Returns false, after logging, if the ring is full: the record then stays
  /// as it is. Thread safe.
  bool Add(Settlement settlement);

  /// Returns the writes not yet confirmed.
  std::size_t Pending() const { return this->pending.load(); }

  /// Goes on until every write is confirmed or `deadline`, then ends the
  /// thread. Writes that are left are logged.
  void Stop(TimePoint deadline);

 private:
  struct Task {
    Settlement settlement;
    TimePoint give_up;
    int tries = 0;
  };

  void Run();
  void TakeNew();
  void RunTasks();
  /// Returns whether the task has ended.
  bool Try(Task* task);
  void HoldAfterFailure();
  static void Abandon(const Settlement& settlement, const char* reason);
  bool Finished() const;

  RecordStore store;
  RecordWriterOptions options;
  Ring<Settlement> ring;
  std::list<Task> tasks;
  /// One backoff for all tasks: a backlog must not use up the call budget of
  /// the daemon while the platform fails.
  TimePoint hold_until;
  int failures_in_row = 0;
  std::mt19937_64 random;
  std::atomic<std::size_t> pending{0};
  std::atomic<std::size_t> body_bytes{0};
  std::atomic<Clock::rep> stop_at{TimePoint::max().time_since_epoch().count()};
  std::thread thread;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_WRITER_H_
