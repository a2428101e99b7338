#include <cstdio>
#include <memory>
#include <string>
#include <vector>

#include "gateway/choice.h"
#include "gateway/endpoint.h"
#include "gateway/traffic.h"
#include "support/gateway_scene.h"
#include "support/prompt_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using gateway::Endpoint;
using gateway::EndpointPtr;
using gateway::Route;
using testing::PromptDay;

TEST_GROUP(LongPrompts){};

/// Guards against long prompts that short ones interrupt again and again, so
/// that they are read several times and neither kind is on time. Each row is
/// the mean of eight days: few and many long prompts, prefixes held or not.
TEST(LongPrompts, BothKindsMeetTheirObjectives) {
  struct Row {
    int report_ms;
    double load;
    bool bursts;
    double min_short, min_long;
  };
  const Row rows[] = {
      {0, 0.5, false, 0.98, 0.98},     {0, 0.5, true, 0.98, 0.94},
      {0, 0.8, false, 0.98, 0.95},     {0, 0.8, true, 0.93, 0.58},
      {0, 1.0, false, 0.84, 0.85},     {0, 1.0, true, 0.87, 0.45},
      {0, 1.3, false, 0.54, 0.8},      {0, 1.3, true, 0.75, 0.33},
      {4000, 0.5, false, 0.98, 0.983}, {4000, 0.5, true, 0.96, 0.87},
      {4000, 0.8, false, 0.78, 0.52},  {4000, 0.8, true, 0.75, 0.33},
      {4000, 1.0, false, 0.63, 0.2},   {4000, 1.3, false, 0.33, 0.06},
  };
  for (const Row& row : rows) {
    double shorts = 0;
    double longs = 0;
    constexpr double kDays = 8;
    for (const unsigned seed : {1U, 2U}) {
      for (const bool held : {false, true}) {
        for (const double long_share : {0.1, 0.3}) {
          const PromptDay day{row.load, long_share, row.bursts,
                              held,     seed,       row.report_ms};
          const testing::PromptOutcome outcome = PlayDay(day, true);
          shorts += outcome.OnTime(0) / kDays;
          longs += outcome.OnTime(1) / kDays;
        }
      }
    }
    char context[120];
    std::snprintf(context, sizeof(context),
                  "reports %d ms load %.1f bursts %d: %.3f %.3f", row.report_ms,
                  row.load, row.bursts ? 1 : 0, shorts, longs);
    CHECK_TEXT(shorts >= row.min_short, context);
    CHECK_TEXT(longs >= row.min_long, context);
  }
}

/// Guards against a rank that reaches engines unchanged.
TEST(LongPrompts, AreSentAsUrgentAsShortOnes) {
  struct Row {
    const char* name;
    int tokens;
    bool met;  ///< Short ones are there.
    const char* urgency;
  };
  const Row rows[] = {{"long", 1800, true, "Request-Priority: 0"},
                      {"short", 628, true, "Request-Priority: 1"},
                      {"no short ones", 1800, false, "Request-Priority: 1"}};
  for (const Row& row : rows) {
    testing::GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.MakeEngines();
    auto table = std::make_shared<gateway::RoutingTable>(*scene.gateway.routes);
    testing::ChangeRoutes(table.get(),
                          [](gateway::Route* route) { route->rank = 1; });
    scene.gateway.routes = table;
    for (int i = 0; row.met && i < 40; ++i)
      RecordPrompt(&scene.gateway.traffic.mixes["s"],
                   {i % 4 == 0 ? 1800 : 628, 300, 0}, BootNow());
    scene.Call(testing::CallerRequest(
                   "/stream/", "Model: m\r\nToken-Usage: " +
                                   std::to_string(row.tokens) + ",10\r\n"),
               Milliseconds(40));
    CHECK_TEXT(testing::Has(scene.received.at(0), row.urgency),
               (row.name + scene.received[0]).c_str());
    CHECK(scene.RunUntil([&scene] { return scene.gateway.exchanges == 0; }));
  }
}

/// Guards against changes where all prompts are of one length.
TEST(LongPrompts, NothingChangesWithoutLongPrompts) {
  for (const int report_ms : {0, 4000}) {
    const PromptDay day{1, 0, false, true, 1, report_ms};
    const testing::PromptOutcome before = PlayDay(day, false);
    const testing::PromptOutcome after = PlayDay(day, true);
    LONGS_EQUAL(before.on_time[0], after.on_time[0]);
    LONGS_EQUAL(before.interrupted, after.interrupted);
  }
}

/// Guards against a long prompt that goes to the engine where it waits least
/// itself and makes many others late.
TEST(LongPrompts, GoWhereTheyDelayNobody) {
  gateway::Traffic traffic;
  for (int i = 0; i < 40; ++i)
    RecordPrompt(&traffic.mixes["s"], {i % 4 == 0 ? 1800 : 628, 450, 0},
                 TimePoint());
  gateway::EngineSpec spec;
  spec.slots = 24;
  std::vector<EndpointPtr> endpoints;
  for (const char* id : {"many streams", "few streams"}) {
    endpoints.push_back(std::make_shared<Endpoint>());
    endpoints.back()->entry.id = id;
    endpoints.back()->entry.service = "s";
    endpoints.back()->entry.models = {{"m", {}}};
  }
  endpoints[0]->peers = {20, 6000, 0, 0};
  endpoints[1]->own = {6, 6700, 0, 0};
  gateway::RequestInfo info;
  info.model = "m";
  gateway::ChoiceInput input;
  input.service = "s";
  input.engine = &spec;
  input.request = &info;
  for (const int report_ms : {0, 4000}) {
    for (const int tokens : {100, 1800}) {
      input.report_age = Milliseconds(report_ms);
      info.prompt_tokens = tokens;
      input.mix = nullptr;
      const auto before = ChooseEndpoint(endpoints, input).endpoint;
      input.mix = MixOf(traffic, "s");
      CHECK(input.mix != nullptr);
      const auto after = ChooseEndpoint(endpoints, input).endpoint;
      const bool moves = report_ms == 0 && tokens == 1800;
      STRCMP_EQUAL((moves ? endpoints[1] : before)->entry.id.c_str(),
                   after->entry.id.c_str());
    }
  }
}
