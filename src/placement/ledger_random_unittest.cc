#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "placement/ledger.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

using Operation = endpoint::Command::Operation;

constexpr std::int64_t kLimitMb = 100;
constexpr int kSteps = 400;
constexpr unsigned kSeeds = 3000;

struct ModelItem {
  const char* name;
  std::int64_t memory_mb;
};
constexpr ModelItem kItems[] = {{"a", 60}, {"b", 50}, {"c", 30}, {"d", 20}};

/// A command in transit. If it was not sent yet, its sender may be paused; if
/// it was sent, it is lost when the engine's process ends.
struct Message {
  endpoint::Command command;
  std::string sender;
  bool sent = false;
};

struct EngineModel {
  bool checks_fencing = false;
  int boot = 1;
  std::int64_t highest_number = 0;
  std::map<std::string, std::int64_t> loaded;

  std::int64_t Used() const {
    std::int64_t used = 0;
    for (const auto& [name, memory_mb] : this->loaded)
      used += memory_mb;
    return used;
  }

  bool Accept(std::int64_t number) {
    if (!this->checks_fencing)
      return true;
    if (number <= this->highest_number)
      return false;
    this->highest_number = number;
    return true;
  }
};

/// Planners that take over from each other, and one engine. Each step is one
/// random event.
class Simulation {
 public:
  Simulation(unsigned seed, bool checks_fencing) : random(seed) {
    this->engine.checks_fencing = checks_fencing;
    this->TakeOver();
  }

  void Step() {
    switch (this->Pick(12)) {
      case 0:
      case 1:
      case 2:
        this->Command();
        return;
      case 3:
      case 4:
      case 5:
        this->Deliver();
        return;
      case 6:
      case 7:
        this->CallIndex();
        return;
      case 8:
        this->awaited_number = 0;  // The wait for the response is abandoned.
        return;
      case 9:
        if (this->Pick(4) == 0)
          this->TakeOver();
        else if (this->Pick(2) == 0)
          this->EndSender();
        return;
      case 10:
        this->AbandonUnsentCommand();
        return;
      default:
        if (this->Pick(4) == 0)
          this->Restart();
        return;
    }
  }

  std::int64_t Used() const { return this->engine.Used(); }
  int loads = 0;

 private:
  int Pick(int count) {
    return std::uniform_int_distribution<int>(0, count - 1)(this->random);
  }

  /// Starts the next planner from the stored object, which has every intent.
  void TakeOver() {
    this->active_sender = "s" + std::to_string(++this->sender_count);
    StartEpoch(&this->ledger, this->sender_count);
    this->synced = false;
    this->awaited_number = 0;
  }

  /// Ends a sender that is not active. Its unsent commands are never sent.
  void EndSender() {
    const std::string ended =
        "s" + std::to_string(1 + this->Pick(sender_count));
    if (ended == this->active_sender)
      return;
    this->ended_senders.insert(ended);
    this->messages.erase(
        std::remove_if(this->messages.begin(), this->messages.end(),
                       [&ended](const Message& message) {
                         return message.sender == ended && !message.sent;
                       }),
        this->messages.end());
  }

  /// Lets a sender abandon an unsent command, also after it lost the lease.
  void AbandonUnsentCommand() {
    const auto unsent =
        std::find_if(this->messages.begin(), this->messages.end(),
                     [](const Message& message) { return !message.sent; });
    if (unsent == this->messages.end())
      return;
    const std::int64_t number = unsent->command.fencing_number;
    this->messages.erase(unsent);
    ResolveBySender(&this->ledger, number, /*done=*/false);
    if (this->awaited_number == number)
      this->awaited_number = 0;
  }

  void Restart() {
    ++this->engine.boot;
    this->engine.highest_number = 0;
    this->engine.loaded.clear();
    this->messages.erase(
        std::remove_if(this->messages.begin(), this->messages.end(),
                       [](const Message& message) { return message.sent; }),
        this->messages.end());
  }

  void Command() {
    if (!this->synced || this->awaited_number != 0)
      return;
    const ModelItem& item = kItems[this->Pick(4)];
    Message message;
    message.sender = this->active_sender;
    message.command.item = item.name;
    message.command.version = "1";
    message.command.memory_mb = item.memory_mb;
    if (this->Pick(2) == 0)
      message.command.operation = Operation::kUnload;
    else if (!CanLoad(this->ledger, kLimitMb, item.name, "1", item.memory_mb))
      return;
    RecordIntent(&this->ledger, &message.command, this->active_sender);
    this->awaited_number = message.command.fencing_number;
    this->messages.push_back(message);
  }

  void Deliver() {
    if (this->messages.empty())
      return;
    const auto chosen = this->messages.begin() +
                        this->Pick(static_cast<int>(this->messages.size()));
    if (!chosen->sent && this->Pick(2) == 0) {
      chosen->sent = true;
      return;
    }
    const Message message = *chosen;
    // Duplicate delivery is safe only if the engine checks fencing numbers.
    if (!this->engine.checks_fencing || this->Pick(4) != 0)
      this->messages.erase(chosen);
    else
      chosen->sent = true;
    const bool accepted = this->engine.Accept(message.command.fencing_number);
    if (accepted)
      this->Execute(message.command);
    if (this->Pick(3) == 0)
      return;
    if (this->awaited_number != message.command.fencing_number) {
      this->OnLateResponse(message, accepted);
      return;
    }
    this->awaited_number = 0;
    if (accepted)
      ResolveByResponse(&this->ledger, message.command.fencing_number, true);
    else
      ResolveByResponse(&this->ledger, message.command.fencing_number,
                        Error{ErrorCode::kConflict, ""});
  }

  /// Handles the response to a sender that has lost the lease but still waits
  /// for the response.
  void OnLateResponse(const Message& message, bool accepted) {
    const bool replaced = message.sender != this->active_sender;
    if (accepted && replaced && this->ended_senders.count(message.sender) == 0)
      ResolveBySender(&this->ledger, message.command.fencing_number,
                      /*done=*/true);
  }

  void Execute(const endpoint::Command& command) {
    if (command.operation == Operation::kUnload) {
      this->engine.loaded.erase(command.item);
      return;
    }
    this->engine.loaded[command.item] = command.memory_mb;
    ++this->loads;
  }

  void CallIndex() {
    if (this->awaited_number != 0)
      return;
    IndexReading reading;
    reading.number = AllocateFencingNumber(&this->ledger);
    reading.checks_fencing = this->engine.checks_fencing;
    if (!this->engine.Accept(reading.number) || this->Pick(5) == 0)
      return;
    reading.index.boot_id = std::to_string(this->engine.boot);
    for (const auto& [name, memory_mb] : this->engine.loaded)
      reading.index.items.push_back(
          {name, "1", endpoint::ItemState::kReady, memory_mb, false});
    ApplyIndex(&this->ledger, reading, [this](std::string_view sender) {
      return this->ended_senders.count(std::string(sender)) != 0;
    });
    this->synced = true;
  }

  std::mt19937 random;
  EngineModel engine;
  EndpointLedger ledger;
  std::vector<Message> messages;
  std::set<std::string> ended_senders;
  std::string active_sender;
  int sender_count = 0;
  bool synced = false;
  std::int64_t awaited_number = 0;
};

}  // namespace

TEST_GROUP(LedgerRandom){};

// Guards against overcommitted memory under delayed, lost and duplicated
// commands, paused and ended senders, lease takeovers and engine restarts.
TEST(LedgerRandom, NoOrderOfEventsOvercommitsMemory) {
  for (const bool checks_fencing : {true, false}) {
    int loads = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      Simulation simulation(seed, checks_fencing);
      for (int step = 0; step < kSteps; ++step) {
        simulation.Step();
        const std::string place = "seed " + std::to_string(seed) + " step " +
                                  std::to_string(step) +
                                  (checks_fencing ? " checks" : " ignores");
        CHECK_TEXT(simulation.Used() <= kLimitMb, place.c_str());
      }
      loads += simulation.loads;
    }
    // Fails if too few loads happen for the check above to be meaningful.
    CHECK_TEXT(loads > static_cast<int>(kSeeds), std::to_string(loads).c_str());
  }
}

}  // namespace coltsfootvane
