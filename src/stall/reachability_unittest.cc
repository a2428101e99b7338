#include "stall/reachability.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using stall::FailedAttempt;
using stall::Reachability;

namespace {

const TimePoint kStart = TimePoint() + std::chrono::hours(1);

FailedAttempt Attempt(int late_ms, bool reaches_others, int loop_late_ms) {
  FailedAttempt attempt;
  attempt.began = kStart;
  attempt.due = kStart + Milliseconds(250);
  attempt.ended = attempt.due + Milliseconds(late_ms);
  attempt.reaches_others = reaches_others;
  attempt.loop_late_at = kStart + Milliseconds(loop_late_ms);
  return attempt;
}

}  // namespace

TEST_GROUP(Reachability){};

// Guards against a daemon that is itself held up and takes a sound endpoint for
// gone: it ended all its streams there (LOST, issue 48).
TEST(Reachability, TheOwnSideIsNotBlamedOnTheEndpoint) {
  const FailedAttempt sound = Attempt(0, true, -1);
  const FailedAttempt late = Attempt(101, true, -1);
  const FailedAttempt alone = Attempt(0, false, -1);
  const FailedAttempt loop = Attempt(0, true, 10);
  struct Row {
    const char* name;
    std::vector<FailedAttempt> attempts;
    Reachability result;
  };
  const Row rows[] = {
      {"one", {sound}, Reachability::kUndecided},
      {"two", {sound, sound}, Reachability::kGone},
      {"own timers late", {late, late, late, late}, Reachability::kUnknown},
      {"others not reached",
       {alone, alone, alone, alone},
       Reachability::kUnknown},
      {"loop late", {loop, loop, loop, loop}, Reachability::kUnknown},
      {"held up at first", {alone, loop, sound, sound}, Reachability::kGone},
      {"held up between", {sound, alone, loop, late}, Reachability::kUnknown},
  };
  for (const Row& row : rows) {
    stall::ReachabilityEvidence evidence;
    Reachability result = Reachability::kUndecided;
    for (const FailedAttempt& attempt : row.attempts) {
      CHECK_TEXT(result == Reachability::kUndecided, row.name);
      result = Judge(attempt, &evidence);
    }
    CHECK_TEXT(result == row.result, row.name);
  }
}
