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
  std::size_t capacity = 4096;  ///< Of the ring and of the task list, each.
  /// Limit for the bodies waiting to be written; above it, responses are
  /// recorded without their body. A daemon has 64 MB for its control data.
  std::size_t max_body_bytes = std::size_t{16} * 1024 * 1024;
  Milliseconds call_timeout{1000};
  Milliseconds first_backoff{50};
  Milliseconds max_backoff{5000};
  /// Writes are abandoned after this time, when the record itself has expired.
  Milliseconds retention{std::chrono::hours{168}};
  std::uint64_t seed = 1;  ///< Of the random jitter of the backoff.
};

/// Writes records in the background and retries until each is confirmed.
class RecordWriter {
 public:
  RecordWriter(RecordStore store, const RecordWriterOptions& options);
  ~RecordWriter();

  RecordWriter(const RecordWriter&) = delete;
  RecordWriter& operator=(const RecordWriter&) = delete;

  /// Returns false and logs if the ring is full or closed: the stored record
  /// then stays as it is. Thread safe.
  bool Add(PendingWrite write);

  /// Returns the number of writes that are not yet confirmed.
  std::size_t Pending() const { return this->pending.load(); }

  /// Continues until every write is confirmed or `deadline` has passed, then
  /// ends the thread. Writes that are not confirmed are logged.
  void Stop(TimePoint deadline);

 private:
  struct Task {
    PendingWrite write;
    TimePoint expires_at;
    int attempts = 0;
  };

  void Run();
  void TakeQueued();
  void RunTasks();
  /// Returns whether the task has ended.
  bool TryWrite(Task* task);
  void StartBackoff();
  static void Abandon(const PendingWrite& write, const char* reason);
  bool IsFinished() const;

  RecordStore store;
  RecordWriterOptions options;
  Ring<PendingWrite> ring;
  std::list<Task> tasks;
  /// All tasks share one backoff, so that a backlog does not use up the
  /// daemon's budget of platform calls while the platform fails.
  TimePoint backoff_until;
  int consecutive_failures = 0;
  std::mt19937_64 random;
  std::atomic<std::size_t> pending{0};
  std::atomic<std::size_t> body_bytes{0};
  std::atomic<Clock::rep> stop_deadline{
      TimePoint::max().time_since_epoch().count()};
  std::thread thread;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_WRITER_H_
