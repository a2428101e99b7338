#include <memory>
#include <string>
#include <vector>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;
using testing::ScriptedAnswer;
using Then = ScriptedAnswer::Then;

namespace {

/// Of callers, by the objective of the scene's routes.
constexpr Milliseconds kCallerPatience{2000};

const std::string kHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const std::string kBooked =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Length: 2\r\n\r\nok";
const std::string kEnd = "0\r\n\r\n";

std::string EventOf(int id) {
  return "f\r\nid: " + std::to_string(id) + "\ndata: e\n\n\r\n";
}

/// The routes have a timeout that allows for stalls.
std::unique_ptr<GatewayScene> MakeScene() {
  auto scene = std::make_unique<GatewayScene>();
  scene->AddEndpoint("e1");
  scene->AddEndpoint("e2");
  scene->MakeEngines();
  auto table = std::make_shared<gateway::RoutingTable>(*scene->gateway.routes);
  testing::ChangeRoutes(table.get(), [](gateway::Route* route) {
    route->timeout = Milliseconds(6000);
  });
  scene->gateway.routes = table;
  return scene;
}

std::string Request(const char* path) {
  std::string request = CallerRequest(path, "Model: m\r\n");
  const std::string deadline = "Deadline-Ms: 2000";
  return request.replace(request.find(deadline), deadline.size(),
                         "Deadline-Ms: 9000");
}

void SetRunningElsewhere(GatewayScene* scene, int running) {
  for (const auto& endpoint : scene->gateway.endpoint_list)
    endpoint->peers.running = running;
}

}  // namespace

TEST_GROUP(ExchangeStall){};

/// Guards against streams that use an endpoint until their caller leaves with
/// nothing, and against slow ones that start over for nothing.
TEST(ExchangeStall, SilentStreamsGoOnElsewhereOrEndInTime) {
  struct Row {
    const char* name;
    const char* path;
    std::vector<ScriptedAnswer> answers;
    int peers_running;  ///< At each endpoint.
    const char* status;
    bool complete;
    std::size_t sends;
  };
  const std::string rest = kHead + EventOf(2) + kEnd;
  const Milliseconds slow(700);
  const std::vector<Row> rows = {
      {"resumable, its host is dark",
       "/resume/",
       {{kHead + EventOf(1), Then::kDark}, {rest}},
       0,
       "200",
       true,
       2},
      {"resumable, the engine is stuck",
       "/resume/",
       {{kHead + EventOf(1)}, {rest}},
       0,
       "200",
       true,
       2},
      {"stuck before the first event",
       "/resume/",
       {{kHead}, {kHead + EventOf(1) + kEnd}},
       0,
       "200",
       true,
       2},
      {"not resumable, its host is dark",
       "/stream/",
       {{kHead + EventOf(1), Then::kDark}, {rest}},
       0,
       "200",
       false,
       1},
      {"not resumable, dark before the first event",
       "/stream/",
       {{"", Then::kDark}, {rest}},
       0,
       "502",
       true,
       1},
      {"a booking whose host is held up",
       "/unsafe/",
       {{"", Then::kDark, "", {kBooked}, Milliseconds(1600)}, {rest}},
       0,
       "200",
       true,
       1},
      {"resumable, slow but progressing",
       "/resume/",
       {{kHead + EventOf(1), Then::kKeep, "", {EventOf(2), kEnd}, slow}},
       0,
       "200",
       true,
       1},
      {"all engines are busy before the first event",
       "/resume/",
       {{"", Then::kKeep, "", {kHead, EventOf(1) + kEnd}, slow}},
       10,
       "200",
       true,
       1},
  };
  for (const Row& row : rows) {
    const auto scene = MakeScene();
    scene->answers = row.answers;
    SetRunningElsewhere(scene.get(), row.peers_running);
    const TimePoint start = BootNow();
    const std::string answer = scene->Call(Request(row.path));
    const std::string context = std::string(row.name) + ": " + answer;
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status),
               context.c_str());
    const bool complete =
        Has(answer, "\r\n0\r\n\r\n") || Has(answer, "Content-Length: ");
    CHECK_EQUAL_TEXT(row.complete, complete, context.c_str());
    CHECK_EQUAL_TEXT(row.sends, scene->received.size(), row.name);
    CHECK_TEXT(BootNow() - start < kCallerPatience, row.name);
    LONGS_EQUAL_TEXT(0, scene->gateway.exchanges, row.name);
    if (row.sends < 2)
      continue;
    CHECK_TEXT(scene->RunUntil([&] { return scene->reset_by_gateway > 0; }),
               "the run at the first endpoint is cancelled");
    CHECK_EQUAL_TEXT(Has(row.answers[0].bytes, "id: 1"),
                     Has(scene->received[1], "Last-Event-Id: 1"), row.name);
  }
}

/// Guards against a daemon whose own link is down or full and that takes an
/// endpoint for gone: it ended all streams there (LOST, issue 48).
TEST(ExchangeStall, NoEndpointIsBlamedWhileNoneIsReached) {
  const auto scene = MakeScene();
  scene->answers = {{"", Then::kDark},
                    {kHead + EventOf(1),
                     Then::kDark,
                     "",
                     {EventOf(2) + kEnd},
                     Milliseconds(1500)}};
  const gateway::EndpointPtr first = scene->gateway.endpoint_list[0];
  const gateway::EndpointPtr second = scene->gateway.endpoint_list[1];
  second->peers.running = 10;
  scene->Call(Request("/stream/"), Milliseconds(100));
  second->peers.running = 0;
  first->peers.running = 10;
  const std::string answer = scene->Call(Request("/stream/"));
  LONGS_EQUAL(2, scene->received.size());
  CHECK_TEXT(Has(answer, "\r\n0\r\n\r\n"), answer.c_str());
  CHECK(second->ejected_until <= BootNow());
}

/// Guards against streams that are given up in the middle, since the first
/// endpoint that could go on with them refuses, or none is usable for a moment
/// (LOST, issue 48).
TEST(ExchangeStall, StreamsThatAreReadWaitForAnEndpoint) {
  const std::string shed =
      "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: id1\r\n"
      "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  struct Row {
    const char* name;
    std::vector<ScriptedAnswer> answers;
    bool complete;
  };
  const ScriptedAnswer cut{kHead + EventOf(1), Then::kClose};
  const std::string rest = kHead + EventOf(2) + kEnd;
  const std::vector<Row> rows = {
      {"refused once", {cut, {shed}, {rest}}, true},
      {"refused by all, and again",
       {cut, {shed}, {shed}, {shed}, {rest}},
       true},
      {"refused until the caller would leave",
       {cut,
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed},
        {shed}},
       false},
  };
  for (const Row& row : rows) {
    const auto scene = MakeScene();
    scene->answers = row.answers;
    scene->gateway.retry_limit.base_retries = 1000;
    const TimePoint start = BootNow();
    const std::string answer = scene->Call(Request("/resume/"));
    CHECK_EQUAL_TEXT(row.complete, Has(answer, "\r\n0\r\n\r\n"), row.name);
    CHECK_EQUAL_TEXT(row.complete, Has(answer, "id: 2"), row.name);
    CHECK_TEXT(BootNow() - start < kCallerPatience + Milliseconds(400),
               row.name);
    LONGS_EQUAL_TEXT(0, scene->gateway.exchanges, row.name);
  }
}

/// Guards against streams that wait in a queue until their caller leaves. Other
/// calls have no such patience.
TEST(ExchangeStall, StreamsWithTooLongAWaitAreNotBegun) {
  constexpr int kRunningForMoreThanThePatience = 20;
  struct Row {
    const char* path;
    const char* status;
  };
  for (const Row& row : {Row{"/resume/", "503"}, Row{"/safe/", "200"}}) {
    const auto scene = MakeScene();
    scene->answers = {
        {"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n"
         "Server-Signature: p\r\nContent-Length: 0\r\n\r\n"}};
    SetRunningElsewhere(scene.get(), kRunningForMoreThanThePatience);
    const std::string answer = scene->Call(Request(row.path));
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status),
               answer.c_str());
    CHECK_EQUAL(row.status[0] == '5', Has(answer, "Retry-After: "));
  }
}
