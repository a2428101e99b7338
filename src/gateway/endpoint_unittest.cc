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

/// A process that starts again under its id holds nothing of before.
TEST(GatewayEndpoint, RestartUnderTheSameIdForgetsEverything) {
  gateway::EndpointTable table;
  const EndpointPtr before = PutEndpoint(&table, Entry(1));
  before->adapters.insert(gateway::KeyOf("m/a7"));
  CHECK(PutEndpoint(&table, Entry(1)) == before);
  CHECK(HoldsAdapter(*before, "m", "a7", kNow));
  const EndpointPtr after = PutEndpoint(&table, Entry(2));
  CHECK(after != before);
  CHECK(before->gone);
  CHECK_FALSE(HoldsAdapter(*after, "m", "a7", kNow));
  CHECK(HoldsAdapter(*after, "m", "a1", kNow));
}

/// An adapter that was replaced does not take its model away from other
/// requests.
TEST(GatewayEndpoint, RefusedAdaptersLeaveTheModel) {
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
    const EndpointPtr endpoint = PutEndpoint(&table, Entry(1));
    endpoint->adapters = {gateway::KeyOf("m/a1"), gateway::KeyOf("m/a2")};
    NoteAbsence(endpoint.get(), "m", row.refused_adapter, kNow);
    CHECK_EQUAL(row.holds_model, HoldsModel(*endpoint, "m", kNow));
    CHECK_EQUAL(row.holds_adapter, HoldsAdapter(*endpoint, "m", "a1", kNow));
    CHECK_EQUAL(row.holds_other_adapter,
                HoldsAdapter(*endpoint, "m", "a2", kNow));
    CHECK(HoldsModel(*endpoint, "m", kNow + Milliseconds(10'000)));
  }
}

TEST(GatewayEndpoint, RemovedEndpointsAreGoneForThoseWhoHoldThem) {
  gateway::EndpointTable table;
  const EndpointPtr endpoint = PutEndpoint(&table, Entry(1));
  RemoveEndpoint(&table, "e1");
  RemoveEndpoint(&table, "e1");
  CHECK(endpoint->gone);
  CHECK(table.endpoints.empty());
}

TEST(GatewayEndpoint, FailuresWeighByTheirShareAndDecay) {
  gateway::Endpoint endpoint;
  DOUBLES_EQUAL(0, BadShare(endpoint, kNow), 0.001);
  for (int i = 0; i < 6; ++i)
    NoteResult(&endpoint, false, kNow);
  const double fresh = BadShare(endpoint, kNow);
  CHECK(fresh > 0.6);
  CHECK(BadShare(endpoint, kNow + Milliseconds(20'000)) < fresh / 5);
  for (int i = 0; i < 60; ++i)
    NoteResult(&endpoint, true, kNow);
  CHECK(BadShare(endpoint, kNow) < 0.1);
}

TEST(GatewayEndpoint, SuspicionDoublesUntilASuccess) {
  gateway::Endpoint endpoint;
  Suspect(&endpoint, kNow);
  const auto first = endpoint.suspect_until - kNow;
  Suspect(&endpoint, kNow);
  CHECK(endpoint.suspect_until - kNow == first * 2);
  for (int i = 0; i < 10; ++i)
    Suspect(&endpoint, kNow);
  CHECK(endpoint.suspect_until - kNow == first * 8);
  NoteResult(&endpoint, true, kNow);
  Suspect(&endpoint, kNow);
  CHECK(endpoint.suspect_until - kNow == first);
}
