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
    RecordRun(&traffic, "s", 400, 100);
  DOUBLES_EQUAL(400, RunMs(traffic, "s"), 1);
  DOUBLES_EQUAL(gateway::kDefaultRunMs, RunMs(traffic, "t"), 0);
}

/// Guards against too few copies of models whose streams generate many tokens
/// on engines with few slots: their work was counted as in a large batch.
TEST(Traffic, CountsGeneratedTokensByTheSlotsOfAnEngine) {
  struct Row {
    const char* name;
    double run_ms;
    int output_tokens;
    int slots;
    double token_ms;
  };
  for (const Row& row :
       {Row{"few slots", 1800, 300, 12, 0.5}, Row{"many", 1800, 300, 64, 0.15},
        Row{"not stated", 1800, 0, 12, 0.15}}) {
    gateway::Traffic traffic;
    RecordRun(&traffic, "s", row.run_ms, row.output_tokens);
    DOUBLES_EQUAL_TEXT(row.token_ms, OutputTokenMs(traffic, "s", row.slots),
                       0.001, row.name);
    DOUBLES_EQUAL_TEXT(0.15, OutputTokenMs(traffic, "t", row.slots), 0,
                       row.name);
  }
  gateway::RequestInfo request;
  request.model = "m";
  request.prompt_tokens = 600;
  request.output_tokens = 300;
  gateway::Traffic plain;
  gateway::Traffic weighed;
  const TimePoint now{Milliseconds(1000)};
  RecordDemand(&plain, request, 0.15, now);
  RecordDemand(&weighed, request, 0.5, now);
  DOUBLES_EQUAL(170.0 / 65,
                weighed.demand["m"].ms_per_s / plain.demand["m"].ms_per_s,
                0.001);
}
