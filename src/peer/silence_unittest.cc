#include "peer/silence.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::peer {

TEST_GROUP(Silence){};

// Guards against requests that each wait for a dead dispatcher, against one
// that stays silent after an answer or after the role has moved, and against
// probes without a bound.
TEST(Silence, EndsByAnAnswerOrAMove) {
  enum class Step { kSilence, kAnswer, kNothing };
  struct Row {
    const char* name;
    Step step;
    const char* dispatcher;
    int at_ms;
    bool silent;
    bool probe;
  };
  const std::vector<Row> rows = {
      {"unknown", Step::kNothing, "d1", 0, false, false},
      {"unanswered", Step::kSilence, "d1", 0, true, true},
      {"one probe at a time", Step::kNothing, "d1", 299, true, false},
      {"unanswered again", Step::kSilence, "d1", 299, true, false},
      {"next probe", Step::kNothing, "d1", 300, true, true},
      {"moved", Step::kNothing, "d2", 700, false, false},
      {"the next one is silent as well", Step::kSilence, "d2", 700, true, true},
      {"answered", Step::kAnswer, "d2", 1100, false, false},
      {"silent again", Step::kSilence, "d2", 1200, true, true},
  };
  const TimePoint start{std::chrono::hours{1}};
  SilentPools pools;
  for (const Row& row : rows) {
    const TimePoint now = start + Milliseconds{row.at_ms};
    if (row.step == Step::kSilence)
      NoteSilence(pools, "a/0", row.dispatcher, now);
    if (row.step == Step::kAnswer)
      NoteAnswer(pools, "a/0");
    CHECK_EQUAL_TEXT(row.silent, IsSilent(pools, "a/0", row.dispatcher),
                     row.name);
    CHECK_EQUAL_TEXT(row.probe, TakeProbe(pools, "a/0", row.dispatcher, now),
                     row.name);
    CHECK_FALSE(IsSilent(pools, "b/0", row.dispatcher));
  }
}

}  // namespace coltsfootvane::peer
