#include "dispatch/pool_state.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <random>
#include <string>

#include "dispatch/limits.h"
#include "dispatch/outliers.h"
#include "support/pool_fixture.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::dispatch {

TEST_GROUP(PoolState){};

// Guards against a repeated datagram that takes a second slot.
TEST(PoolState, IsIdempotentByRequestId) {
  PoolState pool = PoolOf({{"e1", 1}});
  const auto grant = MustGrant(pool, RequestOf("r1"));
  CHECK_EQUAL(grant, MustGrant(pool, RequestOf("r1")));
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r2"), kStart));
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r2"), kStart));
  CHECK_EQUAL(1U, pool.classes[0].waiting.size());
}

// Guards against a wrong order of the waiting requests.
TEST(PoolState, ServesClassesThenItemsThenCallersThenArrival) {
  PoolState pool = PoolOf({{"e1", 1}});
  pool.holders["n"] = {"e1"};
  std::uint64_t grant = MustGrant(pool, RequestOf("r0"));
  const std::vector<SlotRequest> arrivals = {
      RequestOf("overnight", Priority::kOvernight),
      RequestOf("m-c-1"),
      RequestOf("m-d-1", Priority::kInteractive, "m", "d"),
      RequestOf("m-d-2", Priority::kInteractive, "m", "d"),
      RequestOf("n-c-1", Priority::kInteractive, "n", "c"),
      RequestOf("lookup", Priority::kLookup),
  };
  for (const SlotRequest& request : arrivals)
    CHECK_FALSE(RequestSlot(pool, "e", request, kStart));
  std::string order;
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    ReleaseSlot(pool, grant, SlotOutcome{}, kStart);
    const auto grants = NextGrants(pool, kStart);
    CHECK_EQUAL(1U, grants.size());
    grant = grants[0].answer.grant_id;
    order += grants[0].request_id + " ";
  }
  STRCMP_EQUAL("n-c-1 m-d-1 m-c-1 m-d-2 lookup overnight ", order.c_str());
}

// Guards against a less urgent class that is starved, or that gets more than
// its minimum share while a more urgent class waits.
TEST(PoolState, KeepsTheMinimumShare) {
  struct Row {
    double share;
    int least;
    int most;
  };
  for (const Row& row : {Row{0, 0, 0}, Row{0.1, 18, 21}, Row{0.25, 48, 51}}) {
    PoolState pool = PoolOf({{"e1", 1}});
    pool.classes[2].settings.minimum_share = row.share;
    pool.classes[0].settings.queue_length = 1000;
    pool.classes[2].settings.queue_length = 1000;
    std::uint64_t grant = MustGrant(pool, RequestOf("first"));
    for (int i = 0; i < 300; ++i) {
      RequestSlot(pool, "e", RequestOf("i" + std::to_string(i)), kStart);
      RequestSlot(pool, "e",
                  RequestOf("o" + std::to_string(i), Priority::kOvernight),
                  kStart);
    }
    int overnight = 0;
    for (int i = 0; i < 200; ++i) {
      ReleaseSlot(pool, grant, SlotOutcome{}, kStart);
      const auto grants = NextGrants(pool, kStart);
      CHECK_EQUAL(1U, grants.size());
      grant = grants[0].answer.grant_id;
      overnight += grants[0].request_id[0] == 'o' ? 1 : 0;
    }
    CHECK(overnight >= row.least);
    CHECK(overnight <= row.most);
  }
}

// Guards against unbounded queues and against refusals that come late.
TEST(PoolState, RefusesImmediately) {
  PoolState pool = PoolOf({{"e1", 1}});
  pool.classes[0].settings.queue_length = 1;
  SlotRequest absent = RequestOf("r", Priority::kInteractive, "absent");
  CHECK(RequestSlot(pool, "e", absent, kStart)->verdict ==
        SlotVerdict::kNoCopy);
  SlotRequest request_without_e1 = RequestOf("r");
  request_without_e1.excluded = {"e1"};
  CHECK(RequestSlot(pool, "e", request_without_e1, kStart)->verdict ==
        SlotVerdict::kNoCopy);

  const auto grant = MustGrant(pool, RequestOf("r1"));
  const TimePoint later = kStart + std::chrono::seconds{10};
  ReleaseSlot(pool, grant, SlotOutcome{}, later);
  MustGrant(pool, RequestOf("r2"), later);
  SlotRequest short_deadline = RequestOf("r3");
  short_deadline.deadline = later + std::chrono::seconds{5};
  const auto missed = RequestSlot(pool, "e", short_deadline, later);
  CHECK(missed->verdict == SlotVerdict::kDeadline);
  CHECK(missed->retry_after_ms > 1000);
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r4"), later));
  const auto full = RequestSlot(pool, "e", RequestOf("r5"), later);
  CHECK(full->verdict == SlotVerdict::kQueueFull);
  CHECK(full->retry_after_ms > 1000);
}

// Guards against slots that stay occupied or uncounted after a release message
// is lost, an entry dies or a new dispatcher takes over.
TEST(PoolState, ReconcilesSlotsByReportsAndDeadlines) {
  PoolState pool = PoolOf({{"e1", 2}});
  MustGrant(pool, RequestOf("r1"));
  ReconcileSlots(pool, "e", {}, kStart);
  CHECK_EQUAL(1U, pool.endpoints["e1"].granted.size());
  ReconcileSlots(pool, "e", {}, kStart);
  CHECK_EQUAL(0U, pool.endpoints["e1"].granted.size());

  const std::vector<HeldSlot> held = {
      {77, "r9", "e1", "m", "c", Priority::kLookup, Milliseconds{5}}};
  ReconcileSlots(pool, "e", held, kStart);
  ReconcileSlots(pool, "e", held, kStart + std::chrono::seconds{6});
  CHECK_EQUAL(1U, pool.endpoints["e1"].granted.size());
  CHECK_EQUAL(0, ExpireSlots(pool, kStart + std::chrono::seconds{12}));
  CHECK_EQUAL(1, ExpireSlots(pool, kStart + std::chrono::seconds{17}));
}

// Guards against a new dispatcher that grants up to the full limits on top of
// the grants that it does not know yet.
TEST(PoolState, HalvesLimitsUntilReportsAreIn) {
  PoolState pool = PoolOf({{"e1", 8}});
  const EndpointState& endpoint = pool.endpoints["e1"];
  StartTakeover(pool, {"x", "y"}, kStart);
  CHECK_EQUAL(4, CurrentLimit(pool, endpoint, kStart));
  ReconcileSlots(pool, "x", {}, kStart);
  CHECK_EQUAL(4, CurrentLimit(pool, endpoint, kStart));
  CHECK_EQUAL(8, CurrentLimit(pool, endpoint, kStart + kMaxTakeoverTime));
  ReconcileSlots(pool, "y", {}, kStart);
  CHECK_EQUAL(8, CurrentLimit(pool, endpoint, kStart));
}

// Guards against an overnight stream that blocks an urgent request, against
// more preemptions than needed, and against a resumed stream that goes to the
// end of the queue.
TEST(PoolState, PreemptsTheLatestOvernightStream) {
  PoolState pool = PoolOf({{"e1", 2}});
  MustGrant(pool, RequestOf("o1", Priority::kOvernight));
  const TimePoint later = kStart + std::chrono::seconds{1};
  MustGrant(pool, RequestOf("o2-1", Priority::kOvernight), later);
  RequestSlot(pool, "e", RequestOf("o3", Priority::kOvernight), later);
  CHECK(ChoosePreemption(pool, later).empty());
  RequestSlot(pool, "e", RequestOf("i1"), later);
  const auto notices = ChoosePreemption(pool, later);
  CHECK_EQUAL(1U, notices.size());
  STRCMP_EQUAL("o2-1", notices[0].request_id.c_str());
  CHECK(ChoosePreemption(pool, later).empty());
  STRCMP_EQUAL("i1", NextGranted(pool, notices[0].grant_id, later).c_str());
  CHECK_FALSE(
      RequestSlot(pool, "e", RequestOf("o2-2", Priority::kOvernight), later));
  const auto& granted = pool.endpoints["e1"].granted;
  STRCMP_EQUAL("o2-2", NextGranted(pool, granted[1].grant_id, later).c_str());
}

// Guards against preemptions that leave overnight less than its minimum share.
TEST(PoolState, KeepsTheShareOfOvernightWhenPreempting) {
  PoolState pool = PoolOf({{"e1", 2}});
  pool.classes[2].settings.minimum_share = 0.5;
  MustGrant(pool, RequestOf("i0"));
  MustGrant(pool, RequestOf("o1", Priority::kOvernight));
  RequestSlot(pool, "e", RequestOf("i1"), kStart);
  CHECK(ChoosePreemption(pool, kStart).empty());
}

// Guards against limits that do not adapt to the time per token.
TEST(PoolState, AdjustsLimitsToTheTimePerToken) {
  struct Row {
    int gap_ms;
    bool fully_used;
    double expected;
  };
  const std::vector<Row> rows = {
      {20, true, 9}, {20, false, 8}, {50, true, 8}, {60, true, 8 * 0.85}};
  for (const Row& row : rows) {
    LimitState limit;
    limit.limit = 8;
    limit.peak_in_use = row.fully_used ? 8 : 7;
    for (int i = 0; i < 100; ++i)
      RecordTokenTime(limit, Milliseconds{row.gap_ms}, Milliseconds{54});
    AdjustLimit(limit, 8, kStart);
    DOUBLES_EQUAL(row.expected, limit.limit, 0.001);
  }
}

// Guards against an endpoint that is filled by overnight work alone, so that an
// urgent request misses its target there.
TEST(PoolState, LimitsOvernightWorkByTheStrictestGap) {
  PoolState pool = PoolOf({{"e1", 2}});
  pool.classes[2].settings.token_gap_ms = 1000;
  SlotOutcome slow;
  slow.time_per_token = Milliseconds{60};
  const auto first = MustGrant(pool, RequestOf("o1", Priority::kOvernight));
  MustGrant(pool, RequestOf("o2", Priority::kOvernight));
  ReleaseSlot(pool, first, slow, kStart);
  AdjustLimits(pool, kStart);
  DOUBLES_EQUAL(2 * 0.85, pool.endpoints["e1"].limit.limit, 0.001);
}

// Guards against a failing endpoint that keeps receiving calls, and against a
// recovered one that never receives calls again.
TEST(PoolState, EjectsAndProbesOutliers) {
  PoolState pool = PoolOf({{"e1", 4}, {"e2", 4}});
  const auto request_of = [](const std::string& id) {
    SlotRequest request = RequestOf(id);
    request.excluded = {"e2"};
    return request;
  };
  TimePoint now = kStart;
  for (int i = 0; i < 3; ++i)
    ReleaseSlot(pool, MustGrant(pool, request_of(std::to_string(i)), now),
                Failure(), now);
  int ejected_s = 2;
  for (int round = 0; round < 7; ++round) {
    const std::string id = "t" + std::to_string(round);
    const TimePoint back = now + std::chrono::seconds{ejected_s};
    CHECK(!ChooseEndpoint(pool, request_of(id), back - Milliseconds{1}));
    now = back;
    const auto probe = MustGrant(pool, request_of(id), now);
    CHECK_FALSE(ChooseEndpoint(pool, request_of("other"), now));
    ReleaseSlot(pool, probe, Failure(), now);
    ejected_s = std::min(60, ejected_s * 2);
  }
  now += std::chrono::seconds{60};
  ReleaseSlot(pool, MustGrant(pool, request_of("last"), now), SlotOutcome{},
              now);
  CHECK_EQUAL(4, CurrentLimit(pool, pool.endpoints["e1"], now));
}

// Guards against a prefix that moves between endpoints, and against one prefix
// that fills an endpoint while others are idle.
TEST(PoolState, KeepsPrefixesTogetherWithinTheBound) {
  PoolState pool = PoolOf({{"e1", 100}, {"e2", 100}, {"e3", 100}});
  std::map<std::string, int> counts;
  for (int i = 0; i < 60; ++i) {
    SlotRequest request = RequestOf(std::to_string(i));
    request.prefix_hash = 42;
    ++counts[RequestSlot(pool, "e", request, kStart)->endpoint_id];
  }
  const auto most = std::max_element(
      counts.begin(), counts.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  CHECK(most->second >= 20);
  CHECK(most->second <= 26);
  PoolState idle = PoolOf({{"e1", 100}, {"e2", 100}, {"e3", 100}});
  SlotRequest request = RequestOf("r");
  request.prefix_hash = 42;
  const std::string first =
      RequestSlot(idle, "e", request, kStart)->endpoint_id;
  idle = PoolOf({{"e1", 100}, {"e2", 100}, {"e3", 100}});
  STRCMP_EQUAL(first.c_str(),
               RequestSlot(idle, "x", request, kStart)->endpoint_id.c_str());
}

}  // namespace coltsfootvane::dispatch
