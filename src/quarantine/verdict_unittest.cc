#include "quarantine/verdict.h"

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using quarantine::AddInvolvement;
using quarantine::AnsweredParts;
using quarantine::CrashKey;
using quarantine::Decide;
using quarantine::FindQuarantine;
using quarantine::Involvement;
using quarantine::kMaxAnsweredParts;
using quarantine::kMaxInvolvements;
using quarantine::kMaxSuspects;
using quarantine::Ledger;
using quarantine::MergeSuspect;
using quarantine::Observer;
using quarantine::PartId;
using quarantine::Quarantine;
using quarantine::RemoveExpired;
using quarantine::Suspect;

namespace {

constexpr Observer kSelf = 1;
const TimePoint kStart = TimePoint() + std::chrono::hours(100);

/// A crash that a daemon tells of, as `cleared` if the part was answered with
/// afterwards.
struct Told {
  PartId part;
  CrashKey crash;
  int at_ms;
  bool answering = true;
  std::vector<Observer> observers = {2};
  bool cleared = false;
};

Ledger MakeLedger(const std::vector<Told>& told,
                  const std::set<PartId>& answered) {
  Ledger ledger;
  for (const Told& one : told) {
    Suspect suspect;
    suspect.answered_before = answered.count(one.part) > 0;
    suspect.involvements.push_back({one.crash, kStart + Milliseconds(one.at_ms),
                                    one.answering, one.cleared, one.observers});
    MergeSuspect(&ledger, one.part, suspect);
  }
  return ledger;
}

/// Returns the quarantined parts, for instance "7 8,9" for two quarantines.
std::string Text(const std::vector<Quarantine>& quarantines) {
  std::string text;
  for (const Quarantine& one : quarantines) {
    text += text.empty() ? "" : " ";
    for (std::size_t i = 0; i < one.parts.size(); ++i)
      text += (i == 0 ? "" : ",") + std::to_string(one.parts[i]);
  }
  return text;
}

/// The evidence against one part, written as plainly as possible.
int NaiveEvidence(const Suspect& suspect, const std::set<CrashKey>& explained) {
  int sum = 0;
  std::map<Observer, int> words;
  TimePoint last;
  int last_amount = 0;
  for (const Involvement& one : suspect.involvements) {
    if (one.cleared || explained.count(one.crash) > 0)
      continue;
    const bool own =
        std::count(one.observers.begin(), one.observers.end(), kSelf) > 0;
    if (!own && one.observers.empty())
      continue;
    if (!own && one.observers.size() == 1 && ++words[one.observers[0]] > 2)
      continue;
    const int amount = one.answering ? 5 : 3;
    if (last != TimePoint() && one.at - last < Milliseconds(50)) {
      sum += std::max(0, amount - last_amount);
      last_amount = std::max(amount, last_amount);
      continue;
    }
    sum += amount;
    last_amount = amount;
    last = one.at;
  }
  return sum;
}

/// Returns the parts that are quarantined, alone or with others.
std::set<PartId> NaiveDecide(const Ledger& ledger) {
  std::set<PartId> decided;
  std::set<CrashKey> explained;
  for (const bool answered : {false, true}) {
    while (true) {
      int most = 0;
      std::set<PartId> parts;
      for (const auto& [part, suspect] : ledger.suspects) {
        const int evidence = NaiveEvidence(suspect, explained);
        if (suspect.answered_before != answered ||
            evidence < (answered ? 25 : 15) || evidence <= most)
          continue;
        most = evidence;
        parts = {part};
      }
      if (parts.empty())
        break;
      decided.insert(parts.begin(), parts.end());
      for (const Involvement& one :
           ledger.suspects.at(*parts.begin()).involvements)
        explained.insert(one.crash);
    }
  }
  return decided;
}

}  // namespace

TEST_GROUP(Verdict){};

/// Guards against a part that crashes engines one after the other, and against
/// the quarantine of sound parts that stood beside it or beside other crashes.
TEST(Verdict, PartsThatExplainCrashesAreQuarantined) {
  struct Row {
    const char* name;
    std::vector<Told> told;
    std::set<PartId> answered;
    const char* expected;
  };
  const std::vector<Row> rows = {
      {"two crashes", {{7, 1, 0}, {7, 2, 900, true, {3}}}, {}, ""},
      {"three crashes seen by three daemons",
       {{7, 1, 0}, {7, 2, 900, true, {3}}, {7, 3, 1800, true, {4}}},
       {},
       "7"},
      {"one crash seen by three daemons", {{7, 1, 0, true, {2, 3, 4}}}, {}, ""},
      {"three crashes on the word of one daemon",
       {{7, 1, 0}, {7, 2, 900}, {7, 3, 1800}, {7, 4, 2700}, {7, 5, 3600}},
       {},
       ""},
      {"three crashes that this daemon has seen",
       {{7, 1, 0, true, {1}}, {7, 2, 900, true, {1}}, {7, 3, 1800, true, {1}}},
       {},
       "7"},
      {"two on one word, and one that this daemon has seen",
       {{7, 1, 0}, {7, 2, 900}, {7, 3, 1800, true, {1}}},
       {},
       "7"},
      {"engines of a rack end at once",
       {{7, 1, 0}, {7, 2, 20, true, {3}}, {7, 3, 40, true, {4}}},
       {},
       ""},
      {"three crashes while no answer had begun",
       {{7, 1, 0, false}, {7, 2, 900, false, {3}}, {7, 3, 1800, false, {4}}},
       {},
       ""},
      {"five crashes while no answer had begun",
       {{7, 1, 0, false},
        {7, 2, 900, false, {3}},
        {7, 3, 1800, false, {4}},
        {7, 4, 2700, false, {5}},
        {7, 5, 3600, false, {6}}},
       {},
       "7"},
      {"an answer between the crashes",
       {{7, 1, 0, true, {2}, true},
        {7, 2, 900, true, {3}},
        {7, 3, 1800, true, {4}}},
       {},
       ""},
      {"a part that was answered with before",
       {{7, 1, 0},
        {7, 2, 900, true, {3}},
        {7, 3, 1800, true, {4}},
        {7, 4, 2700, true, {5}}},
       {7},
       ""},
      {"a part that has turned bad",
       {{7, 1, 0},
        {7, 2, 900, true, {3}},
        {7, 3, 1800, true, {4}},
        {7, 4, 2700, true, {5}},
        {7, 5, 3600, true, {6}}},
       {7},
       "7"},
      {"a sound part beside it in each crash, answered with before",
       {{7, 1, 0},
        {7, 2, 900, true, {3}},
        {7, 3, 1800, true, {4}},
        {7, 4, 2700, true, {5}},
        {7, 5, 3600, true, {6}},
        {8, 1, 0},
        {8, 2, 900, true, {3}},
        {8, 3, 1800, true, {4}},
        {8, 4, 2700, true, {5}},
        {8, 5, 3600, true, {6}}},
       {8},
       "7"},
      {"nothing tells two parts apart",
       {{7, 1, 0},
        {7, 2, 900, true, {3}},
        {7, 3, 1800, true, {4}},
        {8, 1, 0},
        {8, 2, 900, true, {3}},
        {8, 3, 1800, true, {4}}},
       {},
       "7,8"},
      {"one of two parts is in one crash more",
       {{7, 1, 0},
        {7, 2, 900, true, {3}},
        {7, 3, 1800, true, {4}},
        {7, 4, 2700, true, {5}},
        {8, 1, 0},
        {8, 2, 900, true, {3}},
        {8, 3, 1800, true, {4}}},
       {},
       "7"},
      {"two parts with crashes of their own",
       {{7, 1, 0},
        {7, 2, 900, true, {3}},
        {7, 3, 1800, true, {4}},
        {8, 4, 100},
        {8, 5, 1000, true, {3}},
        {8, 6, 1900, true, {4}}},
       {},
       "7 8"},
  };
  for (const Row& row : rows) {
    const Ledger ledger = MakeLedger(row.told, row.answered);
    STRCMP_EQUAL_TEXT(row.expected, Text(Decide(ledger, kSelf)).c_str(),
                      row.name);
  }
}

TEST(Verdict, RequestsWithAllPartsOfAQuarantineFallUnderIt) {
  struct Row {
    std::vector<PartId> quarantined;
    std::vector<PartId> prompt;
    bool expected;
  };
  const std::vector<Row> rows = {
      {{7}, {7}, true},          {{7}, {5, 7, 9}, true},  {{7}, {5, 9}, false},
      {{7}, {}, false},          {{7, 8}, {5, 7}, false}, {{7, 8}, {8}, false},
      {{7, 8}, {8, 5, 7}, true},
  };
  for (const Row& row : rows) {
    Quarantine quarantine;
    quarantine.parts = row.quarantined;
    const std::vector<Quarantine> quarantines = {quarantine};
    CHECK_EQUAL(row.expected,
                FindQuarantine(quarantines, row.prompt) != nullptr);
  }
}

TEST(Verdict, EachFurtherCrashDoublesTheHold) {
  const int minutes[] = {5, 10, 20, 40, 60, 60};
  for (int more = 0; more < 6; ++more) {
    std::vector<Told> told;
    told.reserve(8);
    for (int i = 0; i < 3 + more; ++i)
      told.push_back({7,
                      static_cast<CrashKey>(i),
                      i * 1000,
                      true,
                      {static_cast<Observer>(i + 2)}});
    const std::vector<Quarantine> decided = Decide(MakeLedger(told, {}), kSelf);
    CHECK_EQUAL(1U, decided.size());
    CHECK_EQUAL(3 + more, decided[0].crashes);
    CHECK(decided[0].until - decided[0].last_crash ==
          std::chrono::minutes(minutes[more]));
  }
}

/// The greedy choice agrees with a plain one on random ledgers.
TEST(Verdict, AgreesWithTheNaiveVersion) {
  for (unsigned seed = 1; seed <= 400; ++seed) {
    std::mt19937 random(seed);
    const auto pick = [&random](int count) {
      return static_cast<int>(random() % static_cast<unsigned>(count));
    };
    std::vector<Told> told;
    std::set<PartId> answered;
    for (int i = pick(60); i > 0; --i) {
      const auto crash = static_cast<CrashKey>(pick(12));
      told.push_back({static_cast<PartId>(pick(9)),
                      crash,
                      static_cast<int>(crash) * 37 + pick(3),
                      pick(3) > 0,
                      {static_cast<Observer>(1 + pick(6))},
                      pick(8) == 0});
      if (pick(10) == 0)
        answered.insert(told.back().part);
    }
    const Ledger ledger = MakeLedger(told, answered);
    // Parts of one quarantine explain the same crashes, of which the naive
    // version names the first one only.
    std::set<PartId> first;
    std::set<PartId> all;
    for (const Quarantine& one : Decide(ledger, kSelf)) {
      first.insert(one.parts.front());
      all.insert(one.parts.begin(), one.parts.end());
    }
    const std::set<PartId> naive = NaiveDecide(ledger);
    CHECK_TEXT(
        std::includes(all.begin(), all.end(), naive.begin(), naive.end()),
        std::to_string(seed).c_str());
    CHECK_TEXT(naive.size() == first.size(), std::to_string(seed).c_str());
  }
}

TEST_GROUP(Suspicion){};

/// Guards against news that arrive twice, late or in another order.
TEST(Suspicion, MergingDependsOnNeitherOrderNorRepetition) {
  for (unsigned seed = 1; seed <= 50; ++seed) {
    std::mt19937 random(seed);
    std::vector<Told> told;
    for (int i = 0; i < 30; ++i) {
      const auto crash = static_cast<CrashKey>(random() % 6);
      told.push_back({random() % 4,
                      crash,
                      static_cast<int>(crash) * 100,
                      random() % 2 == 0,
                      {static_cast<Observer>(2 + random() % 2)},
                      random() % 9 == 0});
    }
    const Ledger once = MakeLedger(told, {});
    told.insert(told.end(), told.begin(), told.end());
    std::shuffle(told.begin(), told.end(), random);
    const Ledger again = MakeLedger(told, {});
    STRCMP_EQUAL(Text(Decide(once, kSelf)).c_str(),
                 Text(Decide(again, kSelf)).c_str());
  }
}

TEST(Suspicion, MemoryIsBounded) {
  Ledger ledger;
  for (int crash = 0; crash < 100; ++crash) {
    for (PartId part = 0; part < 1000; ++part)
      AddInvolvement(&ledger, part,
                     {static_cast<CrashKey>(crash),
                      kStart + std::chrono::seconds(crash),
                      true,
                      false,
                      {2}});
  }
  CHECK(ledger.suspects.size() <= kMaxSuspects);
  for (const auto& [part, suspect] : ledger.suspects)
    CHECK(suspect.involvements.size() <= kMaxInvolvements);
  RemoveExpired(&ledger, kStart + std::chrono::hours(3));
  CHECK(ledger.suspects.empty());
  AnsweredParts answered;
  for (PartId part = 0; part < 100'000; ++part)
    answered.Add(part);
  CHECK(answered.Size() <= kMaxAnsweredParts);
  CHECK(answered.Contains(99'999));
  CHECK(!answered.Contains(0));
}
