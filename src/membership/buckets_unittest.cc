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

/// With the sizes of a real member: 7 fit a datagram.
Member MakeMember(int number) {
  Member member;
  member.digest.assign(32, 'd');
  member.id = "entry-" + std::to_string(number);
  member.instance = std::string(28, 'i') + std::to_string(number);
  member.incarnation = 1;
  member.address = {"10.0.0.1", 1000 + number};
  return member;
}

/// Member 0 with all others.
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
  request.kind = MessageKind::kJoin;
  request.sequence = salt;
  request.sender = table.self;
  request.buckets = HashBuckets(table, salt);
  return request;
}

std::vector<std::string> Listed(const std::vector<Message>& answer) {
  std::vector<std::string> ids;
  for (const Message& message : answer) {
    for (const Member& member : message.updates)
      ids.push_back(member.id);
  }
  return ids;
}

struct Row {
  const char* name;
  void (*change)(Member* member);  ///< Of what the asked member knows.
  bool differs;
};

constexpr Row kRows[] = {
    {"equal", [](Member*) {}, false},
    {"incarnation", [](Member* member) { ++member->incarnation; }, true},
    {"restart", [](Member* member) { member->instance = "other"; }, true},
    {"dead", [](Member* member) { member->state = MemberState::kDead; }, true},
    {"leaving", [](Member* member) { member->state = MemberState::kLeaving; },
     true},
    // Lifted or confirmed by each table itself within seconds.
    {"suspect", [](Member* member) { member->state = MemberState::kSuspect; },
     false},
    {"version", [](Member* member) { ++member->version; }, false},
};

}  // namespace

TEST_GROUP(Buckets){};

// Guards against differences that an exchange does not find, and against
// answers that carry the whole fleet for one of them.
TEST(Buckets, AnswersWithWhatDiffers) {
  const MemberTable asking = MakeTable(1);
  for (const Row& row : kRows) {
    MemberTable asked = MakeTable();
    row.change(&asked.members["entry-77"].member);
    for (std::int64_t salt = 1; salt < 20; ++salt) {
      const auto ids = Listed(MakeDifference(asked, MakeRequest(asking, salt)));
      const bool listed =
          std::find(ids.begin(), ids.end(), "entry-77") != ids.end();
      CHECK_EQUAL_TEXT(row.differs, listed, row.name);
      CHECK_EQUAL_TEXT(row.differs, !ids.empty(), row.name);
      CHECK_TEXT(ids.size() <= 20, row.name);
    }
  }
}

// Guards against a flood of datagrams to a member that has just started, and
// against members that it never gets.
TEST(Buckets, CatchesUpInBoundedAnswers) {
  MemberTable asked = MakeTable();
  MemberTable asking;
  asking.self = MakeMember(1);
  int rounds = 0;
  while (asking.members.size() < kMembers - 1 && rounds < 100) {
    ++rounds;
    for (const Message& message :
         MakeDifference(asked, MakeRequest(asking, rounds))) {
      CHECK(message.updates.size() <= 8);
      OnMessage(asking, asked.self.address, message, kNow);
    }
    CHECK(asking.members.size() <= kMaxDifference * rounds + 1);
  }
  CHECK(rounds <= 12);
}

// Guards against a member that is held to be dead and does not get to know it,
// and against daemons of the version before, which send no hashes.
TEST(Buckets, AnswersTheDeadAndEarlierVersions) {
  MemberTable asked = MakeTable();
  MemberTable asking;
  asking.self = MakeMember(1);
  asked.members["entry-1"].member.state = MemberState::kDead;
  Message request = MakeRequest(asking, 7);
  auto ids = Listed(MakeDifference(asked, request));
  STRCMP_EQUAL("entry-1", ids.front().c_str());
  CHECK_EQUAL(kMaxDifference, ids.size());
  request.buckets.clear();
  ids = Listed(MakeDifference(asked, request));
  CHECK_EQUAL(static_cast<std::size_t>(kMembers - 1), ids.size());
}

}  // namespace coltsfootvane::membership
