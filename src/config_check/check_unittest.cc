#include "config_check/check.h"

#include <functional>

#include "config_check/diff.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using config_check::Document;
using config_check::Issues;
using config_check::Level;

namespace {

Document Sound() {
  Document document;
  document.version = 7;
  config_check::RouteEntry route;
  route.route.name = "r";
  route.route.host = "h";
  route.route.path_prefix = "/p/";
  route.route.kind = gateway::RouteKind::kSafe;
  route.route.timeout = route.route.target_latency = Milliseconds(900);
  route.route.services = {{"s", 1}};
  document.routes = {route};
  config_check::ServiceEntry service;
  service.service.name = "s";
  service.service.engine.emplace();
  service.service.engine->memory_mb = 100;
  service.service.engine->models.push_back({"m", 80, 0, 0, 0, 0, 0});
  document.services = {service};
  config_check::TeamEntry team;
  team.team.name = "t";
  team.team.keys = {"secret-key"};
  team.team.quota.per_second = 5;
  team.team.quota.burst = 10;
  document.teams = {team};
  return document;
}

struct Row {
  const char* expected;
  std::function<void(Document*)> change;
};

const Row kFaults[] = {
    {"error: route 'r' has no host and matches no request that names one",
     [](Document* d) { d->routes[0].route.host.clear(); }},
    {"error: route 'r' never matches: its host is more than a name",
     [](Document* d) { d->routes[0].route.host = "h:80"; }},
    {"error: route 'r' never matches: its path has a character that no path "
     "has",
     [](Document* d) { d->routes[0].route.path_prefix = "/p?a=/"; }},
    {"error: route 'r' never matches: its path does not begin with a slash",
     [](Document* d) { d->routes[0].route.path_prefix = "p/"; }},
    {"warning: route 'r' also matches longer names: its path does not end with "
     "a slash",
     [](Document* d) { d->routes[0].route.path_prefix = "/p"; }},
    {"error: route 'q' never matches: route 'r' in line 0 has the same host "
     "and path",
     [](Document* d) {
       d->routes.push_back(d->routes[0]);
       d->routes[1].route.name = "q";
       d->routes[1].route.host = "H";
     }},
    {"warning: route 'r' occurs twice",
     [](Document* d) {
       d->routes.push_back(d->routes[0]);
       d->routes[1].route.path_prefix = "/p/q/";
     }},
    {"error: route 'r' leads to service 'x', which does not exist",
     [](Document* d) {
       d->routes[0].route.services.push_back({"x", 1});
     }},
    {"error: route 'r' leads to no service with a weight above 0",
     [](Document* d) {
       d->routes[0].route.services = {{"s", 0}};
       d->services.clear();
       d->services.push_back(Sound().services[0]);
     }},
    {"error: route 'r' fails all requests: its timeout is 0",
     [](Document* d) { d->routes[0].route.timeout = Milliseconds(0); }},
    {"warning: route 'r' has a timeout of 899 ms, below its latency objective "
     "of 900 ms",
     [](Document* d) { d->routes[0].route.timeout = Milliseconds(899); }},
    {"warning: route 'r' allows no attempt; the daemons make one",
     [](Document* d) { d->routes[0].route.max_attempts = 0; }},
    {"warning: route 'r' allows 2 attempts, but its requests may be executed "
     "only once",
     [](Document* d) {
       d->routes[0].route.kind = gateway::RouteKind::kStreaming;
       d->routes[0].route.max_attempts = 2;
     }},
    {"warning: route 'r' is resumable without effect: it does not stream",
     [](Document* d) { d->routes[0].route.resumable = true; }},
    {"warning: service 't' gets no requests: no route leads to it with a "
     "weight above 0",
     [](Document* d) {
       d->services.push_back({});
       d->services[1].service.name = "t";
     }},
    {"error: service 's' occurs twice",
     [](Document* d) { d->services.push_back(d->services[0]); }},
    {"error: service 's' has engines without slots",
     [](Document* d) { d->services[0].service.engine->slots = 0; }},
    {"error: model 'm' needs 100.5 MB, more than the 100 MB of an engine",
     [](Document* d) {
       d->services[0].service.engine->models[0].memory_mb = 100.5;
     }},
    {"error: model 'm' leaves no room for one of its adapters in the 100 MB of "
     "an engine",
     [](Document* d) {
       auto& engine = *d->services[0].service.engine;
       engine.adapter_slots = 1;
       engine.models[0].adapters = 1;
       engine.models[0].adapter_memory_mb = 21;
     }},
    {"error: model 'm' has adapters, but the engines have no slots for them",
     [](Document* d) {
       d->services[0].service.engine->models[0].adapters = 1;
     }},
    {"error: model 'm' occurs twice in its service; the first entry holds",
     [](Document* d) {
       auto& models = d->services[0].service.engine->models;
       models.push_back(models[0]);
     }},
    {"error: team 't' has no API keys, so that no request belongs to it",
     [](Document* d) { d->teams[0].team.keys.clear(); }},
    {"error: an empty API key identifies no team",
     [](Document* d) { d->teams[0].team.keys.emplace_back(); }},
    {"also belongs to team 't', which has it",
     [](Document* d) {
       d->teams.push_back(d->teams[0]);
       d->teams[1].team.name = "u";
     }},
    {"occurs twice in team 't'",
     [](Document* d) { d->teams[0].team.keys.emplace_back("secret-key"); }},
    {"warning: team 't' has a burst without effect: it has no rate",
     [](Document* d) { d->teams[0].team.quota.per_second = 0; }},
    {"warning: team 't' has a burst below one request (1 units)",
     [](Document* d) { d->teams[0].team.quota.burst = 0.5; }},
    {"error: team 't' has a quota that rejects one request (20000 units) at "
     "all times",
     [](Document* d) {
       d->teams[0].team.quota.unit = team::QuotaUnit::kTokens;
       d->teams[0].team.quota.plain_units = 20'000;
     }},
    {"error: all requests are rejected: no bytes are allowed for headers",
     [](Document* d) { d->limits.header_bytes = 0; }},
    {"warning: requests with a body are rejected: no bytes are allowed for it",
     [](Document* d) { d->limits.body_bytes = 0; }},
    {"error: callers have no time: a timeout of the limits is 0",
     [](Document* d) { d->limits.idle_timeout = Milliseconds(0); }},
    {"warning: headers may take longer than a connection may be idle",
     [](Document* d) { d->limits.idle_timeout = Milliseconds(2999); }},
};

const Row kDifferences[] = {
    {"~ version 7 -> 6: daemons keep the version in force, as this one is "
     "not higher",
     [](Document* d) { d->version = 6; }},
    {"- host h: all its requests get 404",
     [](Document* d) { d->routes[0].route.host = "i"; }},
    {"- route h/p/: its requests get 404 or match a shorter path",
     [](Document* d) { d->routes.clear(); }},
    {"~ route h/p/: services s:1 -> t:1 (requests move to other services)",
     [](Document* d) { d->routes[0].route.services[0].service = "t"; }},
    {"~ route h/p/: timeout_ms 900 -> 90 (requests are ended sooner)",
     [](Document* d) { d->routes[0].route.timeout = Milliseconds(90); }},
    {"~ route h/p/: timeout_ms 900 -> 1000",
     [](Document* d) { d->routes[0].route.timeout = Milliseconds(1000); }},
    {"- model s/m: requests for it fail",
     [](Document* d) { d->services[0].service.engine->models.clear(); }},
    {"~ team t: per_second 5 -> 4.5 (requests beyond it are refused)",
     [](Document* d) { d->teams[0].team.quota.per_second = 4.5; }},
    {"~ team t: per_second 5 -> unlimited",
     [](Document* d) { d->teams[0].team.quota.per_second = 0; }},
    {": requests of team t with it get 401 except on public routes",
     [](Document* d) { d->teams[0].team.keys[0] = "other-key"; }},
    {"- team t: its requests get 401 except on public routes",
     [](Document* d) {
       d->teams[0].team.name = "u";
       d->teams[0].team.keys[0] = "other-key";
     }},
    {"~ team t: rank route's -> 2",
     [](Document* d) { d->teams[0].team.rank = 2; }},
    {"- team t", [](Document* d) { d->teams.clear(); }},
    {"~ teams: none are left, no request needs a key",
     [](Document* d) { d->teams.clear(); }},
    {"~ service s: max_connections 0 -> 3 (more requests wait)",
     [](Document* d) { d->services[0].service.max_connections = 3; }},
    {"~ limits: body_bytes 4194304 -> 10 (larger bodies are rejected)",
     [](Document* d) { d->limits.body_bytes = 10; }},
};

std::string Found(const Document& document) {
  Issues issues;
  config_check::CheckDocument(document, &issues);
  std::string text;
  for (const config_check::Issue& issue : issues)
    text += std::string(LevelName(issue.level)) + ": " + issue.message + "\n";
  return text;
}

std::string Difference(const Document& from, const Document& to) {
  std::string text;
  for (const std::string& line : config_check::DiffDocuments(from, to))
    text += line + "\n";
  return text;
}

}  // namespace

TEST_GROUP(ConfigCheck){};

/// Guards against findings in a configuration that serves as intended.
TEST(ConfigCheck, ASoundConfigurationHasNoFindings) {
  STRCMP_EQUAL("", Found(Sound()).c_str());
  STRCMP_EQUAL("", Difference(Sound(), Sound()).c_str());
}

/// Guards against a fault that is sent to the fleet unnoticed, and against API
/// keys in the output.
TEST(ConfigCheck, FaultsAreFound) {
  for (const Row& row : kFaults) {
    Document document = Sound();
    row.change(&document);
    const std::string found = Found(document);
    STRCMP_CONTAINS(row.expected, found.c_str());
    CHECK(found.find("secret") == std::string::npos);
  }
}

/// Guards against a change whose effect on callers is not stated, for example
/// a key that is withdrawn.
TEST(ConfigCheck, DifferencesStateTheirEffect) {
  for (const Row& row : kDifferences) {
    Document document = Sound();
    row.change(&document);
    const std::string found = Difference(Sound(), document);
    STRCMP_CONTAINS((std::string(row.expected) + "\n").c_str(), found.c_str());
    CHECK(found.find("secret") == std::string::npos);
  }
}
