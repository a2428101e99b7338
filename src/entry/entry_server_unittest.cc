#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "support/entry_fixture.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using coltsfootvane::testing::Find;
using coltsfootvane::testing::Fixture;
using nlohmann::json;

/// Returns the event ids of a stream in order, then how the stream ended.
std::string SummarizeStream(const std::string& stream) {
  std::string summary;
  std::istringstream lines(stream);
  for (std::string line; std::getline(lines, line);) {
    if (line.substr(0, 4) == "id: ")
      summary += line.substr(4) + " ";
    if (line == "data: [DONE]")
      summary += "done";
    if (line == "event: error")
      summary += "error";
  }
  return summary;
}

std::string RunField(const http::Response& response) {
  const json body = json::parse(response.body);
  return body["error"]["run"].get<std::string>();
}

}  // namespace

TEST_GROUP(EntryServer){};

// Guards against streams with missing, repeated or reordered events, and
// against an incomplete stream that looks complete.
TEST(EntryServer, StreamsContinueAfterFaults) {
  struct Row {
    const char* name;
    std::function<void(Fixture*)> prepare;
    const char* last_id;
    const char* summary;
    int failures;
  };
  const Row rows[] = {
      {"no fault", [](Fixture*) {}, "", "1 2 3 4 5 done", 0},
      {"caller resumes", [](Fixture*) {}, "3", "4 5 done", 0},
      {"first is cut", [](Fixture* f) { f->e1.cut_after = 2; }, "",
       "1 2 3 4 5 done", 1},
      {"first fails at once", [](Fixture* f) { f->e1.status = 500; }, "",
       "1 2 3 4 5 done", 1},
      {"first does not listen",
       [](Fixture* f) { f->e1.listener.server.reset(); }, "", "1 2 3 4 5 done",
       1},
      {"both are cut",
       [](Fixture* f) {
         f->e1.cut_after = 2;
         f->e2.cut_after = 4;
       },
       // Each copy fails once, then both are retried three times.
       "", "1 2 3 4 error", 8},
      {"the only copy is cut",
       [](Fixture* f) {
         f->slots.endpoints["m1"] = {"e1"};
         f->e1.cut_after = 2;
         f->e1.cut_once = true;
       },
       "", "1 2 3 4 5 done", 1},
      {"preempted",
       [](Fixture* f) {
         f->e1.gap_ms = 20;
         f->slots.preempted_grant = 1;
       },
       "", "1 2 3 4 5 done", 0},
      {"first is leaving",
       [](Fixture* f) {
         f->e1.status = 503;
         f->e1.leaving = true;
       },
       "", "1 2 3 4 5 done", 0},
  };
  for (const Row& row : rows) {
    Fixture fixture;
    row.prepare(&fixture);
    std::vector<http::Header> headers;
    if (*row.last_id != 0)
      headers.push_back({"Last-Event-ID", row.last_id});
    const http::Response response = fixture.Stream(headers);
    LONGS_EQUAL_TEXT(200, response.status, row.name);
    STRCMP_EQUAL_TEXT(row.summary, SummarizeStream(response.body).c_str(),
                      row.name);
    STRCMP_EQUAL("3", Find(response.headers, "X-Seed").c_str());
    fixture.entry->Stop();
    LONGS_EQUAL_TEXT(0, fixture.slots.outstanding, row.name);
    LONGS_EQUAL_TEXT(row.failures, fixture.slots.failures, row.name);
    LONGS_EQUAL_TEXT(fixture.e1.leaving ? 1 : 0, fixture.leaving.count("e1"),
                     row.name);
  }
}

// Guards against X-Leaving being reported only at the end of a long stream.
TEST(EntryServer, LeavingEngineIsReportedWhenItsStreamBegins) {
  Fixture fixture;
  fixture.e1.leaving = true;
  fixture.e1.gap_ms = 400;
  std::thread caller([&fixture] { fixture.Stream({}); });
  std::this_thread::sleep_for(Milliseconds{1000});
  const std::size_t leaving_reports = fixture.leaving.count("e1");
  caller.join();
  LONGS_EQUAL(1, leaving_reports);
}

// Guards against refusals that claim "not run" without proof, or that lack
// Retry-After.
TEST(EntryServer, RefusalsSayWhetherTheRequestRan) {
  struct Row {
    const char* name;
    std::function<void(Fixture*)> prepare;
    bool streamed;
    int status;
    const char* run;
  };
  const Row rows[] = {
      {"no copy", [](Fixture* f) { f->slots.endpoints.clear(); }, true, 503,
       "no"},
      {"no engine listens",
       [](Fixture* f) {
         f->e1.listener.server.reset();
         f->e2.listener.server.reset();
       },
       false, 503, "no"},
      {"engines fail",
       [](Fixture* f) {
         f->e1.status = 500;
         f->e2.status = 500;
       },
       false, 503, "unknown"},
      {"cut before the first event",
       [](Fixture* f) {
         f->e1.cut_after = 0;
         f->e2.cut_after = 0;
       },
       true, 503, "unknown"},
  };
  for (const Row& row : rows) {
    Fixture fixture;
    row.prepare(&fixture);
    const json body = {
        {"model", "m1"}, {"prompt", "x"}, {"stream", row.streamed}};
    const http::Response response =
        fixture.Call("POST", "/v1/completions", body.dump());
    LONGS_EQUAL_TEXT(row.status, response.status, row.name);
    STRCMP_EQUAL_TEXT(row.run, RunField(response).c_str(), row.name);
    STRCMP_EQUAL("2", Find(response.headers, "Retry-After").c_str());
    STRCMP_EQUAL("1500", Find(response.headers, "Retry-After-Ms").c_str());
  }
}

// Guards against retrying a request that the engine rejects, and against
// counting the rejection as a failure of the engine.
TEST(EntryServer, RejectedRequestsAreNotRetried) {
  Fixture fixture;
  fixture.e1.status = 422;
  const http::Response response =
      fixture.Call("POST", "/v1/completions", R"({"model":"m1","prompt":"x"})");
  LONGS_EQUAL(422, response.status);
  STRCMP_EQUAL(R"({"object":"engine"})", response.body.c_str());
  fixture.entry->Stop();
  LONGS_EQUAL(0, fixture.e2.calls);
  LONGS_EQUAL(0, fixture.slots.failures);
}

// Guards against engines that keep generating after the caller disconnected.
TEST(EntryServer, CancelsTheEngineWhenTheCallerGoes) {
  Fixture fixture;
  fixture.e1.tokens = 1000;
  fixture.e1.gap_ms = 5;
  http::CallOptions options;
  options.peer = fixture.address;
  options.connect_deadline = Clock::now() + Milliseconds{2000};
  options.deadline = Clock::now() + Milliseconds{5000};
  http::StreamHandler handler;
  handler.on_data = [](std::string_view) { return false; };
  const auto result =
      http::StreamCall(options,
                       {"POST",
                        "/v1/completions",
                        "",
                        {{"Authorization", "Bearer key1"}},
                        R"({"model":"m1","prompt":"x","stream":true})"},
                       handler);
  CHECK(!result.has_value());
  const TimePoint limit = Clock::now() + Milliseconds{3000};
  while (!fixture.e1.cancelled && Clock::now() < limit)
    std::this_thread::sleep_for(Milliseconds{5});
  CHECK(fixture.e1.cancelled);
}

// Guards against a retry or a repeated call running an irreversible call twice.
TEST(EntryServer, IrreversibleCallsRunOnce) {
  struct Row {
    const char* name;
    std::function<void(Fixture*)> prepare;
    int first;
    int second;
    int calls;
  };
  const Row rows[] = {
      {"replay", [](Fixture*) {}, 201, 201, 1},
      {"response lost", [](Fixture* f) { f->s1.cut = true; }, 409, 409, 1},
      {"first replica is down",
       [](Fixture* f) { f->s1.listener.server.reset(); }, 201, 201, 1},
      {"platform is down",
       [](Fixture* f) { f->platform.listener.server.reset(); }, 503, 503, 0},
      {"no replica", [](Fixture* f) { f->slots.endpoints.clear(); }, 503, 503,
       0},
  };
  for (const Row& row : rows) {
    Fixture fixture;
    row.prepare(&fixture);
    const std::vector<http::Header> key = {{"Idempotency-Key", "k"}};
    const auto first = fixture.Call("POST", "/booking/new", "x", key);
    const auto second = fixture.Call("POST", "/booking/new", "x", key);
    LONGS_EQUAL_TEXT(row.first, first.status, row.name);
    LONGS_EQUAL_TEXT(row.second, second.status, row.name);
    LONGS_EQUAL_TEXT(row.calls, fixture.s1.calls + fixture.s2.calls, row.name);
    if (row.first == 201) {
      STRCMP_EQUAL(first.body.c_str(), second.body.c_str());
      STRCMP_EQUAL("true", Find(second.headers, "Idempotent-Replayed").c_str());
      const auto other = fixture.Call("POST", "/booking/new", "y", key);
      LONGS_EQUAL(422, other.status);
    } else {
      STRCMP_EQUAL(row.first == 409 ? "unknown" : "no",
                   RunField(first).c_str());
      CHECK(!Find(first.headers, "Retry-After").empty());
    }
    fixture.entry->Stop();
    LONGS_EQUAL_TEXT(0, fixture.slots.outstanding, row.name);
  }
}

// Guards against a refusal by a leaving replica using up the idempotency key,
// and against running a call twice at a service that is not declared with
// refuses_when_leaving.
TEST(EntryServer, OnlyDeclaredRefusalsOfLeavingServicesAreRetried) {
  struct Row {
    const char* name;
    bool declared;
    bool leaving;
    int status;  ///< Expected for both calls.
    int calls_of_second;
  };
  const Row rows[] = {
      {"declared", true, true, 201, 1},
      {"declared, without X-Leaving", true, false, 503, 0},
      {"not declared", false, true, 503, 0},
  };
  for (const Row& row : rows) {
    Fixture fixture;
    fixture.refuses_when_leaving = row.declared;
    fixture.SetConfiguration();
    fixture.s1.status = 503;
    fixture.s1.leaving = row.leaving;
    const std::vector<http::Header> key = {{"Idempotency-Key", "k"}};
    for (int repeat = 0; repeat < 2; ++repeat) {
      const auto answer = fixture.Call("POST", "/booking/new", "x", key);
      LONGS_EQUAL_TEXT(row.status, answer.status, row.name);
    }
    LONGS_EQUAL_TEXT(1, fixture.s1.calls, row.name);
    LONGS_EQUAL_TEXT(row.calls_of_second, fixture.s2.calls, row.name);
  }
}

// Guards against retrying a call that is not a read, and against forwarding
// the caller's API key to a service.
TEST(EntryServer, OnlyReadsAreRepeated) {
  Fixture fixture;
  fixture.s1.cut = true;
  const auto read = fixture.Call("GET", "/booking/1", "");
  LONGS_EQUAL(201, read.status);
  STRCMP_EQUAL("counter/", fixture.s2.last_caller.c_str());
  const auto write = fixture.Call("DELETE", "/booking/1", "");
  LONGS_EQUAL(502, write.status);
  STRCMP_EQUAL("unknown", RunField(write).c_str());
  LONGS_EQUAL(2, fixture.s1.calls);
  LONGS_EQUAL(1, fixture.s2.calls);
}

// Guards against an entry listener that accepts more requests than it can
// serve, or that delays refusals.
TEST(EntryServer, RefusesAtOnceWhenFull) {
  Fixture fixture(4, 3);
  fixture.e1.gap_ms = 100;
  std::thread first([&fixture] { fixture.Stream(); });
  const TimePoint limit = Clock::now() + Milliseconds{3000};
  while (fixture.entry->InProgress() == 0 && Clock::now() < limit)
    std::this_thread::sleep_for(Milliseconds{1});
  const auto refused = fixture.Stream();
  first.join();
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("no", RunField(refused).c_str());
  CHECK(fixture.metrics.Text().find("entry_full") != std::string::npos);
}

// Guards against a starting daemon that answers "no such path" for a declared
// path: the caller would not retry.
TEST(EntryServer, RefusesWithRetryAfterWithoutAConfiguration) {
  Fixture fixture;
  fixture.in_force.Set(std::make_shared<InForce>());
  const auto refused = fixture.Call("GET", "/booking/1", "");
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("no", RunField(refused).c_str());
  STRCMP_EQUAL("1", Find(refused.headers, "Retry-After").c_str());
  CHECK(refused.body.find("not_ready") != std::string::npos);
}

// Guards against a draining daemon that refuses requests or keeps connections
// open.
TEST(EntryServer, ServesWhileDraining) {
  Fixture fixture;
  fixture.entry->BeginDrain();
  const auto response = fixture.Call("GET", "/v1/models", "");
  LONGS_EQUAL(200, response.status);
  CHECK(response.body.find("\"m1\"") != std::string::npos);
  STRCMP_EQUAL("close", Find(response.headers, "Connection").c_str());
}

// Guards against a stream interrupted by a stop that looks complete.
TEST(EntryServer, StopEndsStreamsWithAnError) {
  Fixture fixture;
  fixture.e1.tokens = 100;
  fixture.e1.gap_ms = 50;
  http::Response response;
  std::thread caller([&fixture, &response] { response = fixture.Stream(); });
  while (fixture.e1.calls == 0)
    std::this_thread::sleep_for(Milliseconds{1});
  std::this_thread::sleep_for(Milliseconds{100});
  fixture.entry->Stop();
  caller.join();
  CHECK(response.body.find("event: error") != std::string::npos);
  CHECK(response.body.find("[DONE]") == std::string::npos);
}
