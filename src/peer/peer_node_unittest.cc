#include "peer/peer_node.h"

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/digest.h"
#include "dispatch/pools.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::peer {
namespace {

constexpr int kSlots = 2;

TimePoint In(int milliseconds) {
  return Clock::now() + Milliseconds{milliseconds};
}

bool Eventually(const std::function<bool()>& condition, int milliseconds) {
  const TimePoint deadline = In(milliseconds);
  while (Clock::now() < deadline) {
    if (condition())
      return true;
    std::this_thread::sleep_for(Milliseconds{10});
  }
  return condition();
}

/// One engine `e1` with the model `m` ready, in the data centre `a`.
std::shared_ptr<InForce> OneEngine() {
  auto view = std::make_shared<InForce>();
  view->version = 1;
  Endpoint engine;
  engine.id = "e1";
  engine.data_centre = "a";
  engine.slots = kSlots;
  view->configuration.endpoints = {engine};
  view->placement.endpoints = {{"e1", false, {"m"}}};
  return view;
}

SlotRequest RequestFor(const std::string& id, int left_ms) {
  SlotRequest request;
  request.request_id = id;
  request.item = "m";
  request.caller = "caller";
  request.deadline = In(left_ms);
  return request;
}

struct TestNode {
  TestNode(const std::string& id, std::vector<http::Address> peers) {
    this->in_force.Set(OneEngine());
    const std::string host = coltsfootvane::testing::OwnLoopbackHost();
    peer::PeerOptions options;
    options.settings.daemon_id = id;
    options.settings.data_centre = "a";
    options.settings.region = "r";
    options.settings.peer_listen = {host,
                                    coltsfootvane::testing::FreePort(host)};
    options.settings.first_peers = std::move(peers);
    options.instance_id = RandomId();
    options.in_force = &this->in_force;
    options.hooks.on_version = [this](std::int64_t version, std::string_view,
                                      const http::Address& from) {
      this->offered_from = from;
      this->offered_version = version;
    };
    options.hooks.snapshot = [] {
      peer::ConfigurationSnapshot snapshot;
      snapshot.version = 7;
      snapshot.head = "{}";
      snapshot.parts = {{"a.yaml", std::string(900000, 'x'), "digest"}};
      snapshot.placement = "[]";
      return snapshot;
    };
    this->address = options.settings.peer_listen;
    this->node = std::make_unique<peer::PeerNode>(std::move(options));
    this->started = this->node->Start().has_value();
    this->client = this->node->MakeSlotClient();
  }

  std::size_t CountUsable() const {
    std::size_t count = 0;
    for (const membership::Member& member : this->node->Members())
      count += member.state == membership::MemberState::kAlive ? 1 : 0;
    return count;
  }

  SlotAnswer Acquire(const std::string& id, int left_ms) {
    return this->client.acquire(RequestFor(id, left_ms), [] { return false; });
  }

  InForceHolder in_force;
  http::Address address;
  http::Address offered_from;
  std::atomic<std::int64_t> offered_version{0};
  bool started = false;
  SlotClient client;
  std::unique_ptr<peer::PeerNode> node;
};

/// Which of two daemons dispatches the pool.
struct Roles {
  std::string dispatcher = dispatch::ChooseDispatcher({"d1", "d2"}, "a/0");
  std::string other = dispatcher == "d1" ? "d2" : "d1";
};

}  // namespace

TEST_GROUP(PeerNode){};

// Guards against a single daemon that does not grant a free slot, exceeds the
// limit or does not grant a released slot to the next request.
TEST(PeerNode, GrantsWithinTheLimitAndReusesReleasedSlots) {
  TestNode one("d1", {});
  CHECK(one.started);
  // After a takeover the limits are halved until all entries have reported.
  std::this_thread::sleep_for(Milliseconds{2200});
  const SlotAnswer first = one.Acquire("r1", 1000);
  const SlotAnswer second = one.Acquire("r2", 1000);
  CHECK(first.verdict == SlotVerdict::kGranted);
  CHECK(second.verdict == SlotVerdict::kGranted);
  STRCMP_EQUAL("e1", first.endpoint_id.c_str());
  auto third = std::async(std::launch::async,
                          [&one] { return one.Acquire("r3", 3000); });
  CHECK(third.wait_for(Milliseconds{400}) == std::future_status::timeout);
  one.client.release(first, SlotOutcome{});
  CHECK(third.get().verdict == SlotVerdict::kGranted);
}

// Guards against a request that waits although no endpoint has its item ready.
TEST(PeerNode, RefusesAnItemWithoutACopyAtOnce) {
  TestNode one("d1", {});
  SlotRequest request = RequestFor("r1", 5000);
  request.item = "absent";
  const TimePoint start = Clock::now();
  const SlotAnswer answer = one.client.acquire(request, [] { return false; });
  CHECK(answer.verdict == SlotVerdict::kNoCopy);
  CHECK(answer.retry_after_ms > 0);
  CHECK(Clock::now() < start + Milliseconds{200});
}

// Guards against daemons that do not discover each other, versions and leaving
// endpoints that are not propagated, and demand that does not reach the
// planner.
TEST(PeerNode, SharesSlotsVersionsAndDemandBetweenDaemons) {
  TestNode one("d1", {});
  TestNode two("d2", {one.address});
  TestNode three("d3", {one.address});
  CHECK(Eventually(
      [&] {
        return one.CountUsable() == 3 && two.CountUsable() == 3 &&
               three.CountUsable() == 3;
      },
      6000));
  three.node->SetPlanner(true);
  std::vector<SlotAnswer> granted;
  for (TestNode* node : {&one, &two}) {
    granted.push_back(node->Acquire("r-" + node->address.host, 4000));
    CHECK(granted.back().verdict == SlotVerdict::kGranted);
  }
  // A third grant would exceed the limit, whichever daemon requests it.
  CHECK(three.Acquire("r5", 1200).verdict != SlotVerdict::kGranted);
  CHECK(Eventually(
      [&] {
        const auto demand = three.node->ReportedDemand();
        return demand.size() == 1 && demand[0].item == "m" &&
               demand[0].requests[0] >= 2;
      },
      4000));
  one.node->SetVersion(7, "digest");
  CHECK(Eventually([&] { return three.offered_version == 7; }, 2000));
  one.node->RecordEndpointLeaving("e1");
  CHECK(Eventually(
      [&] { return three.Acquire("r6", 500).verdict == SlotVerdict::kNoCopy; },
      2000));
}

// Guards against slots that cannot be granted after the dispatcher has left.
TEST(PeerNode, HandsOverWhenTheDispatcherLeaves) {
  const Roles roles;
  TestNode leaving(roles.dispatcher, {});
  TestNode staying(roles.other, {leaving.address});
  CHECK(Eventually(
      [&] { return leaving.CountUsable() == 2 && staying.CountUsable() == 2; },
      6000));
  const SlotAnswer held = staying.Acquire("r1", 3000);
  CHECK(held.verdict == SlotVerdict::kGranted);
  leaving.node->SetLeaving();
  CHECK(Eventually([&] { return staying.CountUsable() == 1; }, 2000));
  const TimePoint start = Clock::now();
  const SlotAnswer next = staying.Acquire("r2", 3000);
  CHECK(next.verdict == SlotVerdict::kGranted);
  CHECK(Clock::now() < start + Milliseconds{2500});
  // The slot granted by the former dispatcher still counts towards the limit.
  CHECK(staying.Acquire("r3", 500).verdict != SlotVerdict::kGranted);
}

// Guards against a request that waits until its deadline because its dispatcher
// has died but membership does not suspect it yet.
TEST(PeerNode, UsesTheFallbackShareWithoutADispatcher) {
  const Roles roles;
  TestNode dying(roles.dispatcher, {});
  TestNode staying(roles.other, {dying.address});
  CHECK(Eventually([&] { return staying.CountUsable() == 2; }, 6000));
  dying.node->Stop();
  const TimePoint start = Clock::now();
  CHECK(staying.Acquire("r1", 5000).verdict == SlotVerdict::kGranted);
  CHECK(Clock::now() >= start + Milliseconds{300});
  CHECK(Clock::now() < start + Milliseconds{1000});
  // The share of each of the two daemons is one of the two slots.
  const SlotAnswer second = staying.Acquire("r2", 5000);
  CHECK(second.verdict == SlotVerdict::kQueueFull);
  CHECK(second.retry_after_ms > 0);
}

// Guards against a request that stays queued after its caller has disconnected.
TEST(PeerNode, WithdrawsWhenTheCallerIsGone) {
  TestNode one("d1", {});
  std::this_thread::sleep_for(Milliseconds{2200});
  const SlotAnswer first = one.Acquire("r1", 1000);
  const SlotAnswer second = one.Acquire("r2", 1000);
  const TimePoint gone_at = In(300);
  const SlotAnswer gone = one.client.acquire(
      RequestFor("r3", 5000), [gone_at] { return Clock::now() >= gone_at; });
  CHECK(gone.verdict == SlotVerdict::kCancelledWaiting);
  CHECK(Clock::now() < gone_at + Milliseconds{200});
  one.client.release(first, SlotOutcome{});
  one.client.release(second, SlotOutcome{});
  CHECK(one.Acquire("r4", 1000).verdict == SlotVerdict::kGranted);
}

// Guards against a configuration that cannot be fetched from a peer while the
// platform is down.
TEST(PeerNode, ServesItsConfigurationToPeers) {
  TestNode one("d1", {});
  const auto newer = peer::FetchFromPeer(one.address, 6, In(2000));
  CHECK(newer.has_value());
  CHECK(newer.value().newer);
  CHECK_EQUAL(1U, newer.value().parts.size());
  CHECK_EQUAL(900000U, newer.value().parts[0].text.size());
  const auto same = peer::FetchFromPeer(one.address, 7, In(2000));
  CHECK(same.has_value());
  CHECK_FALSE(same.value().newer);
  CHECK(same.value().parts.empty());
  STRCMP_EQUAL("[]", same.value().placement.c_str());
}

}  // namespace coltsfootvane::peer
