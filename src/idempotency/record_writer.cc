#include "idempotency/record_writer.h"

#include <algorithm>
#include <string>
#include <utility>

#include "idempotency/events.h"

namespace coltsfootvane {
namespace {

/// Reads and updates within one try, before the backoff.
constexpr int kStepsPerTry = 4;
/// Tries after which a delayed write is logged.
constexpr int kTriesBeforeWarning = 8;
/// How long a full or closed ring is left before it is looked at again.
constexpr Milliseconds kPollInterval{100};

std::string Describe(const Settlement& settlement) {
  return "record=" + settlement.name +
         " state=" + std::string(RecordStateName(settlement.record.state));
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

bool RecordWriter::Add(Settlement settlement) {
  const std::size_t size = settlement.record.body.size();
  if (this->body_bytes.fetch_add(size) + size > this->options.max_body_bytes) {
    this->body_bytes.fetch_sub(size);
    settlement.record.body.clear();
    settlement.record.body_stored = false;
  }
  const std::size_t held = settlement.record.body.size();
  const std::string description = Describe(settlement);
  ++this->pending;
  if (this->ring.Push(std::move(settlement)))
    return true;
  --this->pending;
  this->body_bytes.fetch_sub(held);
  LogEvent(kRecordWriteAbandoned, description + " reason=full");
  return false;
}

void RecordWriter::Stop(TimePoint deadline) {
  if (!this->thread.joinable())
    return;
  this->stop_at.store(deadline.time_since_epoch().count());
  this->ring.Close();
  this->thread.join();
}

bool RecordWriter::Finished() const {
  if (!this->ring.IsClosed())
    return false;
  if (this->pending.load() == 0)
    return true;
  const TimePoint stop(Clock::duration(this->stop_at.load()));
  return Clock::now() >= stop;
}

void RecordWriter::TakeNew() {
  const TimePoint idle = Clock::now() + kPollInterval;
  TimePoint wait =
      this->tasks.empty() ? idle : std::min(idle, this->hold_until);
  while (this->tasks.size() < this->options.capacity) {
    std::optional<Settlement> item = this->ring.PopUntil(wait);
    if (!item)
      break;
    Task task;
    task.settlement = std::move(*item);
    task.give_up = Clock::now() + this->options.keep;
    this->tasks.push_back(std::move(task));
    wait = std::min(wait, Clock::now());
  }
  // A closed ring returns at once, and a full list does not wait on it.
  std::this_thread::sleep_until(wait);
}

void RecordWriter::HoldAfterFailure() {
  const int doublings = std::min(this->failures_in_row, 16);
  ++this->failures_in_row;
  const Milliseconds backoff =
      std::min(this->options.max_backoff,
               this->options.first_backoff * (1 << doublings));
  std::uniform_real_distribution<double> jitter(0.5, 1.0);
  this->hold_until = Clock::now() + std::chrono::duration_cast<Clock::duration>(
                                        backoff * jitter(this->random));
}

void RecordWriter::Abandon(const Settlement& settlement, const char* reason) {
  LogEvent(kRecordWriteAbandoned, Describe(settlement) + " reason=" + reason);
}

bool RecordWriter::Try(Task* task) {
  SettleStep step;
  for (int count = 0; count < kStepsPerTry; ++count) {
    const TimePoint deadline = Clock::now() + this->options.call_timeout;
    const Settlement& wanted = task->settlement;
    const Learned learned = step.action == SettleAction::kRead
                                ? this->store.read(wanted.name, deadline)
                                : this->store.update(wanted.name, wanted.record,
                                                     step.version, deadline);
    step = NextSettleStep(wanted, learned);
    if (step.action == SettleAction::kConfirmed)
      return true;
    if (step.action == SettleAction::kOverwritten) {
      if (wanted.record.state == RecordState::kDone)
        LogEvent(kRecordOverwritten, Describe(wanted));
      return true;
    }
    const bool failed = learned.event == StepEvent::kReadFailed ||
                        learned.event == StepEvent::kNotWritten;
    if (failed)
      break;
  }
  ++task->tries;
  if (task->tries == kTriesBeforeWarning)
    LogEvent(kRecordWriteDelayed, Describe(task->settlement));
  if (Clock::now() < task->give_up)
    return false;
  this->Abandon(task->settlement, "expired");
  return true;
}

void RecordWriter::RunTasks() {
  while (!this->tasks.empty() && !this->Finished() &&
         Clock::now() >= this->hold_until) {
    Task& task = this->tasks.front();
    if (!this->Try(&task)) {
      this->HoldAfterFailure();
      // A record that alone cannot be written does not stop the others.
      this->tasks.splice(this->tasks.end(), this->tasks, this->tasks.begin());
      return;
    }
    this->failures_in_row = 0;
    this->body_bytes.fetch_sub(task.settlement.record.body.size());
    this->tasks.pop_front();
    --this->pending;
  }
}

void RecordWriter::Run() {
  while (!this->Finished()) {
    this->TakeNew();
    this->RunTasks();
  }
  for (const Task& task : this->tasks)
    this->Abandon(task.settlement, "stopped");
  while (const std::optional<Settlement> left = this->ring.PopUntil({}))
    this->Abandon(*left, "stopped");
}

}  // namespace coltsfootvane
