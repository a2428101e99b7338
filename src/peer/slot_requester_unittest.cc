#include "peer/slot_requester.h"

#include <set>
#include <string>
#include <thread>
#include <vector>

#include "peer/codec.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::peer {
namespace {

/// A SlotRequester in data centre `a` with one pool there and one in `b`. The
/// messages that it sends are recorded and answered by Answer().
struct Fixture {
  Fixture() {
    auto view = std::make_shared<InForce>();
    for (const char* data_centre : {"a", "b"}) {
      Endpoint endpoint;
      endpoint.id = std::string("e-") + data_centre;
      endpoint.data_centre = data_centre;
      endpoint.slots = 1;
      view->configuration.endpoints.push_back(endpoint);
      view->placement.endpoints.push_back({endpoint.id, false, {"m"}});
    }
    this->in_force.Set(view);
    auto members = std::make_shared<MemberView>();
    for (const char* data_centre : {"a", "b"}) {
      membership::Member member;
      member.id = std::string("d-") + data_centre;
      member.data_centre = data_centre;
      members->members.push_back(member);
    }
    this->members.Set(members);
  }

  void Answer(const PeerMessage& message) {
    this->sent.push_back(message);
    if (!message.slot_request ||
        this->unresponsive.count(message.slot_request->pool) > 0)
      return;
    dispatch::SlotReplyMessage reply;
    reply.pool = message.slot_request->pool;
    reply.request_id = message.slot_request->request.request_id;
    const bool refused = this->full.count(reply.pool) > 0;
    reply.answer.verdict =
        refused ? SlotVerdict::kQueueFull : SlotVerdict::kGranted;
    reply.answer.retry_after_ms = reply.pool == "a/0" ? 700 : 300;
    reply.answer.endpoint_id = "e-" + reply.pool.substr(0, 1);
    reply.answer.grant_id = this->next_grant++;
    this->caller.OnReply(reply);
  }

  SlotAnswer Acquire(const std::string& id, int seconds = 2) {
    SlotRequest request;
    request.request_id = id;
    request.item = "m";
    request.deadline = Clock::now() + std::chrono::seconds{seconds};
    return this->caller.Acquire(request, nullptr);
  }

  /// Returns the reports sent for the pool.
  std::vector<PeerMessage> ReportsOf(const std::string& pool) const {
    std::vector<PeerMessage> reports;
    for (const PeerMessage& message : this->sent) {
      if (message.held_slots && message.held_slots->pool == pool)
        reports.push_back(message);
    }
    return reports;
  }

  InForceHolder in_force;
  MemberViewHolder members;
  RouteCache routes{&in_force, &members};
  std::set<std::string> full;
  std::set<std::string> unresponsive;  ///< Pools that do not answer.
  std::uint64_t next_grant = 1;
  std::vector<PeerMessage> sent;
  SlotRequester caller{
      "a", &routes, &members,
      [this](const membership::Member&, const PeerMessage& message) {
        this->Answer(message);
      }};
};

}  // namespace

TEST_GROUP(SlotRequester){};

// Guards against a refusal although another pool has a free slot, and against a
// retry time that is not the shortest of all pools.
TEST(SlotRequester, TriesTheOwnDataCentreThenTheOthers) {
  struct Row {
    std::set<std::string> full;
    SlotVerdict verdict;
    std::string endpoint;
    int retry_after_ms;
  };
  const std::vector<Row> rows = {
      {{}, SlotVerdict::kGranted, "e-a", 700},
      {{"a/0"}, SlotVerdict::kGranted, "e-b", 300},
      {{"a/0", "b/0"}, SlotVerdict::kQueueFull, "", 300}};
  for (const Row& row : rows) {
    Fixture fixture;
    fixture.full = row.full;
    const SlotAnswer answer = fixture.Acquire("r1");
    CHECK(answer.verdict == row.verdict);
    if (answer.verdict == SlotVerdict::kGranted)
      STRCMP_EQUAL(row.endpoint.c_str(), answer.endpoint_id.c_str());
    CHECK_EQUAL(row.retry_after_ms, answer.retry_after_ms);
  }
}

// Guards against a request that was queued by the former dispatcher and is sent
// only once to the new one, which drops it because it has not taken the role
// yet.
TEST(SlotRequester, RepeatsAQueuedRequestToANewDispatcher) {
  Fixture fixture;
  int requests_to_next = 0;
  SlotRequester* receiver = nullptr;
  SlotRequester caller{
      "a", &fixture.routes, &fixture.members,
      [&](const membership::Member& to, const PeerMessage& message) {
        if (!message.slot_request || message.slot_request->pool != "a/0")
          return;
        dispatch::SlotReplyMessage reply;
        reply.pool = message.slot_request->pool;
        reply.request_id = message.slot_request->request.request_id;
        reply.answer = {SlotVerdict::kGranted, "e-a", 7, 0};
        if (to.id == "d-a") {
          reply.queued = true;
          auto members = std::make_shared<MemberView>(*fixture.members.Get());
          members->members.front().id = "d-next";
          fixture.members.Set(members);
          receiver->OnReply(reply);
        } else if (++requests_to_next > 1) {
          receiver->OnReply(reply);
        }
      }};
  receiver = &caller;
  SlotRequest request;
  request.request_id = "r1";
  request.item = "m";
  // This priority gets no fallback share.
  request.priority = Priority::kOvernight;
  request.deadline = Clock::now() + std::chrono::seconds{10};
  const SlotAnswer answer = caller.Acquire(request, nullptr);
  CHECK(answer.verdict == SlotVerdict::kGranted);
  LONGS_EQUAL(7, answer.grant_id);
  LONGS_EQUAL(2, requests_to_next);
}

// Guards against further requests that wait for an unresponsive dispatcher, and
// against a dispatcher that is not used again after it has recovered.
TEST(SlotRequester, DoesNotWaitForAnUnresponsiveDispatcher) {
  struct Row {
    const char* name;
    std::set<std::string> unresponsive;
    std::set<std::string> full;
    const char* endpoint;
    bool waits;
  };
  const std::vector<Row> rows = {
      {"first one", {"a/0"}, {}, "e-a", true},
      {"other pool", {"a/0"}, {}, "e-b", false},
      {"share", {"a/0"}, {"b/0"}, "e-a", false},
      {"answers again", {}, {}, "e-a", false},
  };
  Fixture fixture;
  int number = 0;
  for (const Row& row : rows) {
    fixture.unresponsive = row.unresponsive;
    fixture.full = row.full;
    const TimePoint start = Clock::now();
    const SlotAnswer answer = fixture.Acquire("r" + std::to_string(++number));
    const bool waited = Clock::now() - start >= Milliseconds{300};
    STRCMP_EQUAL_TEXT(row.endpoint, answer.endpoint_id.c_str(), row.name);
    CHECK_EQUAL_TEXT(row.waits, waited, row.name);
    fixture.caller.Release(answer, SlotOutcome{});
    std::this_thread::sleep_for(Milliseconds{310});
  }
}

// Guards against a refusal when all daemons are leaving and none dispatches:
// the request must wait for a fallback share instead.
TEST(SlotRequester, WaitsForAShareWhenEveryDaemonIsLeaving) {
  Fixture fixture;
  auto all_leaving = std::make_shared<MemberView>(*fixture.members.Get());
  for (membership::Member& member : all_leaving->members)
    member.state = membership::MemberState::kLeaving;
  fixture.members.Set(all_leaving);
  const std::vector<SlotAnswer> held = {fixture.Acquire("r0", 5),
                                        fixture.Acquire("r1", 5)};
  std::thread releasing([&] {
    std::this_thread::sleep_for(Milliseconds{3500});
    fixture.caller.Release(held[0], {});
  });
  const SlotAnswer waited = fixture.Acquire("waiting", 10);
  releasing.join();
  CHECK(held[0].verdict == SlotVerdict::kGranted);
  CHECK(held[1].verdict == SlotVerdict::kGranted);
  CHECK(waited.verdict == SlotVerdict::kGranted);
}

// Guards against slots that stay granted after their request has ended.
TEST(SlotRequester, FreesGrantsOfRequestsThatHaveEnded) {
  Fixture fixture;
  const SlotAnswer held = fixture.Acquire("r1");
  dispatch::SlotReplyMessage reply;
  reply.pool = "a/0";
  reply.request_id = "r1";
  reply.answer = held;
  fixture.sent.clear();
  fixture.caller.OnReply(reply);
  CHECK(fixture.sent.empty());
  reply.request_id = "ended";
  reply.answer.grant_id = 99;
  fixture.caller.OnReply(reply);
  CHECK_EQUAL(1U, fixture.sent.size());
  CHECK(fixture.sent[0].slot_release->withdrawn);
  CHECK_EQUAL(99U, fixture.sent[0].slot_release->grant_id);
  fixture.caller.Release(held, SlotOutcome{});
  CHECK_EQUAL(2U, fixture.sent.size());
  CHECK_EQUAL(0U, fixture.caller.CountHeld());
}

// Guards against a preemption notice that marks another grant than its own.
TEST(SlotRequester, MarksOnlyThePreemptedGrant) {
  Fixture fixture;
  const SlotAnswer first = fixture.Acquire("r1");
  const SlotAnswer second = fixture.Acquire("r2");
  fixture.caller.OnPreemption({"r2", second.grant_id});
  CHECK_FALSE(fixture.caller.IsPreempted(first));
  CHECK(fixture.caller.IsPreempted(second));
}

// Guards against reports that exceed a datagram or omit slots, and against a
// dispatcher that is never informed of the release of the last slot.
TEST(SlotRequester, ReportsAllSlotsInDatagrams) {
  Fixture fixture;
  std::vector<SlotAnswer> answers;
  answers.reserve(60);
  for (int i = 0; i < 60; ++i)
    answers.push_back(fixture.Acquire("request-with-a-long-name-" +
                                      std::to_string(1000 + i)));
  fixture.sent.clear();
  TimePoint now = Clock::now();
  fixture.caller.Report(now);
  std::size_t reported = 0;
  const std::vector<PeerMessage> chunks = fixture.ReportsOf("a/0");
  for (const PeerMessage& message : chunks) {
    CHECK(EncodeMessage(message, now).size() <= kMaxDatagramBytes);
    CHECK_EQUAL(static_cast<int>(chunks.size()), message.held_slots->chunks);
    reported += message.held_slots->held.size();
  }
  CHECK_EQUAL(60U, reported);
  CHECK(chunks.size() > 1);
  for (const SlotAnswer& answer : answers)
    fixture.caller.Release(answer, SlotOutcome{});
  fixture.sent.clear();
  for (int i = 0; i < 5; ++i) {
    now += std::chrono::seconds{1};
    fixture.caller.Report(now);
  }
  const std::vector<PeerMessage> empty = fixture.ReportsOf("a/0");
  CHECK_EQUAL(2U, empty.size());
  CHECK(empty[0].held_slots->held.empty());
}

// Guards against entries without slots that never report, which would make a
// new dispatcher keep its limits halved, and against endless empty reports.
TEST(SlotRequester, ReportsToEachNewDispatcher) {
  Fixture fixture;
  TimePoint now = Clock::now();
  const auto count = [&](int rounds) {
    fixture.sent.clear();
    for (int i = 0; i < rounds; ++i) {
      now += std::chrono::seconds{1};
      fixture.caller.Report(now);
    }
    return fixture.ReportsOf("b/0").size();
  };
  CHECK_EQUAL(1U, count(1));
  CHECK_EQUAL(1U, count(5));
  auto members = std::make_shared<MemberView>(*fixture.members.Get());
  members->members[1].id = "next";
  fixture.members.Set(members);
  CHECK_EQUAL(2U, count(5));
  CHECK(fixture.ReportsOf("b/0")[0].held_slots->held.empty());
  CHECK(fixture.ReportsOf("a/0").empty());
}

// Guards against a new dispatcher that does not receive the slot details, and
// against sending the details every second to one that has them.
TEST(SlotRequester, SendsDetailsToANewDispatcher) {
  Fixture fixture;
  fixture.Acquire("r1");
  TimePoint now = Clock::now();
  const auto is_detailed = [&] {
    now += std::chrono::seconds{1};
    fixture.sent.clear();
    fixture.caller.Report(now);
    const std::vector<PeerMessage> reports = fixture.ReportsOf("a/0");
    CHECK_EQUAL(1U, reports.size());
    return !reports[0].held_slots->held.at(0).endpoint_id.empty();
  };
  CHECK(is_detailed());
  for (int i = 0; i < 4; ++i)
    CHECK_FALSE(is_detailed());
  CHECK(is_detailed());
  auto members = std::make_shared<MemberView>(*fixture.members.Get());
  members->members[0].id = "next";
  fixture.members.Set(members);
  CHECK(is_detailed());
  CHECK(is_detailed());
  CHECK_FALSE(is_detailed());
}

// Guards against demand for models without a ready copy that is not reported to
// the planner.
TEST(SlotRequester, CountsRequestsWithoutACopy) {
  Fixture fixture;
  SlotRequest request;
  request.request_id = "r1";
  request.item = "absent";
  request.priority = Priority::kLookup;
  request.deadline = Clock::now() + std::chrono::seconds{2};
  CHECK(fixture.caller.Acquire(request, nullptr).verdict ==
        SlotVerdict::kNoCopy);
  const auto demand = fixture.caller.TakeUnreadyDemand();
  CHECK_EQUAL(1U, demand.size());
  DOUBLES_EQUAL(1, demand[0].requests[1], 0);
  CHECK(fixture.caller.TakeUnreadyDemand().empty());
}

}  // namespace coltsfootvane::peer
