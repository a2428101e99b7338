#include "gateway/endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using gateway::EndpointEntry;
using gateway::EndpointPtr;

namespace {

EndpointEntry Entry(std::int64_t incarnation) {
  EndpointEntry entry;
  entry.id = "e1";
  entry.incarnation = incarnation;
  entry.models = {{"m", {"a1"}}};
  return entry;
}

constexpr TimePoint kNow{Milliseconds(5'000'000)};

}  // namespace

TEST_GROUP(GatewayEndpoint){};

/// A restarted process does not have the adapters loaded before its restart.
TEST(GatewayEndpoint, RestartedEndpointIsReplaced) {
  gateway::EndpointTable table;
  const EndpointPtr before = UpsertEndpoint(&table, Entry(1));
  before->adapters.insert(gateway::KeyOf("m/a7"));
  CHECK(UpsertEndpoint(&table, Entry(1)) == before);
  CHECK(HoldsAdapter(*before, "m", "a7", kNow));
  const EndpointPtr after = UpsertEndpoint(&table, Entry(2));
  CHECK(after != before);
  CHECK(before->gone);
  CHECK_FALSE(HoldsAdapter(*after, "m", "a7", kNow));
  CHECK(HoldsAdapter(*after, "m", "a1", kNow));
}

/// Guards against a missing adapter that makes its model unavailable to other
/// requests.
TEST(GatewayEndpoint, MissingAdapterDoesNotHideItsModel) {
  struct Row {
    const char* refused_adapter;
    bool holds_model;
    bool holds_adapter;
    bool holds_other_adapter;
  };
  const Row rows[] = {
      {"", false, true, true},
      {"a1", true, false, true},
  };
  for (const Row& row : rows) {
    gateway::EndpointTable table;
    const EndpointPtr endpoint = UpsertEndpoint(&table, Entry(1));
    endpoint->adapters = {gateway::KeyOf("m/a1"), gateway::KeyOf("m/a2")};
    RecordAbsence(endpoint.get(), "m", row.refused_adapter, kNow);
    CHECK_EQUAL(row.holds_model, HoldsModel(*endpoint, "m", kNow));
    CHECK_EQUAL(row.holds_adapter, HoldsAdapter(*endpoint, "m", "a1", kNow));
    CHECK_EQUAL(row.holds_other_adapter,
                HoldsAdapter(*endpoint, "m", "a2", kNow));
    CHECK(HoldsModel(*endpoint, "m", kNow + Milliseconds(10'000)));
  }
}

TEST(GatewayEndpoint, RemovedEndpointsAreMarkedGone) {
  gateway::EndpointTable table;
  const EndpointPtr endpoint = UpsertEndpoint(&table, Entry(1));
  RemoveEndpoint(&table, "e1");
  RemoveEndpoint(&table, "e1");
  CHECK(endpoint->gone);
  CHECK(table.endpoints.empty());
}

TEST(GatewayEndpoint, FailureShareDecays) {
  gateway::Endpoint endpoint;
  DOUBLES_EQUAL(0, FailureShare(endpoint, kNow), 0.001);
  for (int i = 0; i < 6; ++i)
    RecordOutcome(&endpoint, false, kNow);
  const double fresh = FailureShare(endpoint, kNow);
  CHECK(fresh > 0.6);
  CHECK(FailureShare(endpoint, kNow + Milliseconds(20'000)) < fresh / 5);
  for (int i = 0; i < 60; ++i)
    RecordOutcome(&endpoint, true, kNow);
  CHECK(FailureShare(endpoint, kNow) < 0.1);
}

TEST(GatewayEndpoint, EjectionTimeDoublesUntilASuccess) {
  gateway::Endpoint endpoint;
  Eject(&endpoint, kNow);
  const auto first = endpoint.ejected_until - kNow;
  Eject(&endpoint, kNow);
  CHECK(endpoint.ejected_until - kNow == first * 2);
  for (int i = 0; i < 10; ++i)
    Eject(&endpoint, kNow);
  CHECK(endpoint.ejected_until - kNow == first * 8);
  RecordOutcome(&endpoint, true, kNow);
  Eject(&endpoint, kNow);
  CHECK(endpoint.ejected_until - kNow == first);
}

/// The word of an endpoint holds for one start of it: an entry that lapses, or
/// an older view of the store, does not undo it; a new start may be used.
TEST(GatewayEndpoint, StatementsHoldForTheInstanceThatMadeThem) {
  gateway::EndpointTable table;
  const EndpointPtr first = UpsertEndpoint(&table, Entry(1));
  ApplyNotice(first->stated.get(), {true, Milliseconds(500)}, kNow);
  CHECK_FALSE(TakesNewWork(*first));
  CHECK(IsPaused(*first, kNow + Milliseconds(499)));
  CHECK_FALSE(IsPaused(*first, kNow + Milliseconds(500)));
  RemoveEndpoint(&table, "e1");
  const EndpointPtr listed_again = UpsertEndpoint(&table, Entry(1));
  CHECK(listed_again != first);
  CHECK_FALSE(TakesNewWork(*listed_again));
  CHECK(IsPaused(*listed_again, kNow));
  const EndpointPtr restarted = UpsertEndpoint(&table, Entry(2));
  CHECK(TakesNewWork(*restarted));
  CHECK_FALSE(IsPaused(*restarted, kNow));
  CHECK_FALSE(TakesNewWork(*UpsertEndpoint(&table, Entry(1))));
}

/// An answer that arrives after the entry of its endpoint has lapsed counts for
/// the entry that returns.
TEST(GatewayEndpoint, LateAnswersCountForTheEntryThatReturned) {
  gateway::EndpointTable table;
  const EndpointPtr lapsed = UpsertEndpoint(&table, Entry(1));
  RemoveEndpoint(&table, "e1");
  const EndpointPtr returned = UpsertEndpoint(&table, Entry(1));
  ApplyNotice(lapsed->stated.get(), {true, Milliseconds(0)}, kNow);
  CHECK_FALSE(TakesNewWork(*returned));
}

TEST(GatewayEndpoint, OverlappingPausesLastUntilTheLatestEnd) {
  struct Row {
    const char* name;
    Milliseconds at;
    Milliseconds pause;
    bool changed;
    Milliseconds since;
    Milliseconds until;
  };
  using Ms = Milliseconds;
  const Row rows[] = {
      {"first", Ms(0), Ms(1000), true, Ms(0), Ms(1000)},
      {"none stated", Ms(100), Ms(0), false, Ms(0), Ms(1000)},
      {"shorter", Ms(200), Ms(300), false, Ms(0), Ms(1000)},
      {"longer", Ms(300), Ms(1000), true, Ms(0), Ms(1300)},
      {"after it", Ms(2000), Ms(500), true, Ms(2000), Ms(2500)},
  };
  gateway::StatedAvailability stated;
  for (const Row& row : rows) {
    const gateway::NoticeEffect effect =
        ApplyNotice(&stated, {false, row.pause}, kNow + row.at);
    CHECK_EQUAL_TEXT(row.changed, effect.pauses, row.name);
    CHECK_FALSE_TEXT(effect.leaves, row.name);
    CHECK_TEXT(stated.paused_since == kNow + row.since, row.name);
    CHECK_TEXT(stated.paused_until == kNow + row.until, row.name);
  }
}

/// A fleet in which endpoints come and go does not fill the memory, and those
/// in use are not forgotten.
TEST(GatewayEndpoint, OldInstancesAreForgotten) {
  gateway::InstanceMemory memory;
  const auto used = RecallInstance(&memory, {"used", 1});
  used->leaving = true;
  for (std::int64_t i = 0;
       i < 2 * static_cast<std::int64_t>(gateway::kMaxRememberedInstances); ++i)
    RecallInstance(&memory, {"e", i})->leaving = true;
  CHECK(memory.instances.size() <= gateway::kMaxRememberedInstances);
  LONGS_EQUAL(memory.instances.size(), memory.order.size());
  CHECK(RecallInstance(&memory, {"used", 1}) == used);
  CHECK_FALSE(RecallInstance(&memory, {"e", 0})->leaving);
}
