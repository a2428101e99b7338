#include "departure/departures.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using departure::Departures;
using departure::Leaving;
using departure::Verdict;
using gateway::EndpointEntry;

namespace {

constexpr TimePoint kNow{Milliseconds(5'000'000)};
constexpr std::int64_t kProcess = 17;

EndpointEntry MakeEntry(std::int64_t incarnation, bool draining) {
  EndpointEntry entry;
  entry.id = "a";
  entry.incarnation = incarnation;
  entry.draining = draining;
  return entry;
}

}  // namespace

TEST_GROUP(Departures){};

// Guards against requests at an endpoint that has left, as an older copy of the
// store calls it ready, and against a new process that gets none.
TEST(Departures, HoldAgainstEntriesOfALaterEraOnly) {
  struct Row {
    const char* name;
    Leaving how;
    std::int64_t incarnation;
    bool draining;
    std::int64_t era;
    Verdict verdict;
  };
  const Row rows[] = {{"said so, ready in its era", Leaving::kDraining,
                       kProcess, false, 2, Verdict::kUse},
                      {"said so, ready in the copy", Leaving::kDraining,
                       kProcess, false, 3, Verdict::kKeepDraining},
                      {"said so, draining in the copy", Leaving::kDraining,
                       kProcess, true, 3, Verdict::kUse},
                      {"said so, two copies later", Leaving::kDraining,
                       kProcess, false, 4, Verdict::kKeepDraining},
                      {"said so, a new process", Leaving::kDraining,
                       kProcess + 1, false, 3, Verdict::kUse},
                      {"removed, back in its era", Leaving::kRemoved, kProcess,
                       false, 2, Verdict::kUse},
                      {"removed, in the copy", Leaving::kRemoved, kProcess,
                       false, 3, Verdict::kHoldBack},
                      {"removed, draining in the copy", Leaving::kRemoved,
                       kProcess, true, 3, Verdict::kHoldBack},
                      {"removed, a new process", Leaving::kRemoved,
                       kProcess + 1, false, 3, Verdict::kUse}};
  for (const Row& row : rows) {
    Departures departures;
    departure::RecordDeparture(MakeEntry(kProcess, false), row.how,
                               store::Place(280, 2), kNow, &departures);
    const Verdict verdict =
        departure::Judge(MakeEntry(row.incarnation, row.draining),
                         store::Place(250, row.era), kNow, departures);
    CHECK_TEXT(verdict == row.verdict, row.name);
  }
}

// Guards against a process that has said that it leaves and counts as ready
// again: its entry was missing in the copy, and what it wrote is written again
// in order.
TEST(Departures, WhatWasSaidOutlastsTheRemovalOfAMissingEntry) {
  Departures departures;
  departure::RecordDeparture(MakeEntry(kProcess, true), Leaving::kDraining,
                             store::Place(280, 1), kNow, &departures);
  departure::RecordDeparture(MakeEntry(kProcess, true), Leaving::kRemoved,
                             store::Place(250, 2), kNow, &departures);
  CHECK(departure::Judge(MakeEntry(kProcess, false), store::Place(255, 2), kNow,
                         departures) == Verdict::kKeepDraining);
}

// Guards against what another daemon tells taking the place of a later
// departure.
TEST(Departures, TheLaterOneOfTwoDaemonsHolds) {
  struct Row {
    const char* name;
    store::Place own;  ///< Unknown if there is none.
    store::Place told;
    bool learned;
  };
  const Row rows[] = {
      {"none of its own", store::Place(), store::Place(10, 1), true},
      {"later in the era", store::Place(10, 1), store::Place(11, 1), true},
      {"of a later era", store::Place(10, 1), store::Place(5, 2), true},
      {"the same", store::Place(10, 1), store::Place(10, 1), false},
      {"earlier", store::Place(10, 1), store::Place(9, 1), false},
  };
  for (const Row& row : rows) {
    Departures departures;
    if (row.own.IsKnown())
      departure::RecordDeparture(MakeEntry(kProcess, false), Leaving::kRemoved,
                                 row.own, kNow, &departures);
    const departure::Departure told{kProcess + 1, Leaving::kRemoved, row.told,
                                    kNow + Milliseconds(1)};
    CHECK_EQUAL_TEXT(row.learned,
                     departure::LearnDeparture("a", told, &departures),
                     row.name);
    CHECK_EQUAL_TEXT(row.learned,
                     departures.left.at("a").incarnation == told.incarnation,
                     row.name);
  }
}

// Guards against an entry that is written again after the departure that came
// later the first time.
TEST(Departures, HoldWhileLostWritesAreWrittenAgain) {
  for (const Leaving how : {Leaving::kDraining, Leaving::kRemoved}) {
    Departures departures;
    departure::BeginEra(kNow, &departures);
    departure::RecordDeparture(MakeEntry(kProcess, false), how,
                               store::Place(250, 2), kNow, &departures);
    const EndpointEntry ready = MakeEntry(kProcess, false);
    CHECK(departure::Judge(ready, store::Place(255, 2),
                           kNow + Milliseconds(2000),
                           departures) != Verdict::kUse);
    CHECK(departure::Judge(ready, store::Place(255, 2),
                           kNow + Milliseconds(20'000),
                           departures) == Verdict::kUse);
  }
}

// Guards against a process that has been replaced and takes the place of the
// live one, as the copy has its entry.
TEST(Departures, ThoseOfReplacedProcessesOutlastTheNewEntry) {
  Departures departures;
  departure::RecordDeparture(MakeEntry(kProcess, false), Leaving::kRemoved,
                             store::Place(280, 1), kNow, &departures);
  departure::RecordUsed(MakeEntry(kProcess + 1, false), store::Place(280, 1),
                        kNow, &departures);
  CHECK(departure::Judge(MakeEntry(kProcess, false), store::Place(250, 2), kNow,
                         departures) == Verdict::kHoldBack);
}

// Guards against live endpoints that get no requests for good, and against
// entries that lapse meanwhile and are used all the same.
TEST(Departures, EntriesThatStayAreThoseOfLiveProcesses) {
  struct Row {
    const char* name;
    int second_copy_ms;   ///< 0: there is none.
    int confirmed_at_ms;  ///< Up to which the view is complete.
    bool lapses;
    std::size_t live;
  };
  const Row rows[] = {{"soon", 0, 3600, false, 0},
                      {"stays", 0, 20'000, false, 1},
                      {"lapses", 0, 20'000, true, 0},
                      {"another copy", 8000, 12'000, false, 0},
                      {"stays in another copy", 8000, 20'000, false, 1}};
  for (const Row& row : rows) {
    Departures departures;
    departure::RecordDeparture(MakeEntry(kProcess, false), Leaving::kRemoved,
                               store::Place(280, 1), kNow, &departures);
    departure::HoldBack(MakeEntry(kProcess, false), store::Place(250, 2), kNow,
                        &departures);
    if (row.second_copy_ms > 0)
      departure::HoldBack(MakeEntry(kProcess, false), store::Place(240, 3),
                          kNow + Milliseconds(row.second_copy_ms), &departures);
    departure::KeepListed({row.lapses ? "b" : "a"}, &departures);
    const auto live = departure::TakeLive(
        kNow + Milliseconds(row.confirmed_at_ms), &departures);
    LONGS_EQUAL_TEXT(row.live, live.size(), row.name);
    const Verdict verdict = departure::Judge(
        MakeEntry(kProcess, false), store::Place(250, 3), kNow, departures);
    CHECK_TEXT(verdict == (row.live > 0 ? Verdict::kUse : Verdict::kHoldBack),
               row.name);
  }
}

// Guards against live endpoints that write their entries again late and are
// held back, since they were removed as missing.
TEST(Departures, MissingEndpointsMayRegisterLate) {
  struct Row {
    const char* name;
    bool said_so;
    Verdict verdict;
  };
  const Row rows[] = {{"missing", false, Verdict::kUse},
                      {"had said so", true, Verdict::kKeepDraining}};
  for (const Row& row : rows) {
    Departures departures;
    if (row.said_so)
      departure::RecordDeparture(MakeEntry(kProcess, true), Leaving::kDraining,
                                 store::Place(280, 1), kNow, &departures);
    departure::BeginEra(kNow, &departures);
    departure::RecordDeparture(MakeEntry(kProcess, row.said_so),
                               Leaving::kRemoved, store::Place(250, 2), kNow,
                               &departures);
    departure::ForgetRemoval("a", &departures);
    const Verdict verdict =
        departure::Judge(MakeEntry(kProcess, false), store::Place(255, 2),
                         kNow + Milliseconds(4000), departures);
    CHECK_TEXT(verdict == row.verdict, row.name);
  }
}

// Guards against endpoints that are dropped although they register again, and
// against some that stay although they have gone.
TEST(Departures, MissingEndpointsHaveTimeToRegisterAgain) {
  Departures departures;
  departure::BeginEra(kNow, &departures);
  CHECK(departure::AwaitsReturns(kNow + Milliseconds(2000), departures));
  CHECK(!departure::AwaitsReturns(kNow + Milliseconds(3000), departures));
  departure::RecordMissing("a", &departures);
  departure::RecordMissing("b", &departures);
  departure::RecordListed("a", &departures);
  CHECK(departure::TakeMissing(kNow + Milliseconds(2000), &departures).empty());
  const auto gone =
      departure::TakeMissing(kNow + Milliseconds(3000), &departures);
  CHECK(gone == std::set<std::string>{"b"});
  CHECK(departure::TakeMissing(kNow + Milliseconds(3000), &departures).empty());
}
