#include "placement/ledger.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

using Operation = endpoint::Command::Operation;

endpoint::Command MakeCommand(Operation operation,
                              const char* item,
                              std::int64_t memory_mb) {
  endpoint::Command command;
  command.operation = operation;
  command.item = item;
  command.version = "1";
  command.memory_mb = memory_mb;
  return command;
}

endpoint::Index MakeIndex(const char* boot_id,
                          const std::vector<std::string>& items) {
  endpoint::Index index;
  index.boot_id = boot_id;
  for (const std::string& item : items)
    index.items.push_back(
        {item, "1", endpoint::ItemState::kReady, 10, /*adapter=*/false});
  return index;
}

EndpointLedger MakeLedger() {
  EndpointLedger ledger;
  StartEpoch(&ledger, 3);
  ledger.boot_id = "b1";
  return ledger;
}

}  // namespace

TEST_GROUP(Ledger){};

// Guards against freeing memory after a response that does not settle the
// outcome, and against charging it for ever after one that does.
TEST(Ledger, OnlyDefiniteResponsesResolveIntents) {
  struct Row {
    const char* name;
    Operation operation;
    Result<bool> response;
    std::size_t intents;
    std::int64_t charged;
  };
  const Row rows[] = {
      {"load done", Operation::kLoad, true, 0, 15},
      {"load unknown", Operation::kLoad, Error{ErrorCode::kUnknown, ""}, 1, 15},
      {"load not sent", Operation::kLoad, Error{ErrorCode::kNotSent, ""}, 0, 5},
      {"load refused", Operation::kLoad, Error{ErrorCode::kRefused, ""}, 0, 5},
      {"load outdated", Operation::kLoad, Error{ErrorCode::kConflict, ""}, 1,
       15},
      {"unload done", Operation::kUnload, true, 0, 0},
      {"unload unknown", Operation::kUnload, Error{ErrorCode::kUnknown, ""}, 1,
       5},
      {"unload refused", Operation::kUnload, Error{ErrorCode::kRefused, ""}, 0,
       5},
  };
  for (const Row& row : rows) {
    EndpointLedger ledger = MakeLedger();
    ledger.loaded.push_back({"kept", "1", "", 5, false, true});
    const bool load = row.operation == Operation::kLoad;
    endpoint::Command command =
        MakeCommand(row.operation, load ? "new" : "kept", load ? 10 : 5);
    CHECK_TEXT(RecordIntent(&ledger, &command, "s"), row.name);
    CHECK_TEXT(command.fencing_number == ((std::int64_t{3} << 32) | 1),
               row.name);
    ResolveByResponse(&ledger, command.fencing_number, row.response);
    LONGS_EQUAL_TEXT(row.intents, ledger.intents.size(), row.name);
    LONGS_EQUAL_TEXT(row.charged, ChargedMemory(ledger), row.name);
  }
}

// Guards against charging an intent whose outcome its sender knows, against
// freeing memory that the command may occupy, and against removing an item that
// a later lease holder has loaded since.
TEST(Ledger, SendersResolveTheirOwnIntents) {
  struct Row {
    const char* name;
    Operation operation;
    const char* item;
    bool done;
    std::int64_t charged;
    bool copy;
  };
  const Row rows[] = {
      {"load not sent", Operation::kLoad, "new", false, 5, false},
      {"load done", Operation::kLoad, "new", true, 15, false},
      {"load done, already in the index", Operation::kLoad, "kept", true, 5,
       true},
      {"unload not sent", Operation::kUnload, "kept", false, 5, true},
      {"unload done, loaded again", Operation::kUnload, "kept", true, 5, true},
  };
  for (const Row& row : rows) {
    EndpointLedger ledger = MakeLedger();
    ledger.loaded.push_back({"kept", "1", "", 5, false, true, true});
    endpoint::Command other = MakeCommand(Operation::kUnload, "other", 10);
    endpoint::Command command = MakeCommand(row.operation, row.item, 10);
    RecordIntent(&ledger, &command, "s");
    RecordIntent(&ledger, &other, "s");
    CHECK_TEXT(ResolveBySender(&ledger, command.fencing_number, row.done),
               row.name);
    CHECK_TEXT(!ResolveBySender(&ledger, command.fencing_number, row.done),
               row.name);
    LONGS_EQUAL_TEXT(1, ledger.intents.size(), row.name);
    LONGS_EQUAL_TEXT(row.charged, ChargedMemory(ledger), row.name);
    CHECK_EQUAL_TEXT(row.copy, CountsAsCopy(ledger, row.item, "1"), row.name);
  }
}

// Guards against an endpoint object that grows with each load whose response is
// lost, and against such a load blocking all later loads of its item or others.
TEST(Ledger, OpenLoadsOfAnItemAreBounded) {
  struct Row {
    const char* name;
    const char* item;
    int open;
    bool fenced;
    bool can_load;
  };
  const Row rows[] = {
      {"none", "m", 0, false, true},
      {"repeat after a lost load", "m", kMaxOpenLoads - 1, false, true},
      {"limit reached", "m", kMaxOpenLoads, false, false},
      {"another item", "n", kMaxOpenLoads, false, true},
      {"fenced loads", "m", kMaxOpenLoads, true, true},
  };
  for (const Row& row : rows) {
    EndpointLedger ledger = MakeLedger();
    for (int i = 0; i < row.open; ++i) {
      endpoint::Command command = MakeCommand(Operation::kLoad, "m", 10);
      RecordIntent(&ledger, &command, "s");
      ledger.intents.back().fenced = row.fenced;
    }
    CHECK_EQUAL_TEXT(row.can_load, CanLoad(ledger, 100, row.item, "1", 10),
                     row.name);
  }
}

// Guards against resolving a delayed command from an index that does not prove
// that it can no longer take effect.
TEST(Ledger, IndexResolvesOnlyWhatItProves) {
  struct Row {
    const char* name;
    bool checks_fencing;
    const char* boot_id;
    bool shown;
    bool has_sender_ended;
    std::size_t intents;
    std::int64_t charged;
  };
  const Row rows[] = {
      {"fenced, sender may be running", true, "b1", false, false, 1, 0},
      {"fenced, sender ended", true, "b1", false, true, 0, 0},
      {"fenced after its effect", true, "b1", true, false, 1, 10},
      {"restarted, sender may be running", true, "b2", false, false, 1, 10},
      {"restarted, sender ended", true, "b2", false, true, 0, 0},
      {"ignores numbers, not done", false, "b1", false, true, 1, 10},
      {"ignores numbers, done, sender may be running", false, "b1", true, false,
       1, 10},
      {"ignores numbers, done, sender ended", false, "b1", true, true, 0, 10},
      {"ignores numbers, restarted, sender may have ended later", false, "b2",
       false, true, 1, 10},
      {"ignores numbers, restarted, sender may be running", false, "b2", false,
       false, 1, 10},
  };
  for (const Row& row : rows) {
    EndpointLedger ledger = MakeLedger();
    endpoint::Command command = MakeCommand(Operation::kLoad, "m", 10);
    RecordIntent(&ledger, &command, "s");
    IndexReading reading;
    reading.number = AllocateFencingNumber(&ledger);
    reading.checks_fencing = row.checks_fencing;
    reading.index = MakeIndex(row.boot_id, {});
    if (row.shown)
      reading.index = MakeIndex(row.boot_id, {"m"});
    ApplyIndex(&ledger, reading,
               [&row](std::string_view) { return row.has_sender_ended; });
    LONGS_EQUAL_TEXT(row.intents, ledger.intents.size(), row.name);
    LONGS_EQUAL_TEXT(row.charged, ChargedMemory(ledger), row.name);
  }
}

// Guards against freeing the memory of a load whose sender ended only after it
// had sent the load to the restarted process, and against charging that load
// after the next restart.
TEST(Ledger, OnlyARestartAfterItsSendersEndResolvesAnIntent) {
  struct Reading {
    const char* boot_id;
    bool ended;
  };
  struct Row {
    const char* name;
    std::vector<Reading> readings;
    std::int64_t charged;
  };
  const Row rows[] = {
      {"sender running", {{"b1", false}, {"b2", false}, {"b3", false}}, 10},
      {"end not known before the restart", {{"b1", false}, {"b2", true}}, 10},
      {"end perhaps after the restart", {{"b1", true}, {"b2", true}}, 10},
      {"no restart", {{"b1", true}, {"b1", true}, {"b1", true}}, 10},
      {"restart after the end", {{"b1", true}, {"b1", true}, {"b2", true}}, 0},
      {"second restart", {{"b2", true}, {"b2", true}, {"b3", true}}, 0},
      {"two restarts", {{"b1", true}, {"b2", true}, {"b3", true}}, 0},
  };
  for (const Row& row : rows) {
    EndpointLedger ledger = MakeLedger();
    endpoint::Command command = MakeCommand(Operation::kLoad, "m", 10);
    RecordIntent(&ledger, &command, "s");
    for (const Reading& step : row.readings) {
      // Each index may be read by a different lease holder.
      ledger = ParseLedger(FormatLedger(ledger)).value();
      IndexReading reading;
      reading.index = MakeIndex(step.boot_id, {});
      reading.number = AllocateFencingNumber(&ledger);
      ApplyIndex(&ledger, reading,
                 [&step](std::string_view) { return step.ended; });
    }
    LONGS_EQUAL_TEXT(row.charged, ChargedMemory(ledger), row.name);
  }
}

// Guards against resolving the first attempt when its retry succeeds: the first
// attempt may still arrive and load the item again after an unload.
TEST(Ledger, RetryDoesNotResolveTheFirstAttempt) {
  EndpointLedger ledger = MakeLedger();
  endpoint::Command first = MakeCommand(Operation::kLoad, "m", 10);
  endpoint::Command second = first;
  RecordIntent(&ledger, &first, "s");
  RecordIntent(&ledger, &second, "s");
  ResolveByResponse(&ledger, second.fencing_number, true);
  IndexReading reading;
  reading.index = MakeIndex("b1", {"m"});
  reading.number = AllocateFencingNumber(&ledger);
  ApplyIndex(&ledger, reading, [](std::string_view) { return true; });
  LONGS_EQUAL(1, ledger.intents.size());
  reading.index = MakeIndex("b1", {});
  ApplyIndex(&ledger, reading, [](std::string_view) { return true; });
  LONGS_EQUAL(10, ChargedMemory(ledger));
}

// Guards against a load that leaves too little memory for a paused sender's
// fenced load, which the endpoint accepts after an unnoticed restart.
TEST(Ledger, LoadMustFitBesideFencedLoads) {
  EndpointLedger ledger = MakeLedger();
  endpoint::Command command = MakeCommand(Operation::kLoad, "m", 60);
  RecordIntent(&ledger, &command, "s");
  IndexReading reading;
  reading.index = MakeIndex("b1", {});
  reading.number = AllocateFencingNumber(&ledger);
  reading.checks_fencing = true;
  ApplyIndex(&ledger, reading, [](std::string_view) { return false; });
  LONGS_EQUAL(0, ChargedMemory(ledger));
  CHECK(CanLoad(ledger, 100, "n", "1", 40));
  CHECK(!CanLoad(ledger, 100, "n", "1", 41));
  CHECK(CanLoad(ledger, 100, "m", "1", 60));
}

// Guards against two newer loads that overcommit memory together with a fenced
// load. Until an index lists the first of the two, the endpoint may have
// restarted and accepted the fenced load before it.
TEST(Ledger, LoadMustFitBesideFencedLoadsAndThoseSinceTheLastIndex) {
  EndpointLedger ledger = MakeLedger();
  endpoint::Command late = MakeCommand(Operation::kLoad, "m", 40);
  RecordIntent(&ledger, &late, "s");
  IndexReading reading;
  reading.index = MakeIndex("b1", {"kept"});
  reading.number = AllocateFencingNumber(&ledger);
  reading.checks_fencing = true;
  const SenderEndedCheck none_ended = [](std::string_view) { return false; };
  ApplyIndex(&ledger, reading, none_ended);
  CHECK(CanLoad(ledger, 100, "n", "1", 50));
  endpoint::Command newer = MakeCommand(Operation::kLoad, "n", 50);
  RecordIntent(&ledger, &newer, "s");
  ResolveByResponse(&ledger, newer.fencing_number, true);
  CHECK(CanLoad(ledger, 100, "o", "1", 10));
  CHECK(!CanLoad(ledger, 100, "o", "1", 11));
  reading.index = MakeIndex("b1", {"kept", "n"});
  reading.index.items.back().memory_mb = 50;
  reading.number = AllocateFencingNumber(&ledger);
  ApplyIndex(&ledger, reading, none_ended);
  CHECK(CanLoad(ledger, 100, "o", "1", 40));
  CHECK(!CanLoad(ledger, 100, "o", "1", 41));
}

// Guards against unloading the last copy while a delayed unload of the other
// copy may still take effect.
TEST(Ledger, OpenUnloadsDoNotCountAsCopies) {
  EndpointLedger ledger = MakeLedger();
  ledger.loaded.push_back({"m", "1", "", 10, false, true});
  ledger.loaded.push_back({"a", "1", "m", 1, true, true});
  ledger.loaded.push_back({"loading", "1", "", 10, false, false});
  CHECK(CountsAsCopy(ledger, "m", "1"));
  CHECK(CountsAsCopy(ledger, "a", "1"));
  CHECK(!CountsAsCopy(ledger, "m", "2"));
  CHECK(!CountsAsCopy(ledger, "loading", "1"));
  endpoint::Command command = MakeCommand(Operation::kUnload, "m", 10);
  RecordIntent(&ledger, &command, "s");
  CHECK(!CountsAsCopy(ledger, "m", "1"));
  CHECK(!CountsAsCopy(ledger, "a", "1"));
}

// Guards against leaving an adapter out of the placement while an earlier
// version of its model is unloaded, or for ever if that unload's response is
// lost.
TEST(Ledger, OpenUnloadOfAnotherVersionLeavesAdapters) {
  EndpointLedger ledger = MakeLedger();
  ledger.loaded.push_back({"m", "2", "", 10, false, true});
  ledger.loaded.push_back({"a", "1", "m", 1, true, true});
  endpoint::Command command = MakeCommand(Operation::kUnload, "m", 10);
  RecordIntent(&ledger, &command, "s");
  CHECK(CountsAsCopy(ledger, "m", "2"));
  CHECK(CountsAsCopy(ledger, "a", "1"));
  ledger.loaded.push_back({"m", "1", "", 10, false, true});
  CHECK(!CountsAsCopy(ledger, "m", "1"));
  CHECK(CountsAsCopy(ledger, "a", "1"));
  ledger.loaded[0].ready = false;
  CHECK(!CountsAsCopy(ledger, "a", "1"));
}

// Guards against a lease holder misreading the ledger of its predecessor, and
// against using a fencing number twice.
TEST(Ledger, FormatsAndParses) {
  EndpointLedger ledger = MakeLedger();
  ledger.loaded.push_back({"a", "1", "m", 7, true, true});
  endpoint::Command command = MakeCommand(Operation::kUnload, "m", 10);
  RecordIntent(&ledger, &command, "s");
  const std::string text = FormatLedger(ledger);
  const Result<EndpointLedger> parsed = ParseLedger(text);
  CHECK(parsed.has_value());
  STRCMP_EQUAL(text.c_str(), FormatLedger(parsed.assume_value()).c_str());
  for (const char* malformed :
       {"", "{}", "[]", R"({"epoch":"1","sequence":1})"})
    CHECK_TEXT(!ParseLedger(malformed).has_value(), malformed);
  ledger.sequence = kMaxSequence;
  LONGS_EQUAL(0, AllocateFencingNumber(&ledger));
}

}  // namespace coltsfootvane
