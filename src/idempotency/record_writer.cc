#include "idempotency/record_writer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "idempotency/events.h"

namespace coltsfootvane {
namespace {

/// Reads and updates within one attempt, before the backoff.
constexpr int kMaxStepsPerAttempt = 4;
/// Failed attempts after which a delayed write is logged.
constexpr int kAttemptsBeforeWarning = 8;
/// Longest wait for new writes before the thread checks its tasks and whether
/// it has to stop.
constexpr Milliseconds kPollInterval{100};

std::string Describe(const PendingWrite& write) {
  return "record=" + write.name +
         " state=" + std::string(RecordStateName(write.record.state));
}

}  // namespace

RecordWriter::RecordWriter(RecordStore store,
                           const RecordWriterOptions& options)
    : store(std::move(store)),
      options(options),
      ring(options.capacity),
      random(options.seed) {
  this->thread = std::thread([this] { this->Run(); });
}

RecordWriter::~RecordWriter() {
  this->Stop(Clock::now());
}

bool RecordWriter::Add(PendingWrite write) {
  const std::size_t size = write.record.body.size();
  if (this->body_bytes.fetch_add(size) + size > this->options.max_body_bytes) {
    this->body_bytes.fetch_sub(size);
    write.record.body.clear();
    write.record.body_stored = false;
  }
  const std::size_t queued_body_bytes = write.record.body.size();
  const std::string description = Describe(write);
  ++this->pending;
  if (this->ring.Push(std::move(write)))
    return true;
  --this->pending;
  this->body_bytes.fetch_sub(queued_body_bytes);
  LogEvent(kRecordWriteAbandoned, description + " reason=full");
  return false;
}

void RecordWriter::Stop(TimePoint deadline) {
  if (!this->thread.joinable())
    return;
  this->stop_deadline.store(deadline.time_since_epoch().count());
  this->ring.Close();
  this->thread.join();
}

bool RecordWriter::IsFinished() const {
  if (!this->ring.IsClosed())
    return false;
  if (this->pending.load() == 0)
    return true;
  const TimePoint stop(Clock::duration(this->stop_deadline.load()));
  return Clock::now() >= stop;
}

void RecordWriter::TakeQueued() {
  const TimePoint poll_at = Clock::now() + kPollInterval;
  TimePoint wait_until =
      this->tasks.empty() ? poll_at : std::min(poll_at, this->backoff_until);
  while (this->tasks.size() < this->options.capacity) {
    std::optional<PendingWrite> item = this->ring.PopUntil(wait_until);
    if (!item)
      break;
    Task task;
    task.write = std::move(*item);
    task.expires_at = Clock::now() + this->options.retention;
    this->tasks.push_back(std::move(task));
    wait_until = std::min(wait_until, Clock::now());
  }
  // PopUntil() does not wait if the ring is closed, and is not called if the
  // task list is full.
  std::this_thread::sleep_until(wait_until);
}

void RecordWriter::StartBackoff() {
  const int doublings = std::min(this->consecutive_failures, 16);
  ++this->consecutive_failures;
  const Milliseconds backoff =
      std::min(this->options.max_backoff,
               this->options.first_backoff * (1 << doublings));
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  this->backoff_until =
      Clock::now() + std::chrono::duration_cast<Clock::duration>(
                         backoff * jitter(this->random));
}

void RecordWriter::Abandon(const PendingWrite& write, const char* reason) {
  LogEvent(kRecordWriteAbandoned, Describe(write) + " reason=" + reason);
}

bool RecordWriter::TryWrite(Task* task) {
  PendingWriteStep step;
  for (int count = 0; count < kMaxStepsPerAttempt; ++count) {
    const TimePoint deadline = Clock::now() + this->options.call_timeout;
    const PendingWrite& write = task->write;
    const StepOutcome outcome =
        step.action == PendingWriteAction::kRead
            ? this->store.read(write.name, deadline)
            : this->store.update(write.name, write.record, step.version,
                                 deadline);
    step = NextPendingWriteStep(write, outcome);
    if (step.action == PendingWriteAction::kConfirmed)
      return true;
    if (step.action == PendingWriteAction::kOverwritten) {
      if (write.record.state == RecordState::kDone)
        LogEvent(kRecordOverwritten, Describe(write));
      return true;
    }
    const bool failed = outcome.event == StepEvent::kReadFailed ||
                        outcome.event == StepEvent::kNotWritten;
    if (failed)
      break;
  }
  ++task->attempts;
  if (task->attempts == kAttemptsBeforeWarning)
    LogEvent(kRecordWriteDelayed, Describe(task->write));
  if (Clock::now() < task->expires_at)
    return false;
  this->Abandon(task->write, "expired");
  return true;
}

void RecordWriter::RunTasks() {
  while (!this->tasks.empty() && !this->IsFinished() &&
         Clock::now() >= this->backoff_until) {
    Task& task = this->tasks.front();
    if (!this->TryWrite(&task)) {
      this->StartBackoff();
      // A single record that cannot be written does not block the others.
      this->tasks.splice(this->tasks.end(), this->tasks, this->tasks.begin());
      return;
    }
    this->consecutive_failures = 0;
    this->body_bytes.fetch_sub(task.write.record.body.size());
    this->tasks.pop_front();
    --this->pending;
  }
}

void RecordWriter::Run() {
  while (!this->IsFinished()) {
    this->TakeQueued();
    this->RunTasks();
  }
  for (const Task& task : this->tasks)
    this->Abandon(task.write, "stopped");
  while (const std::optional<PendingWrite> left = this->ring.PopUntil({}))
    this->Abandon(*left, "stopped");
}

}  // namespace coltsfootvane
