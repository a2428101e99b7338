#include "dispatch/pools.h"

#include <map>
#include <random>
#include <string>
#include <vector>

#include "dispatch/baseline.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::dispatch {
namespace {

const TimePoint kNow{std::chrono::hours{1}};

Endpoint EndpointOf(const std::string& id, const std::string& data_centre) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.data_centre = data_centre;
  return endpoint;
}

/// Engines `e1` to `e3` in data centres a, a, b, all with the model `m`, and a
/// service replica `s1`.
std::shared_ptr<InForce> SmallView() {
  auto view = std::make_shared<InForce>();
  Endpoint service = EndpointOf("s1", "a");
  service.kind = EndpointKind::kService;
  service.service = "booking";
  view->configuration.endpoints = {EndpointOf("e1", "a"), EndpointOf("e2", "a"),
                                   EndpointOf("e3", "b"), service};
  view->placement.endpoints = {
      {"e1", false, {"m"}}, {"e2", false, {"m"}}, {"e3", false, {"m"}}};
  return view;
}

std::string Describe(const std::vector<PoolHolders>& found) {
  std::string text;
  for (const PoolHolders& one : found) {
    text += one.pool->name + ":";
    for (const std::string& id : one.endpoint_ids)
      text += id + " ";
  }
  return text;
}

}  // namespace

TEST_GROUP(Pools){};

// Guards against daemons that group endpoints differently: the names and
// members of pools must depend on the endpoint ids alone.
TEST(Pools, GroupsEndpointsInOrderOfId) {
  Configuration configuration;
  for (int i = 69; i >= 0; --i)
    configuration.endpoints.push_back(
        EndpointOf("e" + std::to_string(100 + i), "a"));
  configuration.endpoints.push_back(EndpointOf("x", "b"));
  const std::vector<Pool> pools = MakePools(configuration);
  CHECK_EQUAL(4U, pools.size());
  STRCMP_EQUAL("a/2", pools[2].name.c_str());
  STRCMP_EQUAL("e132", pools[1].endpoint_ids[0].c_str());
  CHECK_EQUAL(32U, pools[0].endpoint_ids.size());
  CHECK_EQUAL(6U, pools[2].endpoint_ids.size());
  STRCMP_EQUAL("b/0", pools[3].name.c_str());
}

// Guards against requests that are routed to leaving endpoints or to pools
// without a holder.
TEST(Pools, FindsHoldersThatAreNotLeaving) {
  auto view = SmallView();
  view->leaving = {"e2"};
  const auto routes = MakeRoutes(view, {"e3"});
  STRCMP_EQUAL(
      "a/0:e1 ",
      Describe(FindHolders(*routes, EndpointKind::kEngine, "m")).c_str());
  STRCMP_EQUAL("a/0:s1 ",
               Describe(FindHolders(*routes, EndpointKind::kService, "booking"))
                   .c_str());
  CHECK(FindHolders(*routes, EndpointKind::kService, "m").empty());
  CHECK(FindHolders(*routes, EndpointKind::kEngine, "absent").empty());
}

// Guards against a configuration change that loses the slots in use.
TEST(Pools, KeepsSlotsWhenTheViewChanges) {
  auto view = SmallView();
  const auto routes = MakeRoutes(view, {});
  PoolState pool;
  SyncPool(pool, routes->pools[0], *view, {}, kNow);
  SlotRequest request;
  request.request_id = "r";
  request.item = "m";
  request.deadline = kNow + std::chrono::seconds{9};
  const auto answer = RequestSlot(pool, "entry", request, kNow);
  CHECK(answer && answer->verdict == SlotVerdict::kGranted);
  SyncPool(pool, routes->pools[0], *view, {answer->endpoint_id}, kNow);
  CHECK(pool.endpoints[answer->endpoint_id].leaving);
  CHECK_EQUAL(1U, pool.endpoints[answer->endpoint_id].granted.size());
  CHECK_EQUAL(3U, pool.endpoints.size());
}

// Guards against one member that is the dispatcher of most pools, and against
// pools that change their dispatcher although it is still a member.
TEST(Pools, SpreadsDispatchersAndMovesFewPools) {
  std::vector<std::string> ids;
  ids.reserve(20);
  for (int i = 0; i < 20; ++i)
    ids.push_back("d" + std::to_string(i));
  std::vector<std::string> fewer(ids.begin(), ids.end() - 1);
  std::map<std::string, int> counts;
  for (int i = 0; i < 400; ++i) {
    const std::string pool = "a/" + std::to_string(i);
    const std::string chosen = ChooseDispatcher(ids, pool);
    ++counts[chosen];
    if (chosen != ids.back())
      STRCMP_EQUAL(chosen.c_str(), ChooseDispatcher(fewer, pool).c_str());
  }
  for (const auto& [id, count] : counts)
    CHECK(count < 45);
  CHECK(ChooseDispatcher({}, "a/0").empty());
}

// Guards against a baseline that ignores the reported loads or returns
// endpoints that the request excludes.
TEST(Pools, BaselineTakesTheLeastReportedLoad) {
  const auto routes = MakeRoutes(SmallView(), {});
  std::mt19937_64 random(1);
  SlotRequest request;
  request.item = "m";
  const std::map<std::string, int> loads = {{"e1", 3}, {"e2", 1}, {"e3", 2}};
  STRCMP_EQUAL("e2",
               ChooseLeastLoaded(*routes, loads, request, random).c_str());
  request.excluded = {"e2"};
  STRCMP_EQUAL("e3",
               ChooseLeastLoaded(*routes, loads, request, random).c_str());
  request.item = "absent";
  CHECK(ChooseLeastLoaded(*routes, loads, request, random).empty());
}

}  // namespace coltsfootvane::dispatch
