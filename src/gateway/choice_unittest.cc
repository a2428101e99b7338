#include "gateway/choice.h"

#include <random>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using gateway::ChoiceVerdict;
using gateway::EndpointPtr;

namespace {

struct Fleet {
  std::vector<EndpointPtr> endpoints;
  gateway::EngineSpec engine;
  bool is_engine_service = true;  ///< Otherwise a plain service.
  gateway::RequestInfo request;
  std::set<std::string> excluded;
  TimePoint now{Milliseconds(1'000'000)};

  Fleet() {
    this->engine.slots = 64;
    this->request.model = "m";
    this->request.prompt_tokens = 800;
    this->request.prompt = {{1, 100}, {2, 100}, {3, 600}};
  }

  EndpointPtr Add(const char* id, const char* model = "m") {
    auto endpoint = std::make_shared<gateway::Endpoint>();
    endpoint->entry.id = id;
    endpoint->entry.service = "s";
    endpoint->entry.data_centre = "dc";
    endpoint->entry.models = {{model, {}}};
    endpoint->key = gateway::KeyOf(id);
    this->endpoints.push_back(endpoint);
    return endpoint;
  }

  gateway::Choice Choose(std::uint64_t jitter_seed = 1,
                         Milliseconds report_age = Milliseconds(0)) const {
    gateway::ChoiceInput input;
    input.service = "s";
    input.engine = this->is_engine_service ? &this->engine : nullptr;
    input.request = &this->request;
    input.data_centre = "dc";
    input.excluded = &this->excluded;
    input.now = this->now;
    input.report_age = report_age;
    input.jitter_seed = jitter_seed;
    return ChooseEndpoint(this->endpoints, input);
  }
};

}  // namespace

TEST_GROUP(Choice){};

TEST(Choice, EndpointsThatMayNotBeUsedAreNeverChosen) {
  struct Row {
    const char* name;
    void (*change)(Fleet*, gateway::Endpoint*);
    ChoiceVerdict verdict;
  };
  const Row rows[] = {
      {"draining",
       [](Fleet*, gateway::Endpoint* e) { e->entry.draining = true; },
       ChoiceVerdict::kNoEndpoint},
      {"gone", [](Fleet*, gateway::Endpoint* e) { e->gone = true; },
       ChoiceVerdict::kNoEndpoint},
      {"leaving by its own word",
       [](Fleet*, gateway::Endpoint* e) { e->stated->leaving = true; },
       ChoiceVerdict::kNoEndpoint},
      {"paused",
       [](Fleet* f, gateway::Endpoint* e) {
         e->stated->paused_until = f->now + Milliseconds(1);
       },
       ChoiceVerdict::kPaused},
      {"paused and tried before",
       [](Fleet* f, gateway::Endpoint* e) {
         e->stated->paused_until = f->now + Milliseconds(1);
         f->excluded.insert(e->entry.id);
       },
       ChoiceVerdict::kPaused},
      {"paused and without the model",
       [](Fleet* f, gateway::Endpoint* e) {
         e->stated->paused_until = f->now + Milliseconds(1);
         e->entry.models.clear();
       },
       ChoiceVerdict::kNoModel},
      {"paused and leaving",
       [](Fleet* f, gateway::Endpoint* e) {
         e->stated->paused_until = f->now + Milliseconds(1);
         e->stated->leaving = true;
       },
       ChoiceVerdict::kNoEndpoint},
      {"after its pause",
       [](Fleet* f, gateway::Endpoint* e) { e->stated->paused_until = f->now; },
       ChoiceVerdict::kChosen},
      {"of another service",
       [](Fleet*, gateway::Endpoint* e) { e->entry.service = "t"; },
       ChoiceVerdict::kNoEndpoint},
      {"tried before",
       [](Fleet* f, gateway::Endpoint* e) { f->excluded.insert(e->entry.id); },
       ChoiceVerdict::kNoEndpoint},
      {"without the model",
       [](Fleet*, gateway::Endpoint* e) { e->entry.models.clear(); },
       ChoiceVerdict::kNoModel},
      {"about to unload the model",
       [](Fleet*, gateway::Endpoint* e) {
         e->retiring.insert(gateway::KeyOf("m"));
       },
       ChoiceVerdict::kNoModel},
      {"has just refused the model",
       [](Fleet* f, gateway::Endpoint* e) {
         e->absent_until["m"] = f->now + Milliseconds(1);
       },
       ChoiceVerdict::kNoModel},
      {"without the adapter",
       [](Fleet* f, gateway::Endpoint*) { f->request.adapter = "a1"; },
       ChoiceVerdict::kNoAdapter},
      {"with the adapter",
       [](Fleet* f, gateway::Endpoint* e) {
         f->request.adapter = "a1";
         e->adapters.insert(gateway::KeyOf("m/a1"));
       },
       ChoiceVerdict::kChosen},
      {"suspect, but the only one",
       [](Fleet* f, gateway::Endpoint* e) {
         e->ejected_until = f->now + Milliseconds(1000);
       },
       ChoiceVerdict::kChosen},
  };
  for (const Row& row : rows) {
    Fleet fleet;
    const EndpointPtr endpoint = fleet.Add("e1");
    row.change(&fleet, endpoint.get());
    CHECK_TEXT(row.verdict == fleet.Choose().verdict, row.name);
  }
}

/// One engine is worse than the other: more prompt tokens to process, more
/// requests than slots, or recent failures.
TEST(Choice, AvoidsTheMoreLoadedOrFailingEngine) {
  struct Row {
    const char* name;
    void (*change)(Fleet*, gateway::Endpoint*);
  };
  const Row rows[] = {
      {"prompts of this daemon",
       [](Fleet*, gateway::Endpoint* e) { e->own.prompt_tokens = 5000; }},
      {"prompts of other daemons",
       [](Fleet*, gateway::Endpoint* e) { e->peers.prompt_tokens = 5000; }},
      {"all slots taken",
       [](Fleet*, gateway::Endpoint* e) { e->peers.running = 70; }},
      {"suspect",
       [](Fleet* f, gateway::Endpoint* e) {
         e->ejected_until = f->now + Milliseconds(1000);
       }},
      {"failing for other daemons",
       [](Fleet*, gateway::Endpoint* e) { e->peer_failures = 5; }},
      // Guards against an endpoint that refuses at once, so that it has no
      // work, and attracts all requests.
      {"refuses, though it has no work",
       [](Fleet* f, gateway::Endpoint* e) { RecordRefusal(e, f->now); }},
  };
  for (const Row& row : rows) {
    for (std::uint64_t jitter_seed = 1; jitter_seed < 50; ++jitter_seed) {
      Fleet fleet;
      const EndpointPtr worse = fleet.Add("e1");
      const EndpointPtr other = fleet.Add("e2");
      row.change(&fleet, worse.get());
      CHECK_TEXT(fleet.Choose(jitter_seed).endpoint == other, row.name);
    }
  }
}

/// Guards against chance that hides a failing endpoint.
TEST(Choice, AvoidsFailingEnginesAtAnyReportAge) {
  struct Row {
    const char* name;
    void (*change)(Fleet*, gateway::Endpoint*);
  };
  const Row rows[] = {
      {"suspect",
       [](Fleet* f, gateway::Endpoint* e) {
         e->ejected_until = f->now + Milliseconds(1000);
       }},
      {"failing for other daemons",
       [](Fleet*, gateway::Endpoint* e) { e->peer_failures = 5; }},
  };
  constexpr Milliseconds kOldest{10'000};
  std::mt19937_64 random(20261204);
  for (const Row& row : rows) {
    for (int i = 0; i < 200; ++i) {
      Fleet fleet;
      const EndpointPtr worse = fleet.Add("e1");
      const EndpointPtr other = fleet.Add("e2");
      row.change(&fleet, worse.get());
      CHECK_TEXT(fleet.Choose(random(), kOldest).endpoint == other, row.name);
    }
  }
}

/// An engine that was full at the last reports gets no requests while these are
/// fresh, and later no more than its share of what all can begin until the next
/// reports. Guards against every daemon sending everything to the other one.
TEST(Choice, FullEnginesGetWhatTheyCanBeginUntilTheNextReports) {
  constexpr double kSlots = 64;
  constexpr int kDraws = 2000;
  std::mt19937_64 random(20261204);
  for (const int age_ms : {0, 250, 375, 1000, 3400, 10'000}) {
    const bool fresh = age_ms * 4 <= gateway::kDefaultRunMs;
    const double ends = fresh ? 0 : age_ms / gateway::kDefaultRunMs * kSlots;
    int chosen = 0;
    for (int i = 0; i < kDraws; ++i) {
      Fleet fleet;
      const EndpointPtr full = fleet.Add("e1");
      fleet.Add("e2");
      full->peers.running = static_cast<int>(kSlots);
      const auto choice = fleet.Choose(random(), Milliseconds(age_ms));
      chosen += choice.endpoint == full ? 1 : 0;
    }
    CHECK_TEXT(chosen <= kDraws * ends / (kSlots + 2 * ends),
               std::to_string(age_ms).c_str());
  }
}

/// Requests that share a prompt go to the same engine, whichever daemon sends
/// them, as long as the loads are equal.
TEST(Choice, SharedPromptsGoToOneEngine) {
  Fleet fleet;
  fleet.request.prompt = {{1, 100}, {2, 600}, {3, 100}};
  for (const char* id : {"e1", "e2", "e3", "e4"})
    fleet.Add(id);
  const EndpointPtr first = fleet.Choose(1).endpoint;
  for (std::uint64_t jitter_seed = 2; jitter_seed < 50; ++jitter_seed)
    CHECK(fleet.Choose(jitter_seed).endpoint == first);
}

/// Guards against all daemons choosing the endpoint that is the least loaded in
/// the reports that they share.
TEST(Choice, SpreadsMoreWithOlderReports) {
  struct Row {
    const char* name;
    bool is_engine_service;
    Milliseconds report_age;
    int least;  ///< Of 200 choices, of the endpoint that is 10 ms slower.
    int most;
  };
  const Row rows[] = {
      {"engines, fresh", true, Milliseconds(0), 0, 0},
      {"engines, a few daemons", true, Milliseconds(250), 0, 0},
      {"engines, a hundred daemons", true, Milliseconds(1000), 60, 100},
      {"service, fresh", false, Milliseconds(0), 0, 0},
      {"service, a few daemons", false, Milliseconds(250), 30, 80},
      {"service, a hundred daemons", false, Milliseconds(1000), 60, 100},
  };
  for (const Row& row : rows) {
    Fleet fleet;
    fleet.is_engine_service = row.is_engine_service;
    fleet.request.prompt.clear();
    const EndpointPtr worse = fleet.Add("e1");
    fleet.Add("e2");
    for (const EndpointPtr& endpoint : fleet.endpoints)
      endpoint->entry.slots = 6;
    worse->peers.prompt_tokens =
        static_cast<int>(10 * gateway::kPromptTokensPerMs);
    if (!row.is_engine_service)
      worse->peers.running = 6;  // One call is queued.
    int chosen = 0;
    std::mt19937_64 random(20261204);
    for (int i = 0; i < 200; ++i)
      chosen +=
          fleet.Choose(random(), row.report_age).endpoint == worse ? 1 : 0;
    CHECK_TEXT(chosen >= row.least && chosen <= row.most, row.name);
  }
}

/// Compares with a choice by the expected wait alone. Without failures and
/// within one data centre the wait is longer by the jitter at most.
TEST(Choice, WaitIsWithinJitterOfTheLeast) {
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 500; ++round) {
    Fleet fleet;
    for (const char* id : {"e1", "e2", "e3", "e4", "e5"}) {
      const EndpointPtr endpoint = fleet.Add(id);
      endpoint->own.prompt_tokens = static_cast<int>(random() % 20'000);
      endpoint->peers.running = static_cast<int>(random() % 90);
    }
    double least = 1e9;
    for (const EndpointPtr& endpoint : fleet.endpoints) {
      least = std::min(least,
                       ExpectedWaitMs(*endpoint, &fleet.engine,
                                      TokensToPrefill(fleet.request, false)));
    }
    constexpr double kJitterMs = 3;
    CHECK(fleet.Choose(random()).wait_ms <= least + kJitterMs);
  }
}

/// Callers that no endpoint serves now are told of the pause that ends first.
TEST(Choice, NamesThePauseThatEndsFirst) {
  Fleet fleet;
  const int pauses_ms[] = {300, 100, 200};
  const char* const ids[] = {"e1", "e2", "e3"};
  for (int i = 0; i < 3; ++i) {
    const EndpointPtr endpoint = fleet.Add(ids[i]);
    endpoint->stated->paused_since = fleet.now - Milliseconds(pauses_ms[i]);
    endpoint->stated->paused_until = fleet.now + Milliseconds(pauses_ms[i]);
  }
  const gateway::Choice choice = fleet.Choose();
  CHECK(choice.verdict == ChoiceVerdict::kPaused);
  CHECK(choice.paused_until == fleet.now + Milliseconds(100));
  CHECK(choice.paused_since == fleet.now - Milliseconds(100));
}

/// An adapter is loaded where it can be while the engine that has it is paused.
TEST(Choice, AsksForAnAdapterWhileItsEngineIsPaused) {
  Fleet fleet;
  fleet.request.adapter = "a1";
  const EndpointPtr paused = fleet.Add("e1");
  paused->adapters.insert(gateway::KeyOf("m/a1"));
  paused->stated->paused_until = fleet.now + Milliseconds(1000);
  CHECK(fleet.Choose().verdict == ChoiceVerdict::kPaused);
  fleet.Add("e2");
  CHECK(fleet.Choose().verdict == ChoiceVerdict::kNoAdapter);
}

/// Guards against a choice without an endpoint, which ended the process: the
/// outcomes that others report may make no sense.
TEST(Choice, SenselessOutcomesOfPeersLeaveAnEndpointToChoose) {
  const int counts[] = {-100, -4, -3, -2, 0, 1'000'000};
  for (const int failures : counts) {
    for (const int successes : counts) {
      for (const int report_age_ms : {0, 2500}) {
        Fleet fleet;
        const EndpointPtr endpoint = fleet.Add("e1");
        endpoint->peer_failures = failures;
        endpoint->peer_successes = successes;
        const double share = FailureShare(*endpoint, fleet.now);
        CHECK(share >= 0 && share <= 1);
        const gateway::Choice choice =
            fleet.Choose(1, Milliseconds(report_age_ms));
        CHECK(choice.verdict == ChoiceVerdict::kChosen);
        CHECK(choice.endpoint == endpoint);
      }
    }
  }
}
