#include "gateway/traffic.h"
#include "gateway/choice.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Traffic){};

/// Guards against a wait that is estimated for requests of another length.
TEST(Traffic, LearnsHowLongRequestsRun) {
  gateway::Traffic traffic;
  DOUBLES_EQUAL(gateway::kDefaultRunMs, RunMs(traffic, "s"), 0);
  for (int i = 0; i < 200; ++i)
    RecordRun(&traffic, "s", 400);
  DOUBLES_EQUAL(400, RunMs(traffic, "s"), 1);
  DOUBLES_EQUAL(gateway::kDefaultRunMs, RunMs(traffic, "t"), 0);
}

/// Engines run fewer requests at once than they have slots if the requests are
/// long: their memory is full before. Guards against an expected wait that
/// counts free slots which no request can begin in.
TEST(Traffic, LongRequestsFillTheMemoryOfEnginesBeforeTheirSlots) {
  struct Row {
    const char* name;
    int prompt_tokens;
    int output_tokens;
    std::int64_t memory_tokens;
    int at_once;
  };
  const Row rows[] = {{"not declared", 1800, 200, 0, 96},
                      {"short requests", 300, 50, 94'000, 96},
                      {"long requests", 1800, 200, 94'000, 47},
                      {"longer than the memory", 100'000, 0, 94'000, 1}};
  for (const Row& row : rows) {
    gateway::Traffic traffic;
    gateway::RequestInfo request;
    request.prompt_tokens = row.prompt_tokens;
    request.output_tokens = row.output_tokens;
    for (int i = 0; i < 10; ++i)
      RecordSize(&traffic, "s", request);
    gateway::EngineSpec engine;
    engine.slots = 96;
    engine.memory_tokens = row.memory_tokens;
    gateway::TypicalRequest typical;
    typical.tokens = RequestTokens(traffic, "s");
    LONGS_EQUAL_TEXT(row.at_once, RequestsAtOnce(engine, typical), row.name);
    gateway::Endpoint endpoint;
    endpoint.own.running = row.at_once - 1;
    const double last_in = ExpectedWaitMs(endpoint, &engine, 0, typical);
    ++endpoint.own.running;
    const double first_out = ExpectedWaitMs(endpoint, &engine, 0, typical);
    const double turn_ms = typical.run_ms / row.at_once;
    CHECK_TEXT(first_out - last_in > turn_ms * 0.9, row.name);
  }
}
