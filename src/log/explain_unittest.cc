#include "log/explain.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

namespace {

const char kLogs[] =
    "time=80.000 level=info process=d1 event=2208 table-in-force version=3\n"
    "  0.7 d1 time=95.000 level=info process=d1 event=2208 table-in-force "
    "version=4\n"
    "time=99.100 level=info process=d2 event=2210 endpoint-gone endpoint=e1\n"
    "time=99.000 level=info process=d1 event=2210 endpoint-gone endpoint=e1\n"
    "time=99.500 level=info process=d3 event=2506 copy-planned service=s "
    "endpoint=e9 load=m1 unload=-\n"
    "time=100.200 level=warning process=d1 event=2205 send-failed request=r1 "
    "outcome=unknown endpoint=e1\n"
    "time=100.000 level=info process=d1 event=2201 request-sent request=r1 "
    "endpoint=e1 model=m1\n"
    "time=100.100 level=info process=d1 event=2201 request-sent request=r2 "
    "endpoint=e1\n"
    "no line of a daemon\n"
    "time=101.000 level=info process=d2 event=2208 table-in-force version=5\n";

}  // namespace

TEST_GROUP(Explain){};

/// The story has the request's lines in order, what its daemon believed, and
/// what happened to its endpoint and model; each once.
TEST(Explain, ShowsTheStoryOfARequestInOrder) {
  const std::vector<LogLine> lines = ReadLogLines(kLogs);
  LONGS_EQUAL(9, lines.size());
  const std::vector<StoryLine> story = Explain(lines, "r1");
  struct Row {
    double time_s;
    LineReason reason;
  };
  const Row rows[] = {
      {95, LineReason::kProcess},    {99, LineReason::kEndpoint},
      {99.5, LineReason::kModel},    {100, LineReason::kRequest},
      {100.2, LineReason::kRequest},
  };
  LONGS_EQUAL(std::size(rows), story.size());
  for (std::size_t i = 0; i < story.size(); ++i) {
    DOUBLES_EQUAL(rows[i].time_s, story[i].line.time_s, 1e-9);
    CHECK(rows[i].reason == story[i].reason);
  }
}

/// A quarantine is part of the story however long ago it began, if the prompt
/// has all its parts.
TEST(Explain, ShowsQuarantinesOfPartsOfThePrompt) {
  const std::vector<LogLine> lines = ReadLogLines(
      "time=10.000 process=d1 event=2216 part-quarantined parts=b crashes=3\n"
      "time=10.001 process=d2 event=2216 part-quarantined parts=b crashes=3\n"
      "time=11.000 process=d1 event=2216 part-quarantined parts=b,x crashes=3\n"
      "time=12.000 process=d1 event=2216 part-quarantined parts=y crashes=4\n"
      "time=900.000 process=d1 event=2204 request-failed request=r1 "
      "reason=\"quarantined part\" sends=0 parts=a,b\n"
      "time=950.000 process=d1 event=2217 part-released parts=b\n");
  const std::vector<StoryLine> story = Explain(lines, "r1");
  LONGS_EQUAL(2, story.size());
  CHECK(story[0].reason == LineReason::kPart);
  DOUBLES_EQUAL(10, story[0].line.time_s, 1e-9);
  CHECK(story[1].reason == LineReason::kRequest);
}

TEST(Explain, UnknownRequestsHaveNoStory) {
  CHECK(Explain(ReadLogLines(kLogs), "r9").empty());
  CHECK(Explain({}, "r1").empty());
}
