#include <cstdio>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "idempotency/next_step.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

/// A rule that a round omits, to show that the test detects its absence.
enum class Omitted {
  kNothing,
  kSendingIsConditional,  ///< The write to sending overwrites any version.
  kLostWriteIsResolved,   ///< A lost write to sending counts as written.
};

struct Write {
  Record record;
  std::int64_t version = 0;  ///< 0 creates.
};

struct Executor {
  AttemptState state;
  Step step;
  bool sent = false;
  bool running = false;
};

struct BackgroundWrite {
  PendingWrite pending_write;
  PendingWriteStep step;
  bool finished = false;
};

/// Simulates one key, its record in a store with faults, and the daemons that
/// receive calls with this key. Each Advance() runs one step of one of them, or
/// applies a delayed write; the others are paused meanwhile.
class Round {
 public:
  Round(std::uint64_t seed, Omitted omitted)
      : random(seed), omitted(omitted), executors(2 + seed % 2) {}

  void Run() {
    for (int step = 0; step < 120; ++step)
      this->Advance();
    this->faults = false;
    while (!this->IsIdle())
      this->Advance();
    this->delayed_writes.clear();
  }

  /// Runs one more attempt without faults.
  StepAnswer RunFinalAttempt() {
    Executor executor = this->StartAttempt();
    while (executor.step.action != StepAction::kAnswer)
      this->StepExecutor(&executor);
    return executor.step.answer;
  }

  int sends = 0;
  bool completed = false;  ///< The last send received its response.
  std::string violation;

 private:
  bool Chance(int percent) {
    return std::uniform_int_distribution<int>(0, 99)(this->random) < percent;
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->random);
  }

  bool IsIdle() const {
    for (const Executor& executor : this->executors) {
      if (executor.running)
        return false;
    }
    for (const BackgroundWrite& background_write : this->background_writes) {
      if (!background_write.finished)
        return false;
    }
    return this->delayed_writes.empty();
  }

  Executor StartAttempt() {
    Executor executor;
    executor.running = true;
    executor.state.attempt = "a" + std::to_string(++this->attempts);
    executor.state.body_digest = "d";
    executor.step = NextStep(&executor.state, {});
    return executor;
  }

  void Advance() {
    const std::size_t executor_count = this->executors.size();
    const std::size_t pick =
        this->Pick(executor_count + this->background_writes.size() +
                   this->delayed_writes.size());
    if (pick < executor_count) {
      this->AdvanceExecutor(&this->executors[pick]);
      return;
    }
    if (pick < executor_count + this->background_writes.size()) {
      this->StepBackgroundWrite(
          &this->background_writes[pick - executor_count]);
      return;
    }
    const std::size_t index =
        pick - executor_count - this->background_writes.size();
    const Write write = this->delayed_writes[index];
    this->delayed_writes.erase(this->delayed_writes.begin() +
                               static_cast<std::ptrdiff_t>(index));
    this->Apply(write);
  }

  void AdvanceExecutor(Executor* executor) {
    if (executor->running)
      this->StepExecutor(executor);
    else if (this->faults && this->Chance(30))
      *executor = this->StartAttempt();
  }

  StepEvent Apply(const Write& write) {
    if (write.version == 0) {
      if (this->stored)
        return StepEvent::kConflict;
    } else {
      if (!this->stored)
        return StepEvent::kMissing;
      const bool unconditional =
          this->omitted == Omitted::kSendingIsConditional &&
          write.record.state == RecordState::kSending;
      if (this->stored->version != write.version && !unconditional)
        return StepEvent::kConflict;
    }
    this->stored = write;
    this->stored->version = ++this->last_version;
    return StepEvent::kWritten;
  }

  StepOutcome WriteRecord(RecordState state,
                          const std::string& attempt,
                          std::int64_t version) {
    Write write;
    write.version = version;
    write.record.state = state;
    write.record.attempt = attempt;
    write.record.body_digest = "d";
    StepOutcome outcome;
    if (this->faults && this->Chance(10)) {
      outcome.event = StepEvent::kNotWritten;
      return outcome;
    }
    if (this->faults && this->Chance(15)) {
      if (this->Chance(80))
        this->delayed_writes.push_back(write);
      outcome.event = StepEvent::kLost;
      return outcome;
    }
    outcome.event = this->Apply(write);
    outcome.version = this->last_version;
    if (this->faults && this->Chance(15))
      outcome.event = StepEvent::kLost;
    return outcome;
  }

  StepOutcome Read() {
    StepOutcome outcome;
    outcome.event = StepEvent::kReadFailed;
    if (this->faults && this->Chance(15))
      return outcome;
    outcome.event = this->stored ? StepEvent::kRead : StepEvent::kMissing;
    if (!this->stored)
      return outcome;
    outcome.version = this->stored->version;
    outcome.record = this->stored->record;
    return outcome;
  }

  StepEvent Send(Executor* executor) {
    if (this->faults && this->Chance(25))
      return StepEvent::kSendNotSent;
    ++this->sends;
    executor->sent = true;
    this->completed = this->Chance(70);
    return this->completed ? StepEvent::kSendComplete : StepEvent::kSendUnknown;
  }

  StepOutcome Act(Executor* executor) {
    const std::string& attempt = executor->state.attempt;
    const std::int64_t version = executor->step.version;
    StepOutcome outcome;
    switch (executor->step.action) {
      case StepAction::kCreate:
        return this->WriteRecord(RecordState::kReserved, attempt, 0);
      case StepAction::kRead:
        return this->Read();
      case StepAction::kTakeOver:
        return this->WriteRecord(RecordState::kReserved, attempt, version);
      case StepAction::kPrepare:
        outcome.event = this->faults && this->Chance(10)
                            ? StepEvent::kNotPrepared
                            : StepEvent::kPrepared;
        return outcome;
      case StepAction::kUpdateSending:
        outcome = this->WriteRecord(RecordState::kSending, attempt, version);
        if (this->omitted == Omitted::kLostWriteIsResolved &&
            outcome.event == StepEvent::kLost)
          outcome.event = StepEvent::kWritten;
        return outcome;
      case StepAction::kSend:
        outcome.event = this->Send(executor);
        return outcome;
      case StepAction::kWriteDone:
        return this->WriteRecord(RecordState::kDone, attempt, version);
      case StepAction::kFence:
        return this->WriteRecord(RecordState::kNotRun, attempt, version);
      case StepAction::kAnswer:
        break;
    }
    return outcome;
  }

  void StepExecutor(Executor* executor) {
    StepOutcome outcome;
    outcome.event = StepEvent::kOutOfTime;
    if (!this->faults || !this->Chance(3))
      outcome = this->Act(executor);
    executor->step = NextStep(&executor->state, outcome);
    if (executor->step.action == StepAction::kAnswer)
      this->Finish(executor);
  }

  void Finish(Executor* executor) {
    executor->running = false;
    const Step& step = executor->step;
    if (step.answer == StepAnswer::kNotRun && executor->sent)
      this->violation = "not run after a send";
    if (step.answer == StepAnswer::kResponse && !executor->sent)
      this->violation = "response without a send";
    if (step.answer == StepAnswer::kReplay && this->sends == 0)
      this->violation = "replay without a send";
    if (step.answer == StepAnswer::kBadRecord)
      this->violation = "bad record";
    if (step.pending_write_kind == PendingWriteKind::kNone)
      return;
    BackgroundWrite background_write;
    background_write.pending_write.record.attempt = executor->state.attempt;
    background_write.pending_write.record.state =
        step.pending_write_kind == PendingWriteKind::kDone
            ? RecordState::kDone
            : RecordState::kNotRun;
    this->background_writes.push_back(background_write);
  }

  void StepBackgroundWrite(BackgroundWrite* background_write) {
    if (background_write->finished)
      return;
    const PendingWrite& pending_write = background_write->pending_write;
    const StepOutcome outcome =
        background_write->step.action == PendingWriteAction::kRead
            ? this->Read()
            : this->WriteRecord(pending_write.record.state,
                                pending_write.record.attempt,
                                background_write->step.version);
    background_write->step = NextPendingWriteStep(pending_write, outcome);
    background_write->finished =
        background_write->step.action == PendingWriteAction::kConfirmed ||
        background_write->step.action == PendingWriteAction::kOverwritten;
  }

  std::mt19937_64 random;
  Omitted omitted;
  bool faults = true;
  std::vector<Executor> executors;
  std::vector<BackgroundWrite> background_writes;
  std::vector<Write> delayed_writes;
  std::optional<Write> stored;
  std::int64_t last_version = 0;
  int attempts = 0;
};

struct Totals {
  int double_sends = 0;
  int single_sends = 0;
  int stuck_keys = 0;
  int lost_responses = 0;
  int violations = 0;
};

constexpr std::uint64_t kFirstSeed = 20261204;
constexpr int kRounds = 20000;

Totals RunRounds(Omitted omitted) {
  Totals totals;
  for (std::uint64_t seed = kFirstSeed; seed < kFirstSeed + kRounds; ++seed) {
    Round round(seed, omitted);
    round.Run();
    if (round.sends > 1)
      ++totals.double_sends;
    if (round.sends == 1)
      ++totals.single_sends;
    const bool not_run = round.sends == 0;
    const StepAnswer final_answer = round.RunFinalAttempt();
    if (not_run && round.sends == 0)
      ++totals.stuck_keys;
    if (round.completed && final_answer != StepAnswer::kReplay && !not_run)
      ++totals.lost_responses;
    if (!round.violation.empty())
      ++totals.violations;
    const bool failed = round.sends > 1 || !round.violation.empty();
    if (failed && omitted == Omitted::kNothing) {
      std::printf("seed %llu: sends=%d %s\n",
                  static_cast<unsigned long long>(seed), round.sends,
                  round.violation.c_str());
    }
  }
  return totals;
}

}  // namespace

TEST_GROUP(Interleaving){};

// Guards against a second send of an irreversible call, against false "not
// run" answers, against keys that stay unknown although nothing was sent, and
// against responses that are not stored in the end.
TEST(Interleaving, NeverSendsTwice) {
  const Totals totals = RunRounds(Omitted::kNothing);
  LONGS_EQUAL(0, totals.double_sends);
  LONGS_EQUAL(0, totals.violations);
  LONGS_EQUAL(0, totals.stuck_keys);
  LONGS_EQUAL(0, totals.lost_responses);
  CHECK_TEXT(totals.single_sends > kRounds / 2,
             "too few rounds sent the call at all");
}

// Guards against a simulation whose faults are too mild to cause a second send:
// omitting one rule must show as one.
TEST(Interleaving, OmittingARuleIsDetected) {
  CHECK(RunRounds(Omitted::kSendingIsConditional).double_sends > 0);
  CHECK(RunRounds(Omitted::kLostWriteIsResolved).double_sends > 0);
}
