#include "peer/unresponsive_pools.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::peer {

TEST_GROUP(UnresponsivePools){};

// Guards against a mark that is missing after an unanswered request, that
// persists after a reply or a change of dispatcher, and against an unbounded
// rate of probes.
TEST(UnresponsivePools, EndWithAReplyOrANewDispatcher) {
  enum class Step { kUnanswered, kAnswer, kNothing };
  struct Row {
    const char* name;
    Step step;
    const char* dispatcher;
    int at_ms;
    bool unresponsive;
    bool probe;
  };
  const std::vector<Row> rows = {
      {"unknown", Step::kNothing, "d1", 0, false, false},
      {"unanswered", Step::kUnanswered, "d1", 0, true, true},
      {"one probe at a time", Step::kNothing, "d1", 299, true, false},
      {"unanswered again", Step::kUnanswered, "d1", 299, true, false},
      {"next probe", Step::kNothing, "d1", 300, true, true},
      {"new dispatcher", Step::kNothing, "d2", 700, false, false},
      {"new dispatcher unresponsive as well", Step::kUnanswered, "d2", 700,
       true, true},
      {"answered", Step::kAnswer, "d2", 1100, false, false},
      {"unresponsive again", Step::kUnanswered, "d2", 1200, true, true},
  };
  const TimePoint start{std::chrono::hours{1}};
  UnresponsivePools pools;
  for (const Row& row : rows) {
    const TimePoint now = start + Milliseconds{row.at_ms};
    if (row.step == Step::kUnanswered)
      MarkUnresponsive(pools, "a/0", row.dispatcher, now);
    if (row.step == Step::kAnswer)
      RecordReply(pools, "a/0");
    CHECK_EQUAL_TEXT(row.unresponsive,
                     IsUnresponsive(pools, "a/0", row.dispatcher), row.name);
    CHECK_EQUAL_TEXT(row.probe, StartProbe(pools, "a/0", row.dispatcher, now),
                     row.name);
    CHECK_FALSE(IsUnresponsive(pools, "b/0", row.dispatcher));
  }
}

}  // namespace coltsfootvane::peer
