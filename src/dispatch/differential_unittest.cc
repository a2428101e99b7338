#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "dispatch/pool_state.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::dispatch {
namespace {

const TimePoint kStart{std::chrono::hours{1}};
constexpr int kItems = 4;
constexpr int kCallers = 3;

struct ReferenceRequest {
  std::string id;
  std::string item;
  std::string caller;
  int priority = 0;
};

/// Reference model of the rules that keeps no derived state that could become
/// stale: turns are found by searching the history of grants.
struct Reference {
  std::map<std::string, std::vector<std::string>, std::less<>> holders;
  std::map<std::string, int> limits;
  std::array<double, kPriorityCount> shares{};
  std::array<double, kPriorityCount> deficits{};
  std::map<std::string, std::string> running;  ///< Endpoint by request id.
  std::vector<ReferenceRequest> waiting;       ///< By arrival.
  std::vector<ReferenceRequest> history;       ///< Grants in order.

  int InUse(const std::string& endpoint) const {
    int count = 0;
    for (const auto& [id, used] : this->running)
      count += used == endpoint ? 1 : 0;
    return count;
  }

  std::string FreeEndpoint(const std::string& item) const {
    std::string best;
    for (const std::string& id : this->holders.at(item)) {
      const int limit = this->limits.at(id);
      if (this->InUse(id) >= limit)
        continue;
      if (best.empty() ||
          this->InUse(id) * this->limits.at(best) < this->InUse(best) * limit)
        best = id;
    }
    return best;
  }

  template <class Match>
  std::size_t LastTurn(int priority, Match match) const {
    for (std::size_t i = this->history.size(); i > 0; --i) {
      const ReferenceRequest& one = this->history[i - 1];
      if (one.priority == priority && match(one))
        return i;
    }
    return 0;
  }

  int FindBest(int priority) const {
    int best = -1;
    std::pair<std::size_t, std::size_t> best_turns;
    for (std::size_t i = 0; i < this->waiting.size(); ++i) {
      const ReferenceRequest& one = this->waiting[i];
      if (one.priority != priority || this->FreeEndpoint(one.item).empty())
        continue;
      const std::pair<std::size_t, std::size_t> turns{
          this->LastTurn(priority,
                         [&](const auto& x) { return x.item == one.item; }),
          this->LastTurn(
              priority, [&](const auto& x) { return x.caller == one.caller; })};
      if (best >= 0 && best_turns <= turns)
        continue;
      best = static_cast<int>(i);
      best_turns = turns;
    }
    return best;
  }

  void Start(const ReferenceRequest& request) {
    this->running[request.id] = this->FreeEndpoint(request.item);
    this->history.push_back(request);
    for (int i = 0; i < static_cast<int>(kPriorityCount); ++i) {
      const bool waits =
          std::any_of(this->waiting.begin(), this->waiting.end(),
                      [i](const auto& one) { return one.priority == i; });
      double& deficit = this->deficits[static_cast<std::size_t>(i)];
      deficit -= i == request.priority ? 1 : 0;
      deficit = waits ? deficit + this->shares[static_cast<std::size_t>(i)] : 0;
      deficit = std::min(8.0, std::max(0.0, deficit));
    }
  }

  /// Returns the index of the next request, or -1.
  int FindNext() const {
    for (int i = 0; i < static_cast<int>(kPriorityCount); ++i) {
      const int best = this->FindBest(i);
      if (this->deficits[static_cast<std::size_t>(i)] >= 1 && best >= 0)
        return best;
    }
    for (int i = 0; i < static_cast<int>(kPriorityCount); ++i) {
      const int best = this->FindBest(i);
      if (best >= 0)
        return best;
    }
    return -1;
  }

  std::vector<std::string> GrantAll() {
    std::vector<std::string> granted;
    for (int next = this->FindNext(); next >= 0; next = this->FindNext()) {
      const ReferenceRequest request =
          this->waiting[static_cast<std::size_t>(next)];
      this->waiting.erase(this->waiting.begin() + next);
      this->Start(request);
      granted.push_back(request.id);
    }
    return granted;
  }
};

struct Comparison {
  PoolState pool;
  Reference reference;
  std::vector<std::pair<std::string, std::uint64_t>> running;
};

Comparison MakeComparison(std::mt19937_64& random) {
  Comparison comparison;
  const auto number = [&random](int low, int high) {
    return std::uniform_int_distribution<int>(low, high)(random);
  };
  const int endpoints = number(1, 4);
  for (int i = 0; i < endpoints; ++i) {
    const std::string id = "e" + std::to_string(i);
    EndpointState& endpoint = comparison.pool.endpoints[id];
    endpoint.id = id;
    endpoint.slots = number(1, 3);
    endpoint.limit.limit = endpoint.slots;
    comparison.reference.limits[id] = endpoint.slots;
  }
  for (int item = 0; item < kItems; ++item) {
    auto& holders = comparison.pool.holders["m" + std::to_string(item)];
    for (int i = 0; i < endpoints; ++i) {
      if (i == item % endpoints || number(0, 1) == 1)
        holders.push_back("e" + std::to_string(i));
    }
  }
  comparison.reference.holders = comparison.pool.holders;
  for (std::size_t i = 1; i < kPriorityCount; ++i) {
    const double share = number(0, 3) * 0.125;
    comparison.pool.classes[i].settings.minimum_share = share;
    comparison.reference.shares[i] = share;
  }
  return comparison;
}

void Arrive(Comparison& comparison, std::mt19937_64& random, int serial) {
  ReferenceRequest one;
  one.id = "r" + std::to_string(serial);
  one.item = "m" + std::to_string(random() % kItems);
  one.caller = "c" + std::to_string(random() % kCallers);
  one.priority = static_cast<int>(random() % kPriorityCount);
  SlotRequest request;
  request.request_id = one.id;
  request.item = one.item;
  request.caller = one.caller;
  request.priority = static_cast<Priority>(one.priority);
  request.deadline = kStart + std::chrono::hours{1};
  const auto answer = RequestSlot(comparison.pool, "entry", request, kStart);
  const std::string free_endpoint = comparison.reference.FreeEndpoint(one.item);
  CHECK_EQUAL(!free_endpoint.empty(), answer.has_value());
  if (!answer) {
    comparison.reference.waiting.push_back(one);
    return;
  }
  STRCMP_EQUAL(free_endpoint.c_str(), answer->endpoint_id.c_str());
  comparison.reference.Start(one);
  comparison.running.emplace_back(one.id, answer->grant_id);
}

void Finish(Comparison& comparison, std::mt19937_64& random) {
  if (comparison.running.empty())
    return;
  const std::size_t index = random() % comparison.running.size();
  const auto [id, grant_id] = comparison.running[index];
  comparison.running.erase(comparison.running.begin() +
                           static_cast<std::ptrdiff_t>(index));
  ReleaseSlot(comparison.pool, grant_id, SlotOutcome{}, kStart);
  comparison.reference.running.erase(id);
  const auto grants = NextGrants(comparison.pool, kStart);
  const auto expected = comparison.reference.GrantAll();
  CHECK_EQUAL(expected.size(), grants.size());
  for (std::size_t i = 0; i < grants.size(); ++i) {
    STRCMP_EQUAL(expected[i].c_str(), grants[i].request_id.c_str());
    comparison.running.emplace_back(grants[i].request_id,
                                    grants[i].answer.grant_id);
  }
}

void CheckInvariants(Comparison& comparison) {
  for (const auto& [id, endpoint] : comparison.pool.endpoints) {
    CHECK(static_cast<int>(endpoint.granted.size()) <=
          CurrentLimit(comparison.pool, endpoint, kStart));
  }
  for (const ClassState& state : comparison.pool.classes) {
    for (const WaitingRequest& one : state.waiting)
      CHECK(ChooseEndpoint(comparison.pool, one.request, kStart) == nullptr);
  }
}

}  // namespace

TEST_GROUP(DispatchDifferential){};

// Guards against decisions that differ from the reference model, more calls
// than a limit allows, and free slots that a waiting request could use.
TEST(DispatchDifferential, GrantsMatchTheReferenceModel) {
  const char* given = std::getenv("TEST_SEED");
  const std::uint64_t seed =
      given != nullptr ? std::strtoull(given, nullptr, 10) : 20261204;
  std::printf("seed=%llu ", static_cast<unsigned long long>(seed));
  std::mt19937_64 random(seed);
  for (int run = 0; run < 300; ++run) {
    Comparison comparison = MakeComparison(random);
    for (int step = 0; step < 120; ++step) {
      if (random() % 2 == 0)
        Arrive(comparison, random, step);
      else
        Finish(comparison, random);
      CheckInvariants(comparison);
    }
  }
}

}  // namespace coltsfootvane::dispatch
