#include "status/admin_server.h"

#include <string>

#include "http/client.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

std::string Get(const http::Address& address, const char* path) {
  http::CallOptions options;
  options.peer = address;
  options.connect_deadline = Clock::now() + Milliseconds{2000};
  options.deadline = options.connect_deadline;
  const auto response = http::Call(options, {"GET", path, "", {}, ""});
  if (!response)
    return response.error().message;
  return std::to_string(response.value().status) + " " + response.value().body;
}

}  // namespace

TEST_GROUP(AdminServer){};

// Guards against a balancer that is told the wrong state, and against
// operators who see another configuration than the one in force.
TEST(AdminServer, AnswersItsPaths) {
  Metrics metrics;
  metrics.CountRetry(Priority::kLookup);
  InForceHolder holder;
  auto in_force = std::make_shared<InForce>();
  in_force->version = 7;
  in_force->head.digest = "abc";
  holder.Set(in_force);
  AdminOptions options;
  const std::string host = testing::OwnLoopbackHost();
  options.listen = {host, testing::FreePort(host)};
  options.metrics = &metrics;
  options.in_force = &holder;
  options.status = [] { return std::string(R"({"slots":1})"); };
  AdminServer server(options);
  CHECK(server.Start().has_value());
  const auto check = [&options](const char* path, const char* expected) {
    STRCMP_EQUAL_TEXT(expected, Get(options.listen, path).c_str(), path);
  };
  check("/health", R"(503 {"state":"starting"})");
  server.SetHealth(HealthState::kReady);
  check("/health", R"(200 {"state":"ready"})");
  server.SetHealth(HealthState::kLeaving);
  check("/health", R"(503 {"state":"leaving"})");
  check("/config", R"(200 {"digest":"abc","version":7})");
  check("/status", R"(200 {"slots":1})");
  const std::string text = Get(options.listen, "/metrics");
  CHECK(text.find("coltsfootvane_retries_total{priority=\"lookup\"} 1") !=
        std::string::npos);
  CHECK(Get(options.listen, "/x").substr(0, 3) == "404");
}
