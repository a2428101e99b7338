#include "dispatch/lateness.h"

#include <algorithm>
#include <string>
#include <vector>

#include "dispatch/limits.h"
#include "dispatch/outliers.h"
#include "support/pool_fixture.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::dispatch {

TEST_GROUP(Lateness){};

// Guards against a request that waits until its deadline in a pool whose copies
// are gone, while other pools still have copies.
TEST(Lateness, WaitingRequestsWithoutACopyAreRefused) {
  PoolState pool = PoolOf({{"e1", 1}});
  MustGrant(pool, RequestOf("r1"));
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r2"), kStart));
  CHECK(RefuseLateRequests(pool, kStart).empty());
  pool.holders["m"].clear();
  const auto refusals = RefuseLateRequests(pool, kStart);
  CHECK_EQUAL(1U, refusals.size());
  CHECK(refusals[0].answer.verdict == SlotVerdict::kNoCopy);
  CHECK(pool.classes[0].waiting.empty());
}

// Guards against a waiting request that is refused only near its deadline
// although the queue no longer drains.
TEST(Lateness, RefusesWaitingRequestsThatHaveBecomeLate) {
  PoolState pool = PoolOf({{"e1", 1}});
  const auto grant = MustGrant(pool, RequestOf("r1", Priority::kLookup));
  TimePoint now = kStart + std::chrono::seconds{1};
  ReleaseSlot(pool, grant, SlotOutcome{}, now);
  MustGrant(pool, RequestOf("r2", Priority::kLookup), now);
  SlotRequest short_deadline = RequestOf("r3", Priority::kLookup);
  short_deadline.deadline = now + std::chrono::seconds{30};
  CHECK_FALSE(RequestSlot(pool, "e", short_deadline, now));
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r4", Priority::kLookup), now));
  CHECK(RefuseLateRequests(pool, now).empty());
  now += std::chrono::seconds{15};
  const auto refusals = RefuseLateRequests(pool, now);
  CHECK_EQUAL(1U, refusals.size());
  STRCMP_EQUAL("r3", refusals[0].request_id.c_str());
  CHECK(refusals[0].answer.verdict == SlotVerdict::kDeadline);
  CHECK(refusals[0].answer.retry_after_ms > 1000);
  CHECK_EQUAL(1U, pool.classes[1].waiting.size());
}

// Guards against a request that waits until its deadline for the only remaining
// copy although it has failed on that copy before.
TEST(Lateness, RefusesWaitingRequestsThatExcludeEveryCopy) {
  PoolState pool = PoolOf({{"e1", 1}, {"e2", 1}});
  MustGrant(pool, RequestOf("r1"));
  MustGrant(pool, RequestOf("r2"));
  SlotRequest failed = RequestOf("r3");
  failed.excluded = {"e1"};
  CHECK_FALSE(RequestSlot(pool, "e", failed, kStart));
  CHECK(RefuseLateRequests(pool, kStart).empty());
  for (auto& [item, holders] : pool.holders)
    holders = {"e1"};
  const auto refusals = RefuseLateRequests(pool, kStart);
  CHECK_EQUAL(1U, refusals.size());
  CHECK(refusals[0].answer.verdict == SlotVerdict::kNoCopy);
}

// Guards against an estimate that does not change while endpoints do not
// answer: no slot is released, so no new hold time is recorded.
TEST(Lateness, RefusesWhileTheHoldersAreStalled) {
  struct Row {
    const char* name;
    Priority stalled;
    int after_ms;
    bool refused;
  };
  const Row rows[] = {
      {"short stall", Priority::kInteractive, 1000, false},
      {"stall of a third of the time", Priority::kInteractive, 2200, true},
      {"streams that can be cancelled", Priority::kOvernight, 2200, false},
  };
  for (const Row& row : rows) {
    PoolState pool = PoolOf({{"e1", 1}});
    const auto grant = MustGrant(pool, RequestOf("r1"));
    const TimePoint start = kStart + Milliseconds{100};
    ReleaseSlot(pool, grant, SlotOutcome{}, start);
    MustGrant(pool, RequestOf("r2", row.stalled), start);
    SlotRequest waiting = RequestOf("r3");
    waiting.deadline = start + Milliseconds{6000};
    CHECK_FALSE(RequestSlot(pool, "e", waiting, start));
    const auto refusals =
        RefuseLateRequests(pool, start + Milliseconds{row.after_ms});
    CHECK_EQUAL_TEXT(row.refused, refusals.size() == 1, row.name);
  }
}

// Guards against requests that wait through successive ejections.
TEST(Lateness, RefusesAfterAFailedProbe) {
  PoolState pool = PoolOf({{"e1", 1}});
  OutlierState& outlier = pool.endpoints["e1"].outlier;
  outlier.ejected_until = kStart + std::chrono::seconds{2};
  outlier.ejections = 1;
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r1"), kStart));
  CHECK(RefuseLateRequests(pool, kStart).empty());
  outlier.ejections = 2;
  CHECK_EQUAL(1U, RefuseLateRequests(pool, kStart).size());
  const auto refused = RequestSlot(pool, "e", RequestOf("r2"), kStart);
  CHECK(refused->verdict == SlotVerdict::kNoCopy);
}

// Guards against requests that wait until their deadlines for an endpoint that
// has begun to leave.
TEST(Lateness, RefusesWaitingRequestsWithoutAHolder) {
  PoolState pool = PoolOf({{"e1", 1}});
  MustGrant(pool, RequestOf("r1"));
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r2"), kStart));
  CHECK(RefuseLateRequests(pool, kStart).empty());
  pool.endpoints["e1"].leaving = true;
  const auto refusals = RefuseLateRequests(pool, kStart);
  CHECK_EQUAL(1U, refusals.size());
  CHECK(refusals[0].answer.verdict == SlotVerdict::kNoCopy);
}

// Guards against requests that are admitted without slack and are refused late,
// when the estimate rises a little.
TEST(Lateness, AdmitsOnlyWithSlack) {
  PoolState pool = PoolOf({{"e1", 1}});
  const auto grant = MustGrant(pool, RequestOf("r1"));
  const TimePoint later = kStart + std::chrono::seconds{1};
  ReleaseSlot(pool, grant, SlotOutcome{}, later);
  MustGrant(pool, RequestOf("r2"), later);
  SlotRequest request = RequestOf("r3");
  // The estimate is 1 s of wait and 1 s of service.
  request.deadline = later + Milliseconds{2100};
  CHECK(RequestSlot(pool, "e", request, later)->verdict ==
        SlotVerdict::kDeadline);
  request.deadline = later + Milliseconds{2500};
  CHECK_FALSE(RequestSlot(pool, "e", request, later));
}

// Guards against an estimate that needs many released slots to adapt when the
// calls of a class become longer.
TEST(Lateness, EstimateFollowsLongerCalls) {
  PoolState pool = PoolOf({{"e1", 1}});
  TimePoint now = kStart;
  for (const int held_ms : {20, 20, 20, 1000, 1000, 1000, 3750}) {
    const auto grant = MustGrant(pool, RequestOf("r"), now);
    now += Milliseconds{held_ms};
    ReleaseSlot(pool, grant, SlotOutcome{}, now);
  }
  MustGrant(pool, RequestOf("r1"), now);
  SlotRequest request = RequestOf("r2");
  request.deadline = now + Milliseconds{1400};
  CHECK(RequestSlot(pool, "e", request, now)->verdict ==
        SlotVerdict::kDeadline);
}

// Guards against queues in which every request is granted too late for its
// first token target, against refusing a request that preemption makes room
// for, and against applying the target to services.
TEST(Lateness, RefusesRequestsThatMissTheFirstTokenTarget) {
  struct Row {
    Priority running;
    EndpointKind kind;
    bool queued;
  };
  const std::vector<Row> rows = {
      {Priority::kInteractive, EndpointKind::kEngine, false},
      {Priority::kOvernight, EndpointKind::kEngine, true},
      {Priority::kInteractive, EndpointKind::kService, true}};
  for (const Row& row : rows) {
    PoolState pool = PoolOf({{"e1", 2}});
    pool.classes[0].settings.first_token_ms = 600;
    const TimePoint now = kStart + std::chrono::seconds{5};
    pool.classes[0].statistics_by_item["m"].overloaded_until =
        now + Milliseconds{2000};
    SlotOutcome outcome;
    outcome.time_to_first_token = Milliseconds{100};
    ReleaseSlot(pool, MustGrant(pool, RequestOf("r1")), outcome, now);
    MustGrant(pool, RequestOf("r2", row.running), now);
    MustGrant(pool, RequestOf("r3", row.running), now);
    SlotRequest request = RequestOf("r4");
    request.kind = row.kind;
    CHECK_FALSE(RequestSlot(pool, "e", request, now));
    request.request_id = "r5";
    CHECK_EQUAL(row.queued,
                !RequestSlot(pool, "e", request, now + Milliseconds{250}));
    if (!row.queued || row.kind == EndpointKind::kService)
      continue;
    CHECK(RefuseLateRequests(pool, now + Milliseconds{490}).empty());
    DiscardSlot(pool, pool.endpoints["e1"].granted[0].grant_id);
    CHECK(NextGrants(pool, now + Milliseconds{751}).empty());
    CHECK_EQUAL(2U, RefuseLateRequests(pool, now + Milliseconds{751}).size());
  }
}

// Guards against an overload that is detected late, against refusals for the
// first token target during a known disruption, and against late refusals of
// requests that were admitted before the overload.
TEST(Lateness, ToleratesLateStartsOnlyInKnownDisruptions) {
  struct Row {
    const char* name;
    bool takeover;
    bool reported;
    int failures;  ///< Of another holder of the item.
    int arrival_ms;
    int overload_ms;  ///< 0: none.
  };
  const Row rows[] = {
      {"overload", false, false, 0, 0, 2750},
      {"takeover", true, false, 0, 0, 0},
      {"takeover, recovering without reports", true, false, 0, 2900, 0},
      {"after a takeover", true, false, 0, 3000, 5750},
      {"takeover, recovering after reports", true, true, 0, 900, 0},
      {"after a takeover ended by reports", true, true, 0, 1000, 3750},
      {"two failures", false, false, 2, 0, 2750},
      {"first ejection", false, false, 3, 2900, 0},
      {"after a first ejection", false, false, 3, 3000, 5750},
  };
  for (const Row& row : rows) {
    PoolState pool = PoolOf({{"e1", 1}, {"e2", 3}});
    pool.classes[0].settings.first_token_ms = 600;
    const TimePoint start = kStart + std::chrono::seconds{10};
    SlotRequest failing = RequestOf("f");
    failing.excluded = {"e1"};
    for (int i = 0; i < row.failures; ++i)
      ReleaseSlot(pool, MustGrant(pool, failing, start), Failure(), start);
    if (row.takeover)
      StartTakeover(pool, {"x"}, start);
    if (row.reported)
      ReconcileSlots(pool, "x", {}, start);
    pool.holders["m"].pop_back();
    MustGrant(pool, RequestOf("r2"), start);
    pool.holders["m"].push_back("e2");
    pool.endpoints["e2"].outlier.ejected_until = start + std::chrono::hours{1};
    const TimePoint arrival = start + Milliseconds{row.arrival_ms};
    SlotRequest waiting = RequestOf("r3");
    waiting.deadline = arrival + std::chrono::hours{1};
    CHECK_FALSE(RequestSlot(pool, "e", waiting, arrival));
    int overload_ms = 0;
    for (int ms = row.arrival_ms + 250; ms <= 10000; ms += 250) {
      const TimePoint now = start + Milliseconds{ms};
      CHECK_TEXT(RefuseLateRequests(pool, now).empty(), row.name);
      if (overload_ms == 0 && IsOverloaded(pool.classes[0], "m", now))
        overload_ms = ms;
    }
    CHECK_EQUAL_TEXT(row.overload_ms, overload_ms, row.name);
  }
}

// Guards against requests that wait through a disruption and are refused as
// soon as it is over.
TEST(Lateness, KeepsRequestsDelayedByADisruption) {
  PoolState pool = PoolOf({{"e1", 1}});
  pool.classes[0].settings.first_token_ms = 600;
  MustGrant(pool, RequestOf("r1"));
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r2"), kStart));
  StartTakeover(pool, {"x"}, kStart + Milliseconds{400});
  for (int ms = 500; ms <= 10000; ms += 250)
    CHECK(RefuseLateRequests(pool, kStart + Milliseconds{ms}).empty());
}

// Guards against refusals based on the rate that a dispatcher estimates just
// after it has taken over a pool: limits are halved, and grants to a less
// urgent class beyond its minimum share have not been observed yet.
TEST(Lateness, UsesTheServiceRateOnlyAfterATakeover) {
  struct Row {
    const char* name;
    bool takeover;
    int arrival_ms;  // After the takeover.
    bool refused;
  };
  const Row rows[] = {
      {"no takeover", false, 900, true},
      {"during the takeover", true, 900, false},
      {"after the takeover", true, 3100, true},
  };
  constexpr int kWaiting = 20;
  for (const Row& row : rows) {
    PoolState pool = PoolOf({{"e1", 4}});
    pool.classes[1].settings.minimum_share = 0.2;
    pool.classes[1].settings.queue_length = 2 * kWaiting;
    if (row.takeover)
      StartTakeover(pool, {"x"}, kStart);
    const auto grant = MustGrant(pool, RequestOf("r1", Priority::kLookup));
    ReleaseSlot(pool, grant, SlotOutcome{}, kStart + Milliseconds{820});
    const TimePoint arrival = kStart + Milliseconds{row.arrival_ms};
    for (int i = 0; i < (row.arrival_ms < 2000 && row.takeover ? 2 : 4); ++i)
      MustGrant(pool, RequestOf("i" + std::to_string(i)), arrival);
    for (int i = 0; i < kWaiting; ++i) {
      CHECK_FALSE(RequestSlot(
          pool, "e", RequestOf("w" + std::to_string(i), Priority::kLookup),
          arrival));
    }
    SlotRequest last = RequestOf("last", Priority::kLookup);
    last.deadline = arrival + std::chrono::seconds{30};
    const auto answer = RequestSlot(pool, "e", last, arrival);
    CHECK_EQUAL_TEXT(row.refused, answer.has_value(), row.name);
    if (!row.refused)
      CHECK_TEXT(RefuseLateRequests(pool, arrival).empty(), row.name);
  }
}

// Guards against a burst that is classified as an overload, and against an
// overload that never ends.
TEST(Lateness, EndsAnOverload) {
  PoolState pool = PoolOf({{"e1", 1}});
  const ClassState& state = pool.classes[0];
  pool.classes[0].settings.first_token_ms = 600;
  const auto grant = MustGrant(pool, RequestOf("r1"));
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r2"), kStart));
  RefuseLateRequests(pool, kStart + Milliseconds{1500});
  CHECK_FALSE(IsOverloaded(state, "m", kStart + Milliseconds{1500}));
  STRCMP_EQUAL("r2",
               NextGranted(pool, grant, kStart + Milliseconds{1550}).c_str());
  TimePoint now = kStart + Milliseconds{1750};
  RefuseLateRequests(pool, now);
  CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r3"), now));
  RefuseLateRequests(pool, now + Milliseconds{750});
  CHECK_FALSE(IsOverloaded(state, "m", now + Milliseconds{750}));
  now += Milliseconds{2600};
  RefuseLateRequests(pool, now);
  CHECK(IsOverloaded(state, "m", now + Milliseconds{4999}));
  CHECK_FALSE(IsOverloaded(state, "m", now + Milliseconds{5000}));
  CHECK_FALSE(IsOverloaded(state, "n", now));
}

// Guards against an overload that a wrong estimate prolongs although no request
// waits long, and against one that ends under sustained load because refusals
// keep the waits below the target.
TEST(Lateness, ExtendsAnOverloadOnlyOnLongWaits) {
  struct Row {
    int waited_ms;
    bool extended;
  };
  for (const Row& row : {Row{250, false}, Row{300, true}}) {
    PoolState pool = PoolOf({{"e1", 1}});
    pool.classes[0].settings.first_token_ms = 600;
    ReleaseSlot(pool, MustGrant(pool, RequestOf("r1")), SlotOutcome{},
                kStart + std::chrono::seconds{10});
    const TimePoint now = kStart + std::chrono::seconds{10};
    pool.classes[0].statistics_by_item["m"].overloaded_until =
        now + Milliseconds{500};
    MustGrant(pool, RequestOf("r2"), now);
    CHECK_FALSE(RequestSlot(pool, "e", RequestOf("r3"), now));
    const TimePoint later = now + Milliseconds{row.waited_ms};
    CHECK_EQUAL(row.extended,
                RequestSlot(pool, "e", RequestOf("r4"), later).has_value());
    CHECK_EQUAL(row.extended,
                IsOverloaded(pool.classes[0], "m", now + Milliseconds{751}));
  }
}

// Guards against an estimate that is too high and refuses every request: only
// requests that are served can correct it.
TEST(Lateness, QueuesOneRequestInAnOverload) {
  PoolState pool = PoolOf({{"e1", 1}});
  pool.classes[0].settings.first_token_ms = 600;
  const TimePoint now = kStart + std::chrono::seconds{10};
  pool.classes[0].statistics_by_item["m"].overloaded_until =
      now + Milliseconds{2000};
  ReleaseSlot(pool, MustGrant(pool, RequestOf("r1")), SlotOutcome{}, now);
  MustGrant(pool, RequestOf("r2"), now);
  SlotRequest request = RequestOf("r3");
  request.deadline = now + std::chrono::hours{1};
  CHECK_FALSE(RequestSlot(pool, "e", request, now));
  request.request_id = "r4";
  CHECK(RequestSlot(pool, "e", request, now + Milliseconds{300})->verdict ==
        SlotVerdict::kDeadline);
}

}  // namespace coltsfootvane::dispatch
