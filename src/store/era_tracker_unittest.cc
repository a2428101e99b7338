#include "store/era_tracker.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using store::EraOfAnswer;
using store::EraTracker;
using store::StatedEra;

namespace {

StatedEra Stated(std::int64_t era) {
  return {true, era, std::to_string(era)};
}

struct Fixture {
  EraTracker tracker;
  std::vector<std::int64_t> seen;
  int faults = 0;

  explicit Fixture(std::int64_t known) {
    CHECK(EraOfAnswer(Stated(known), 0, &this->tracker).has_value());
    this->tracker.observers.push_back([this](const store::EraChange& change) {
      this->seen.push_back(change.to);
    });
    this->tracker.on_fault = [this](const std::string&, const char*) {
      ++this->faults;
    };
  }
};

}  // namespace

TEST_GROUP(EraTracker){};

// Guards against late answers that are taken for the present state, and against
// a new era that goes unnoticed.
TEST(EraTracker, AnswersBelongToTheEraThatTheyState) {
  constexpr std::int64_t kLate = -1;
  struct Row {
    const char* name;
    StatedEra stated;
    std::int64_t sent_in;
    std::int64_t era;  ///< kLate: the answer is not to be used.
    std::int64_t latest;
    int faults;
  };
  const Row rows[] = {
      {"the same", Stated(5), 5, 5, 5, 0},
      {"one higher", Stated(6), 5, 6, 6, 0},
      {"late answer", Stated(4), 4, kLate, 5, 0},
      {"lower than known at the call", Stated(4), 5, kLate, 5, 1},
      {"two higher", Stated(7), 5, kLate, 5, 1},
      {"absent", StatedEra(), 5, 5, 5, 0},
      {"absent, call of an earlier era", StatedEra(), 4, kLate, 5, 0},
      {"no number", {true, std::nullopt, "x"}, 5, 5, 5, 1},
      {"empty", {true, std::nullopt, ""}, 5, 5, 5, 1},
  };
  for (const Row& row : rows) {
    Fixture fixture(5);
    const auto era = EraOfAnswer(row.stated, row.sent_in, &fixture.tracker);
    LONGS_EQUAL_TEXT(row.era, era ? era.value() : kLate, row.name);
    LONGS_EQUAL_TEXT(row.latest, fixture.tracker.latest, row.name);
    LONGS_EQUAL_TEXT(row.latest - 5, fixture.seen.size(), row.name);
    LONGS_EQUAL_TEXT(row.faults, fixture.faults, row.name);
  }
}

// Guards against a daemon that a wrong header cuts off from the store for good,
// and against a log line for each answer.
TEST(EraTracker, WrongErasAreNoReasonToDropAnswersForGood) {
  struct Row {
    const char* name;
    StatedEra stated;
    std::int64_t latest;
  };
  const Row rows[] = {{"a jump that goes on", Stated(9), 9},
                      {"a fall that goes on", Stated(2), 5}};
  for (const Row& row : rows) {
    Fixture fixture(5);
    int dropped = 0;
    while (dropped < 20 &&
           !EraOfAnswer(row.stated, fixture.tracker.latest, &fixture.tracker))
      ++dropped;
    CHECK_TEXT(dropped > 0 && dropped < 20, row.name);
    LONGS_EQUAL_TEXT(row.latest, fixture.tracker.latest, row.name);
    LONGS_EQUAL_TEXT(1, fixture.faults, row.name);
  }
}

// Guards against a single wrong answer that makes all later ones late.
TEST(EraTracker, OneAnswerIsNotEnoughForAJump) {
  Fixture fixture(5);
  CHECK_FALSE(EraOfAnswer(Stated(900), 5, &fixture.tracker).has_value());
  CHECK(EraOfAnswer(Stated(5), 5, &fixture.tracker).has_value());
  CHECK_FALSE(EraOfAnswer(Stated(900), 5, &fixture.tracker).has_value());
  LONGS_EQUAL(5, fixture.tracker.latest);
}

// Guards against daemons that hear of an era from each other and go back.
TEST(EraTracker, PeersOnlyRaiseIt) {
  Fixture fixture(5);
  for (const std::int64_t told :
       {std::int64_t{4}, std::int64_t{-1}, store::kMaxEra + 1, std::int64_t{7}})
    store::LearnEra(told, &fixture.tracker);
  LONGS_EQUAL(7, fixture.tracker.latest);
  LONGS_EQUAL(1, fixture.seen.size());
}
