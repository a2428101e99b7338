#include "daemon/daemon_metrics.h"

#include <string>
#include <utility>

#include "fleet/fleet.h"
#include "orders/lease_manager.h"
#include "store/kind_follower.h"
#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;

namespace {

std::string MetricsOf(GatewayScene* scene) {
  const fleet::Fleet peers(&scene->io, &scene->gateway);
  const store::ObjectStore store;
  const orders::LeaseManager lease(&scene->io, &store, &scene->log, "vm",
                                   Milliseconds(3000), false);
  const store::KindFollower follower(&scene->io, &store, {"kind-a"},
                                     &scene->log, {});
  daemon::DaemonParts parts;
  parts.gateway = &scene->gateway;
  parts.fleet = &peers;
  parts.lease = &lease;
  parts.log = &scene->log;
  parts.followers = {&follower};
  return daemon::FormatMetrics(parts, BootNow());
}

}  // namespace

TEST_GROUP(DaemonMetrics){};

/// Each way in which a request ends is counted with its reason.
TEST(DaemonMetrics, CountHowRequestsEnd) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.answers = {
      {"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n"
       "Server-Signature: p\r\nContent-Length: 2\r\n\r\nok"}};
  scene.Call(CallerRequest("/safe/"));
  scene.Call(CallerRequest("/none/"));
  scene.Call("GET /safe/ HTTP/1.1\r\n\r\n");
  const std::string text = MetricsOf(&scene);
  const char* const lines[] = {
      "coltsfootvane_gateway_requests_total{outcome=\"answered\",rank=\"0\","
      "reason=\"\",route=\"/safe/\",service=\"s\"} 1",
      "coltsfootvane_gateway_requests_total{outcome=\"failed\",rank=\"none\","
      "reason=\"no route\",route=\"none\",service=\"\"} 1",
      "coltsfootvane_gateway_rejected_requests_total{reason=\"target\"} 1",
      "coltsfootvane_gateway_sends_total{service=\"s\"} 1",
      "coltsfootvane_endpoints{service=\"s\",state=\"ready\"} 1",
      "coltsfootvane_store_reachable{kind=\"kind-a\"} 0",
      "coltsfootvane_lease_held 0",
      "coltsfootvane_log_lines_left_out{reason=\"rate\"} 0",
  };
  for (const char* line : lines)
    CHECK_TEXT(Has(text, line), (std::string(line) + "\n" + text).c_str());
}

/// What endpoints state about themselves is shown beside what they register.
TEST(DaemonMetrics, ShowWhatEndpointsState) {
  GatewayScene scene;
  for (const char* id : {"e1", "e2", "e3"})
    scene.AddEndpoint(id);
  const TimePoint now = BootNow();
  const auto state = [&](const char* id, bool leaving, int pause_ms) {
    RecordNotice(&scene.gateway, scene.gateway.endpoints.endpoints.at(id),
                 {leaving, Milliseconds(pause_ms)}, now);
  };
  state("e1", true, 0);
  state("e1", true, 0);
  state("e2", false, 60'000);
  const std::string text = MetricsOf(&scene);
  const char* const lines[] = {
      "coltsfootvane_endpoints{service=\"s\",state=\"ready\"} 1",
      "coltsfootvane_endpoints{service=\"s\",state=\"leaving\"} 1",
      "coltsfootvane_endpoints{service=\"s\",state=\"paused\"} 1",
      "coltsfootvane_gateway_endpoint_notices_total{notice=\"leaving\","
      "service=\"s\"} 1",
      "coltsfootvane_gateway_endpoint_notices_total{notice=\"paused\","
      "service=\"s\"} 1",
  };
  for (const char* line : lines)
    CHECK_TEXT(Has(text, line), (std::string(line) + "\n" + text).c_str());
}

/// Operators see which parts are quarantined, since when and on what evidence.
TEST(DaemonMetrics, ShowQuarantines) {
  GatewayScene scene;
  scene.gateway.quarantine.self = 1;
  for (quarantine::CrashKey crash = 1; crash <= 3; ++crash) {
    quarantine::Involvement seen;
    seen.crash = crash;
    seen.at = BootNow() - std::chrono::seconds(crash);
    seen.answering = true;
    seen.observers = {1};
    RecordCrash(&scene.gateway, std::vector<quarantine::PartId>{0xab}, seen);
  }
  const std::string text = MetricsOf(&scene);
  const char* const lines[] = {
      "coltsfootvane_quarantines 1",
      "coltsfootvane_suspected_parts 1",
      "coltsfootvane_quarantine_crashes{parts=\"ab\"} 3",
      "coltsfootvane_quarantine_observers{parts=\"ab\"} 1",
      "coltsfootvane_quarantine_age_seconds{parts=\"ab\"}",
      "coltsfootvane_gateway_quarantine_changes_total{change=\"begun\"} 1",
  };
  for (const char* line : lines)
    CHECK_TEXT(Has(text, line), (std::string(line) + "\n" + text).c_str());
}

/// Every family has a help text and is listed once.
TEST(DaemonMetrics, FamiliesHaveHelpTexts) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  const std::string text = MetricsOf(&scene);
  std::size_t types = 0;
  std::size_t helps = 0;
  for (std::size_t at = 0; (at = text.find("# TYPE ", at)) != text.npos; ++at)
    ++types;
  for (std::size_t at = 0; (at = text.find("# HELP ", at)) != text.npos; ++at)
    ++helps;
  CHECK(types >= 12);
  LONGS_EQUAL(types, helps);
}
