#ifndef COLTSFOOTVANE_TESTS_SUPPORT_POOL_FIXTURE_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_POOL_FIXTURE_H_

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "dispatch/pool_state.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::dispatch {

inline const TimePoint kStart{std::chrono::hours{1}};
inline constexpr int kHourMs = 3600 * 1000;

inline PoolState PoolOf(
    const std::vector<std::pair<std::string, int>>& endpoints) {
  PoolState pool;
  // Tests of the first token target set their own.
  for (ClassState& state : pool.classes)
    state.settings.first_token_ms = kHourMs;
  for (const auto& [id, slots] : endpoints) {
    EndpointState& endpoint = pool.endpoints[id];
    endpoint.id = id;
    endpoint.slots = slots;
    endpoint.limit.limit = slots;
    pool.holders["m"].push_back(id);
  }
  return pool;
}

inline SlotRequest RequestOf(const std::string& id,
                             Priority priority = Priority::kInteractive,
                             const std::string& item = "m",
                             const std::string& caller = "c") {
  SlotRequest request;
  request.request_id = id;
  request.item = item;
  request.priority = priority;
  request.caller = caller;
  request.deadline = kStart + std::chrono::hours{1};
  return request;
}

inline std::uint64_t MustGrant(PoolState& pool,
                               const SlotRequest& request,
                               TimePoint now = kStart) {
  const auto answer = RequestSlot(pool, "e", request, now);
  CHECK(answer && answer->verdict == SlotVerdict::kGranted);
  return answer->grant_id;
}

inline std::string NextGranted(PoolState& pool,
                               std::uint64_t freed,
                               TimePoint now = kStart) {
  ReleaseSlot(pool, freed, SlotOutcome{}, now);
  const auto grants = NextGrants(pool, now);
  CHECK_EQUAL(1U, grants.size());
  return grants[0].request_id;
}

inline SlotOutcome Failure() {
  SlotOutcome outcome;
  outcome.endpoint_failed = true;
  return outcome;
}

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_POOL_FIXTURE_H_
