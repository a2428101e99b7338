#include "distribution/peer_fetch_plan.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

struct NoteRow {
  int at_ms;
  std::int64_t version;
  int peer_port;
  std::int64_t newest;
  std::size_t peers;
  int due_ms;
};

constexpr NoteRow kNoteRows[] = {
    {0, 3, 1, 3, 1, 500},   {100, 3, 2, 3, 2, 500}, {100, 3, 2, 3, 2, 500},
    {200, 2, 3, 3, 2, 500}, {300, 4, 3, 4, 1, 500}, {400, 3, 1, 4, 1, 500},
    {900, 5, 4, 5, 1, 500},
};

PeerVersion MakeNote(std::int64_t version, int port) {
  return {version, "digest", {"127.0.0.1", port}};
}

}  // namespace

TEST_GROUP(PeerFetchPlan){};

// Guards against fetches that a row of new versions puts off for ever, and
// against asking a peer that only has an older version.
TEST(PeerFetchPlan, NotesKeepTheFirstDeadline) {
  const TimePoint start = Clock::now();
  PeerFetchPlan plan;
  for (const NoteRow& row : kNoteRows) {
    NotePeerVersion(&plan, MakeNote(row.version, row.peer_port),
                    start + Milliseconds{row.at_ms});
    CHECK_EQUAL(row.newest, plan.newest.version);
    CHECK_EQUAL(row.peers, plan.peers.size());
    CHECK(start + Milliseconds{row.due_ms} == plan.due);
  }
}

// Guards against asking one dead peer for ever, and against a list of peers
// that grows with the fleet.
TEST(PeerFetchPlan, FailuresMoveOnToTheNextPeer) {
  const TimePoint start = Clock::now();
  PeerFetchPlan plan;
  for (int port = 1; port <= 20; ++port)
    NotePeerVersion(&plan, MakeNote(3, port), start);
  CHECK_EQUAL(8U, plan.peers.size());
  NoteFetchFailure(&plan, start, 1);
  CHECK_EQUAL(2, plan.peers.front().port);
  CHECK(start + Milliseconds{200} == plan.due);
  NoteFetchFailure(&plan, start, 1);
  CHECK_EQUAL(3, plan.peers.front().port);
  CHECK(start + Milliseconds{400} == plan.due);
}

struct FirstRow {
  std::int64_t version;
  std::int64_t told;
  int waited_ms;
  bool may_take;
};

const FirstRow kFirstRows[] = {
    {1, 0, 0, false},    {1, 0, 999, false}, {1, 0, 1000, true},
    {4, 4, 0, true},     {5, 4, 0, true},    {1, 4, 1000, false},
    {1, 4, 4999, false}, {1, 4, 5000, true},
};

// Guards against a restarted daemon that takes an old version from the
// platform, and against one that waits for its peers for ever.
TEST(PeerFetchPlan, FirstVersionWaitsForPeers) {
  for (const FirstRow& row : kFirstRows)
    CHECK_EQUAL(row.may_take, MayTakeFirst(row.version, row.told,
                                           Milliseconds{row.waited_ms}));
}

}  // namespace coltsfootvane
