#include <cstdio>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "idempotency/next_step.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

/// A rule that a round leaves out, to show that the test would notice.
enum class Omitted {
  kNothing,
  kSendingIsConditional,  ///< The second step overwrites any version.
  kLossIsResolved,        ///< A lost second step counts as written.
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

struct Background {
  Settlement settlement;
  SettleStep step;
  bool finished = false;
};

/// One key, its record in a store with faults, and the daemons that get calls
/// with this key. Each Advance() lets one of them take one step; those not
/// chosen are paused meanwhile.
class Round {
 public:
  Round(std::uint64_t seed, Omitted omitted)
      : random(seed), omitted(omitted), executors(2 + seed % 2) {}

  void Run() {
    for (int step = 0; step < 120; ++step)
      this->Advance();
    this->faults = false;
    while (!this->Quiet())
      this->Advance();
    this->late.clear();
  }

  /// Runs one more attempt without faults.
  StepAnswer RunFresh() {
    Executor executor = this->Begin();
    while (executor.step.action != StepAction::kAnswer)
      this->StepExecutor(&executor);
    return executor.step.answer;
  }

  int sends = 0;
  bool completed = false;  ///< The last send got its response.
  std::string violation;

 private:
  bool Chance(int percent) {
    return std::uniform_int_distribution<int>(0, 99)(this->random) < percent;
  }
  std::size_t Pick(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->random);
  }

  bool Quiet() const {
    for (const Executor& executor : this->executors) {
      if (executor.running)
        return false;
    }
    for (const Background& background : this->backgrounds) {
      if (!background.finished)
        return false;
    }
    return this->late.empty();
  }

  Executor Begin() {
    Executor executor;
    executor.running = true;
    executor.state.attempt = "a" + std::to_string(++this->attempts);
    executor.state.body_digest = "d";
    executor.step = NextStep(&executor.state, {});
    return executor;
  }

  void Advance() {
    const std::size_t others = this->executors.size();
    const std::size_t pick =
        this->Pick(others + this->backgrounds.size() + this->late.size());
    if (pick < others) {
      this->AdvanceExecutor(&this->executors[pick]);
      return;
    }
    if (pick < others + this->backgrounds.size()) {
      this->StepBackground(&this->backgrounds[pick - others]);
      return;
    }
    const std::size_t index = pick - others - this->backgrounds.size();
    const Write write = this->late[index];
    this->late.erase(this->late.begin() + static_cast<std::ptrdiff_t>(index));
    this->Apply(write);
  }

  void AdvanceExecutor(Executor* executor) {
    if (executor->running)
      this->StepExecutor(executor);
    else if (this->faults && this->Chance(30))
      *executor = this->Begin();
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

  Learned Store(RecordState state,
                const std::string& attempt,
                std::int64_t version) {
    Write write;
    write.version = version;
    write.record.state = state;
    write.record.attempt = attempt;
    write.record.body_digest = "d";
    Learned learned;
    if (this->faults && this->Chance(10)) {
      learned.event = StepEvent::kNotWritten;
      return learned;
    }
    if (this->faults && this->Chance(15)) {
      if (this->Chance(80))
        this->late.push_back(write);
      learned.event = StepEvent::kLost;
      return learned;
    }
    learned.event = this->Apply(write);
    learned.version = this->last_version;
    if (this->faults && this->Chance(15))
      learned.event = StepEvent::kLost;
    return learned;
  }

  Learned Read() {
    Learned learned;
    learned.event = StepEvent::kReadFailed;
    if (this->faults && this->Chance(15))
      return learned;
    learned.event = this->stored ? StepEvent::kRead : StepEvent::kMissing;
    if (!this->stored)
      return learned;
    learned.version = this->stored->version;
    learned.record = this->stored->record;
    return learned;
  }

  StepEvent Send(Executor* executor) {
    if (this->faults && this->Chance(25))
      return StepEvent::kSendNotSent;
    ++this->sends;
    executor->sent = true;
    this->completed = this->Chance(70);
    return this->completed ? StepEvent::kSendComplete : StepEvent::kSendUnknown;
  }

  Learned Act(Executor* executor) {
    const std::string& attempt = executor->state.attempt;
    const std::int64_t version = executor->step.version;
    Learned learned;
    switch (executor->step.action) {
      case StepAction::kCreate:
        return this->Store(RecordState::kReserved, attempt, 0);
      case StepAction::kRead:
        return this->Read();
      case StepAction::kTakeOver:
        return this->Store(RecordState::kReserved, attempt, version);
      case StepAction::kPrepare:
        learned.event = this->faults && this->Chance(10)
                            ? StepEvent::kNotPrepared
                            : StepEvent::kPrepared;
        return learned;
      case StepAction::kUpdateSending:
        learned = this->Store(RecordState::kSending, attempt, version);
        if (this->omitted == Omitted::kLossIsResolved &&
            learned.event == StepEvent::kLost)
          learned.event = StepEvent::kWritten;
        return learned;
      case StepAction::kSend:
        learned.event = this->Send(executor);
        return learned;
      case StepAction::kWriteDone:
        return this->Store(RecordState::kDone, attempt, version);
      case StepAction::kFence:
        return this->Store(RecordState::kNotRun, attempt, version);
      case StepAction::kAnswer:
        break;
    }
    return learned;
  }

  void StepExecutor(Executor* executor) {
    Learned learned;
    learned.event = StepEvent::kOutOfTime;
    if (!this->faults || !this->Chance(3))
      learned = this->Act(executor);
    executor->step = NextStep(&executor->state, learned);
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
    if (step.remainder == StepRemainder::kNone)
      return;
    Background background;
    background.settlement.record.attempt = executor->state.attempt;
    background.settlement.record.state = step.remainder == StepRemainder::kDone
                                             ? RecordState::kDone
                                             : RecordState::kNotRun;
    this->backgrounds.push_back(background);
  }

  void StepBackground(Background* background) {
    if (background->finished)
      return;
    const Settlement& wanted = background->settlement;
    const Learned learned =
        background->step.action == SettleAction::kRead
            ? this->Read()
            : this->Store(wanted.record.state, wanted.record.attempt,
                          background->step.version);
    background->step = NextSettleStep(wanted, learned);
    background->finished =
        background->step.action == SettleAction::kConfirmed ||
        background->step.action == SettleAction::kOverwritten;
  }

  std::mt19937_64 random;
  Omitted omitted;
  bool faults = true;
  std::vector<Executor> executors;
  std::vector<Background> backgrounds;
  std::vector<Write> late;
  std::optional<Write> stored;
  std::int64_t last_version = 0;
  int attempts = 0;
};

struct Totals {
  int double_sends = 0;
  int single_sends = 0;
  int stuck = 0;
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
    const StepAnswer fresh = round.RunFresh();
    if (not_run && round.sends == 0)
      ++totals.stuck;
    if (round.completed && fresh != StepAnswer::kReplay && !not_run)
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
  LONGS_EQUAL(0, totals.stuck);
  LONGS_EQUAL(0, totals.lost_responses);
  CHECK_TEXT(totals.single_sends > kRounds / 2, "too few rounds sent at all");
}

// Guards against a model too gentle to show a second send: leaving out one rule
// must be noticed.
TEST(Interleaving, LeavingOutARuleIsNoticed) {
  CHECK(RunRounds(Omitted::kSendingIsConditional).double_sends > 0);
  CHECK(RunRounds(Omitted::kLossIsResolved).double_sends > 0);
}
