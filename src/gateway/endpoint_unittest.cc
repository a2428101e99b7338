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
  CHECK(HoldsAdapter(*before, "m", "a7"));
  const EndpointPtr after = PutEndpoint(&table, Entry(2));
  CHECK(after != before);
  CHECK(before->gone);
  CHECK_FALSE(HoldsAdapter(*after, "m", "a7"));
  CHECK(HoldsAdapter(*after, "m", "a1"));
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
