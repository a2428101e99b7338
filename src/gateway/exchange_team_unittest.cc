#include <string>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;

namespace {

const std::string kOk =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Length: 4\r\n\r\ndone";

/// Replaces the routes of the scene by some with teams; `/safe/` is public.
void AddTeams(GatewayScene* scene) {
  auto table = std::make_shared<gateway::RoutingTable>(*scene->gateway.routes);
  testing::ChangeRoutes(table.get(), [](gateway::Route* route) {
    route->is_public = route->path_prefix == "/safe/";
  });
  table->teams.Edit().teams = {{"red", {"k1"}, std::nullopt, {}},
                               {"blue", {"k2"}, 1, {}}};
  team::IndexKeys(&table->teams.Edit(), 7);
  scene->gateway.routes = table;
}

struct Row {
  const char* name;
  const char* path;
  std::string fields;
  const char* status;
  const char* team;  ///< That the endpoint is told; nullptr for none.
};

}  // namespace

TEST_GROUP(ExchangeTeam){};

/// Guards against requests that run without a key that a team holds, and
/// against endpoints that learn a key or a team that the caller made up.
TEST(ExchangeTeam, RequestsRunForTheTeamThatHoldsTheirKey) {
  const Row rows[] = {
      {"known", "/unsafe/", "Key: k1\r\n", "200", "red"},
      {"another team", "/unsafe/", "Key: k2\r\n", "200", "blue"},
      {"made-up team", "/unsafe/", "Key: k1\r\nTenant: blue\r\n", "200", "red"},
      {"none", "/unsafe/", "", "401", nullptr},
      {"unknown", "/unsafe/", "Key: k9\r\n", "401", nullptr},
      {"empty", "/unsafe/", "Key:\r\n", "401", nullptr},
      {"two", "/unsafe/", "Key: k1\r\nKey: k1\r\n", "401", nullptr},
      {"list", "/unsafe/", "Key: k1, k2\r\n", "401", nullptr},
      {"long", "/unsafe/", "Key: " + std::string(900, 'k') + "\r\n", "401",
       nullptr},
      {"other bytes", "/unsafe/", "Key: k1\x80\xff\r\n", "401", nullptr},
      {"public without a key", "/safe/", "", "200", nullptr},
      {"public, made-up team", "/safe/", "Tenant: red\r\n", "200", nullptr},
      {"public, unknown key", "/safe/", "Key: k9\r\n", "200", nullptr},
      {"public, known key", "/safe/", "kEY:  k2 \r\n", "200", "blue"},
      {"no route", "/other/", "Key: k1\r\n", "404", nullptr},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    AddTeams(&scene);
    scene.answers = {{kOk}};
    const std::string answer = scene.Call(CallerRequest(row.path, row.fields));
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status), row.name);
    const bool runs = std::string(row.status) == "200";
    LONGS_EQUAL_TEXT(runs ? 1 : 0, scene.received.size(), row.name);
    if (!runs)
      continue;
    const std::string& sent = scene.received[0];
    CHECK_FALSE_TEXT(Has(sent, "Key:") || Has(sent, "kEY:"), row.name);
    if (row.team != nullptr) {
      const std::string field = std::string("Tenant: ") + row.team + "\r\n";
      CHECK_TEXT(Has(sent, field), row.name);
      CHECK_TEXT(sent.find("Tenant:") == sent.rfind("Tenant:"), row.name);
    } else {
      CHECK_FALSE_TEXT(Has(sent, "Tenant:"), row.name);
    }
  }
}

/// A key that was withdrawn must not serve a caller that stays connected.
TEST(ExchangeTeam, KeysFollowTheConfigurationInForce) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  AddTeams(&scene);
  scene.answers = {{kOk}, {kOk}};
  const std::string request = CallerRequest("/unsafe/", "Key: k1\r\n");
  CHECK(Has(scene.Call(request), "HTTP/1.1 200"));
  gateway::RoutingTable next = *scene.gateway.routes;
  next.version = 2;
  next.teams.Edit().teams[0].keys.clear();
  CHECK(ApplyRoutingTable(&scene.gateway, next));
  CHECK(Has(scene.Call(request), "HTTP/1.1 401"));
  CHECK_FALSE(ApplyRoutingTable(&scene.gateway, next));
}

/// Without teams, the fields are those of callers and endpoints alone.
TEST(ExchangeTeam, FieldsPassWhereThereAreNoTeams) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.answers = {{kOk}};
  scene.Call(CallerRequest("/unsafe/", "Key: k1\r\nTenant: red\r\n"));
  CHECK(Has(scene.received.at(0), "Key: k1\r\n"));
  CHECK(Has(scene.received.at(0), "Tenant: red\r\n"));
}
