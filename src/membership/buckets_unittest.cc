#include "membership/buckets.h"

#include <algorithm>
#include <string>
#include <vector>

#include "membership/updates.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::membership {
namespace {

const TimePoint kNow{std::chrono::hours{1}};
constexpr int kMembers = 320;

/// Has the size of a real member: 7 fit in a datagram.
Member MakeMember(int number) {
  Member member;
  member.digest.assign(32, 'd');
  member.id = "entry-" + std::to_string(number);
  member.instance = std::string(28, 'i') + std::to_string(number);
  member.incarnation = 1;
  member.address = {"10.0.0.1", 1000 + number};
  return member;
}

/// Returns the table of the member with number `self`, which knows all others.
MemberTable MakeTable(int self = 0) {
  MemberTable table;
  table.self = MakeMember(self);
  for (int n = 0; n < kMembers; ++n) {
    if (n != self)
      ApplyUpdate(table, MakeMember(n), kNow);
  }
  return table;
}

Message MakeRequest(const MemberTable& table, std::int64_t salt) {
  Message request;
  request.kind = MessageKind::kSyncRequest;
  request.sequence = salt;
  request.sender = table.self;
  request.buckets = HashBuckets(table, salt);
  return request;
}

std::vector<std::string> ListMemberIds(const std::vector<Message>& answer) {
  std::vector<std::string> ids;
  for (const Message& message : answer) {
    for (const Member& member : message.updates)
      ids.push_back(member.id);
  }
  return ids;
}

struct TestCase {
  const char* name;
  void (*change)(Member* member);  ///< Applied to the record in the responder.
  bool differs;
};

constexpr TestCase kTestCases[] = {
    {"equal", [](Member*) {}, false},
    {"incarnation", [](Member* member) { ++member->incarnation; }, true},
    {"restart", [](Member* member) { member->instance = "other"; }, true},
    {"dead", [](Member* member) { member->state = MemberState::kDead; }, true},
    {"leaving", [](Member* member) { member->state = MemberState::kLeaving; },
     true},
    // Each table clears or confirms a suspicion by itself within seconds.
    {"suspect", [](Member* member) { member->state = MemberState::kSuspect; },
     false},
    {"version", [](Member* member) { ++member->version; }, false},
};

}  // namespace

TEST_GROUP(Buckets){};

// Guards against differences that synchronisation does not detect, and against
// answers that contain the whole fleet because of a single difference.
TEST(Buckets, AnswersWithDifferingMembers) {
  const MemberTable requester = MakeTable(1);
  for (const TestCase& test_case : kTestCases) {
    MemberTable responder = MakeTable();
    test_case.change(&responder.members["entry-77"].member);
    for (std::int64_t salt = 1; salt < 20; ++salt) {
      const auto ids = ListMemberIds(
          MakeSyncAnswer(responder, MakeRequest(requester, salt)));
      const bool listed =
          std::find(ids.begin(), ids.end(), "entry-77") != ids.end();
      CHECK_EQUAL_TEXT(test_case.differs, listed, test_case.name);
      CHECK_EQUAL_TEXT(test_case.differs, !ids.empty(), test_case.name);
      CHECK_TEXT(ids.size() <= 20, test_case.name);
    }
  }
}

// Guards against flooding a newly started member with datagrams, and against
// members that are never sent to it.
TEST(Buckets, CatchesUpInBoundedAnswers) {
  MemberTable responder = MakeTable();
  MemberTable requester;
  requester.self = MakeMember(1);
  int rounds = 0;
  while (requester.members.size() < kMembers - 1 && rounds < 100) {
    ++rounds;
    for (const Message& message :
         MakeSyncAnswer(responder, MakeRequest(requester, rounds))) {
      CHECK(message.updates.size() <= 8);
      OnMessage(requester, responder.self.address, message, kNow);
    }
    CHECK(requester.members.size() <= kMaxMembersPerAnswer * rounds + 1);
  }
  CHECK(rounds <= 12);
}

// Guards against a member that is considered dead but never told so, and
// against not answering daemons of earlier versions, which send no hashes.
TEST(Buckets, AnswersDeadMembersAndEarlierVersions) {
  MemberTable responder = MakeTable();
  MemberTable requester;
  requester.self = MakeMember(1);
  responder.members["entry-1"].member.state = MemberState::kDead;
  Message request = MakeRequest(requester, 7);
  auto ids = ListMemberIds(MakeSyncAnswer(responder, request));
  STRCMP_EQUAL("entry-1", ids.front().c_str());
  CHECK_EQUAL(kMaxMembersPerAnswer, ids.size());
  request.buckets.clear();
  ids = ListMemberIds(MakeSyncAnswer(responder, request));
  CHECK_EQUAL(static_cast<std::size_t>(kMembers - 1), ids.size());
}

}  // namespace coltsfootvane::membership
