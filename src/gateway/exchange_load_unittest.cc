#include <functional>
#include <string>
#include <vector>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using gateway::EndpointPtr;
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;

namespace {

const std::string kAnswer =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Length: 2\r\n\r\nok";
const std::string kEngineRequest =
    CallerRequest("/safe/", "Model: m\r\nPrompt-Prefix: a:9,b:9,c:9\r\n");

/// A gateway in a large fleet, with a stand-in for the load trackers.
struct LoadScene {
  explicit LoadScene(bool engines) {
    for (const char* id : {"e1", "e2", "e3"})
      this->scene.AddEndpoint(id);
    if (engines)
      this->scene.MakeEngines();
    this->scene.gateway.daemons = 100;
    this->scene.gateway.report_interval = Milliseconds(1600);
    this->scene.answers.assign(3, {kAnswer});
    this->scene.gateway.query_load = [this](gsl::span<const EndpointPtr> asked,
                                            std::function<void()> done) {
      ++this->queries;
      this->pending.push_back(std::move(done));
      if (!this->tracked)
        return;
      for (const EndpointPtr& endpoint : asked) {
        endpoint->peers.running = this->tracked(endpoint->entry.id);
        endpoint->exact_at = BootNow();
      }
      this->pending.back()();
    };
    this->scene.gateway.update_load = [this](const gateway::Endpoint& endpoint,
                                             bool refused) {
      this->updates.push_back(endpoint.entry.id + " " +
                              std::to_string(endpoint.own.running) +
                              (refused ? " refused" : ""));
    };
  }

  GatewayScene scene;
  /// Returns the work of others at an endpoint; no answer if empty.
  std::function<int(const std::string& id)> tracked;
  std::vector<std::function<void()>> pending;
  std::vector<std::string> updates;
  int queries = 0;
};

}  // namespace

TEST_GROUP(ExchangeLoad){};

/// Guards against requests that go to a busy endpoint although its load is
/// known, and against load trackers that are not told of the work.
TEST(ExchangeLoad, RequestsGoToTheLeastBusyEndpoint) {
  for (const bool engines : {false, true}) {
    for (const char* free : {"e1", "e2", "e3"}) {
      LoadScene load(engines);
      load.tracked = [free](const std::string& id) {
        return id == free ? 1 : 7;
      };
      const std::string answer = load.scene.Call(kEngineRequest);
      CHECK_TEXT(Has(answer, "HTTP/1.1 200"), answer.c_str());
      LONGS_EQUAL(1, load.queries);
      CHECK(load.updates.size() >= 2);
      STRCMP_EQUAL((std::string(free) + " 1").c_str(),
                   load.updates.front().c_str());
      STRCMP_EQUAL((std::string(free) + " 0").c_str(),
                   load.updates.back().c_str());
    }
  }
}

/// Guards against a choice that waits for ever, or serves callers that have
/// left, and against queries in small fleets.
TEST(ExchangeLoad, SilentTrackersHoldNobodyUp) {
  {
    LoadScene load(true);
    boost::asio::steady_timer timer(load.scene.io, Milliseconds(8));
    timer.async_wait([&load](const boost::system::error_code&) {
      load.scene.RunUntil([&load] { return !load.pending.empty(); });
      load.pending.front()();
    });
    CHECK(Has(load.scene.Call(kEngineRequest), "HTTP/1.1 200"));
  }
  {
    LoadScene load(true);  // Not even the end of the round is reported.
    CHECK(Has(load.scene.Call(kEngineRequest), "HTTP/1.1 503"));
    LONGS_EQUAL(0, load.scene.received.size());
  }
  {
    LoadScene load(true);
    load.scene.Call(kEngineRequest, Milliseconds(30));
    load.scene.RunUntil([&load] { return load.scene.gateway.exchanges == 0; });
    LONGS_EQUAL(1, load.pending.size());
    load.pending.front()();
    load.scene.io.run_for(Milliseconds(50));
    LONGS_EQUAL(0, load.scene.received.size());
  }
  {
    LoadScene load(true);
    load.scene.gateway.daemons = 19;
    CHECK(Has(load.scene.Call(kEngineRequest), "HTTP/1.1 200"));
    LONGS_EQUAL(0, load.queries);
    LONGS_EQUAL(0, load.updates.size());
  }
}

/// Guards against full endpoints that get more calls, and against calls that
/// are refused though a place becomes free while they could have waited.
TEST(ExchangeLoad, CallsToFullServicesWaitBriefly) {
  struct Row {
    const char* name;
    bool engines;
    int free_after;  ///< Queries until there is room; 0 if there never is.
    const char* expected;
    int min_queries;
  };
  const std::vector<Row> rows = {
      {"plain, always full", false, 0, "HTTP/1.1 503", 2},
      {"plain, free after a wait", false, 2, "HTTP/1.1 200", 2},
      {"engines, full", true, 0, "HTTP/1.1 503", 1},
  };
  for (const Row& row : rows) {
    LoadScene load(row.engines);
    load.tracked = [&load, &row](const std::string&) {
      if (row.free_after > 0 && load.queries >= row.free_after)
        return 0;
      return row.engines ? 90 : 25;
    };
    const std::string answer = load.scene.Call(kEngineRequest);
    CHECK_TEXT(Has(answer, row.expected), row.name);
    CHECK_TEXT(load.queries >= row.min_queries, row.name);
    CHECK_TEXT(load.queries <= 4, row.name);
    CHECK_TEXT(Has(answer, "503") == Has(answer, "Retry-After"), row.name);
    LONGS_EQUAL_TEXT(Has(answer, "200") ? 1 : 0, load.scene.received.size(),
                     row.name);
  }
}
