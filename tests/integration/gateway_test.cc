#include <signal.h>

#include <string>

#include "platform_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::PlatformSite;

namespace {

int StatusOf(const Result<net::WholeResponse>& response) {
  return response ? response.value().head.status : 0;
}

void StartSite(PlatformSite* site) {
  site->engine_models = {"m1"};
  site->PutConfig(1);
  site->Announce();
  site->daemon.Start();
  CHECK_TEXT(site->daemon.AwaitReady(),
             site->daemon.process->DescribeEnd().c_str());
}

}  // namespace

TEST_GROUP(Gateway){};

// The whole path through the real process: each kind of request, a model and an
// adapter that are loaded by orders.
TEST(Gateway, ServesEachKindOfRequest) {
  PlatformSite site;
  StartSite(&site);
  struct Row {
    const char* path;
    net::Fields fields;
    int status;
    const char* body;
  };
  const Row rows[] = {
      {"/safe/1", {}, 200, "booked"},
      {"/unsafe/1", {}, 200, "booked"},
      {"/none/1", {}, 404, ""},
      {"/chat/1",
       {{"Model", "m1"}, {"Token-Usage", "100,10"}},
       200,
       "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"},
  };
  for (const Row& row : rows) {
    const auto response = site.Call(row.path, row.fields);
    LONGS_EQUAL_TEXT(row.status, StatusOf(response), row.path);
    STRCMP_EQUAL(row.body, response.value().body.c_str());
  }
  CHECK_TEXT(
      site.RunUntil([&site] { return site.engine_models.count("m2") == 1; },
                    10'000),
      "the declared model without a copy was not loaded");
  CHECK_TEXT(
      site.RunUntil(
          [&site] {
            return StatusOf(site.Call("/chat/2", {{"Model", "m1/a2"}})) == 200;
          },
          10'000),
      "the adapter was not loaded on request");
  CHECK(site.engine_models.count("m1/a2") == 1);
}

// A configuration is in force soon and is never reverted, also not by an older
// one in the store or after an outage.
TEST(Gateway, ConfigurationsApplyAndNeverRevert) {
  PlatformSite site;
  StartSite(&site);
  const auto knows = [&site](const char* path) {
    return StatusOf(site.Call(path)) == 200;
  };
  CHECK_FALSE(knows("/extra4/x"));
  site.PutConfig(5);
  constexpr int kInForceMs = 2000;
  CHECK(site.RunUntil([&] { return knows("/extra4/x"); }, kInForceMs));
  site.PutConfig(2);
  site.RunUntil([] { return false; }, kInForceMs);
  CHECK(knows("/extra4/x"));
  site.store.faults.unavailable = true;
  site.Announce();
  site.RunUntil([] { return false; }, 500);
  CHECK(knows("/extra4/x"));
  site.PutConfig(7);
  site.store.faults.unavailable = false;
  CHECK(site.RunUntil([&] { return knows("/extra6/x"); }, 5000));
  LONGS_EQUAL(200, site.daemon.Ready());
}

// A draining endpoint gets no request once that is known; the callers are told
// at once that nothing has run.
TEST(Gateway, DrainingEndpointsGetNoRequest) {
  PlatformSite site;
  StartSite(&site);
  LONGS_EQUAL(200, StatusOf(site.Call("/unsafe/1")));
  site.Announce("draining");
  constexpr int kDrainMs = 2000;
  CHECK(site.RunUntil(
      [&site] { return StatusOf(site.Call("/unsafe/1")) == 503; }, kDrainMs));
  const int requests = site.service_requests;
  for (int i = 0; i < 10; ++i)
    LONGS_EQUAL(503, StatusOf(site.Call("/unsafe/1")));
  LONGS_EQUAL(requests, site.service_requests);
  site.Announce();
  CHECK(site.RunUntil(
      [&site] { return StatusOf(site.Call("/unsafe/1")) == 200; }, 3000));
}

// A planned stop completes what is in progress, tells the ingress at once and
// ends with success before the process would be killed.
TEST(Gateway, StopsGracefully) {
  PlatformSite site;
  StartSite(&site);
  site.service_time = Milliseconds(1500);
  boost::asio::steady_timer stop(site.io);
  stop.expires_after(Milliseconds(300));
  stop.async_wait([&site](const boost::system::error_code&) {
    site.daemon.process->Signal(SIGTERM);
  });
  const auto response = site.Call("/unsafe/1");
  LONGS_EQUAL(200, StatusOf(response));
  CHECK(net::HasToken(response.value().head.fields, "connection", "close"));
  LONGS_EQUAL(503, site.daemon.Ready());
  site.service_time = Milliseconds(0);
  LONGS_EQUAL_TEXT(200, StatusOf(site.Call("/unsafe/2")),
                   "callers that were led here before are still served");
  CHECK(site.RunUntil([&site] { return !site.daemon.process->IsRunning(); },
                      9000));
  LONGS_EQUAL(0, site.daemon.process->WaitForExit(testing::In(100)));
}

// What an on-call engineer reads: how requests ended and what the daemon
// believes, from the real process.
TEST(Gateway, MetricsShowRequestsAndBeliefs) {
  PlatformSite site;
  StartSite(&site);
  LONGS_EQUAL(200, StatusOf(site.Call("/safe/1")));
  LONGS_EQUAL(404, StatusOf(site.Call("/none/1")));
  const char* const parts[] = {
      "coltsfootvane_gateway_requests_total{outcome=\"answered\"",
      "reason=\"no route\"",
      "coltsfootvane_config_version ",
      "coltsfootvane_endpoints{service=\"books\",state=\"ready\"} 1",
      "coltsfootvane_store_reachable{kind=\"servers\"} 1",
      "coltsfootvane_store_calls_total{",
      "coltsfootvane_gateway_request_seconds_bucket{",
  };
  const std::string text = site.daemon.Metrics();
  for (const char* part : parts)
    CHECK_TEXT(text.find(part) != std::string::npos, part);
}

// Settings change without a signal; a file with faults changes nothing.
TEST(Gateway, TakesUpSettingsWithoutASignal) {
  PlatformSite site;
  StartSite(&site);
  constexpr int kNoticedMs = 3000;
  const auto logged = [&site](const char* event) {
    return site.daemon.Log().find(event) != std::string::npos;
  };
  site.daemon.WriteSettings(-1);
  CHECK(site.RunUntil([&] { return logged("settings-rejected"); }, kNoticedMs));
  CHECK_FALSE(logged("settings-reloaded"));
  site.daemon.WriteSettings(4);
  CHECK(site.RunUntil([&] { return logged("settings-reloaded"); }, kNoticedMs));
  LONGS_EQUAL(200, StatusOf(site.Call("/safe/1")));
}
