#include "gateway/routing_table.h"

#include <cstdint>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using gateway::Route;
using gateway::RouteKind;

namespace {

Route MakeRoute(const char* name, const char* host, const char* prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

}  // namespace

TEST_GROUP(RoutingTable){};

TEST(RoutingTable, LongestPrefixOfTheHostIsChosen) {
  gateway::RoutingTable table;
  table.routes = {MakeRoute("short", "a.example", "/x/"),
                  MakeRoute("long", "a.example", "/x/y/"),
                  MakeRoute("other", "b.example", "/x/")};
  struct Row {
    const char* host;
    const char* path;
    const char* route;
  };
  const Row rows[] = {
      {"a.example", "/x/1", "short"}, {"a.example", "/x/y/1", "long"},
      {"A.Example", "/x/y", "short"}, {"b.example", "/x/y/", "other"},
      {"c.example", "/x/", ""},       {"a.example", "/xy/", ""},
      {"a.example", "/", ""},
  };
  for (const Row& row : rows) {
    const Route* const route = FindRoute(table.routes, row.host, row.path);
    STRCMP_EQUAL(row.route, route == nullptr ? "" : route->name.c_str());
  }
}

TEST(RoutingTable, ServicesAreChosenByWeight) {
  Route route;
  route.services = {{"a", 90}, {"none", 0}, {"b", 10}};
  int counts[2] = {0, 0};
  constexpr int kDraws = 1000;
  for (int i = 0; i < kDraws; ++i) {
    const std::uint64_t hash = (UINT64_MAX / kDraws) * i;
    const auto service = ChooseService(route, hash);
    CHECK(service == "a" || service == "b");
    ++counts[service == "a" ? 0 : 1];
  }
  LONGS_EQUAL(900, counts[0]);
  LONGS_EQUAL(100, counts[1]);
  CHECK(ChooseService(Route(), 0).empty());
}

/// Only requests that may be executed more than once are retried.
TEST(RoutingTable, RepeatableKinds) {
  struct Row {
    RouteKind kind;
    bool resumable;
    bool repeatable;
  };
  const Row rows[] = {{RouteKind::kSafe, false, true},
                      {RouteKind::kUnsafe, false, false},
                      {RouteKind::kUnsafe, true, false},
                      {RouteKind::kStreaming, false, false},
                      {RouteKind::kStreaming, true, true}};
  for (const Row& row : rows) {
    Route route;
    route.kind = row.kind;
    route.resumable = row.resumable;
    CHECK_EQUAL(row.repeatable, IsRepeatable(route));
  }
}
