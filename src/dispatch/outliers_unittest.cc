#include "dispatch/outliers.h"

#include <string>

#include "dispatch/lateness.h"
#include "support/pool_fixture.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::dispatch {
namespace {

constexpr int kFailuresToEject = 3;

void Fail(PoolState& pool, const std::string& excluded, TimePoint now) {
  SlotRequest request = RequestOf("f");
  request.excluded = {excluded};
  ReleaseSlot(pool, MustGrant(pool, request, now), Failure(), now);
}

}  // namespace

TEST_GROUP(Outliers){};

// Guards against a model that is unavailable for seconds because its last
// holder, which still serves some of its calls, has failed a few of them.
TEST(Outliers, LastHolderIsProbedSoon) {
  struct Row {
    const char* name;
    bool other_holder;
    int probe_ms[5];  ///< End of each ejection, from kStart.
  };
  const Row rows[] = {
      {"last holder", false, {500, 1000, 1500, 2000, 4000}},
      {"one of two", true, {2000, 6000, 14000, 30000, 62000}},
  };
  for (const Row& row : rows) {
    PoolState pool = PoolOf({{"e1", 1}});
    if (row.other_holder) {
      pool.endpoints["e2"].id = "e2";
      pool.holders["m"].push_back("e2");
    }
    TimePoint now = kStart;
    for (int i = 1; i < kFailuresToEject; ++i)
      Fail(pool, "e2", now);
    for (const int probe_ms : row.probe_ms) {
      Fail(pool, "e2", now);
      const TimePoint probe_at = kStart + Milliseconds{probe_ms};
      const OutlierState& outlier = pool.endpoints["e1"].outlier;
      CHECK_TEXT(IsEjected(outlier, probe_at - Milliseconds{1}), row.name);
      CHECK_FALSE_TEXT(IsEjected(outlier, probe_at), row.name);
      now = probe_at;
    }
  }
}

// Guards against refusals while a holder that failed earlier could be probed.
TEST(Outliers, AllHoldersOfAnItemAreProbedSoon) {
  PoolState pool = PoolOf({{"e1", 1}, {"e2", 1}});
  for (int i = 0; i < kFailuresToEject; ++i)
    Fail(pool, "e2", kStart);
  const TimePoint later = kStart + Milliseconds{300};
  for (int i = 0; i < kFailuresToEject; ++i)
    Fail(pool, "e1", later);
  const TimePoint probe_at = kStart + Milliseconds{500};
  CHECK_FALSE(IsEjected(pool.endpoints["e1"].outlier, probe_at));
  CHECK(IsEjected(pool.endpoints["e2"].outlier, probe_at));
}

// Guards against refusals shortly before the next probe, and against requests
// that wait through successive failed probes of a holder that is gone.
TEST(Outliers, RequestsWaitForProbesThatAreDueSoon) {
  constexpr int kProbesWaitedFor = 4;
  PoolState pool = PoolOf({{"e1", 1}});
  TimePoint now = kStart;
  for (int i = 1; i < kFailuresToEject; ++i)
    Fail(pool, "none", now);
  for (int probe = 0; probe < kProbesWaitedFor; ++probe) {
    Fail(pool, "none", now);
    CHECK_FALSE(AllHoldersFailedProbe(pool, "m", now));
    now += Milliseconds{500};
  }
  Fail(pool, "none", now);
  CHECK(AllHoldersFailedProbe(pool, "m", now));
}

}  // namespace coltsfootvane::dispatch
