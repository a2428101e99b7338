#include <string>
#include <vector>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;
using testing::ScriptedAnswer;

namespace {

const char kWholeAnswer[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Length: 2\r\n\r\nok";

/// The beginning of a stream that does not end.
const char kBegunStream[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "6\r\nid: 1\n\r\n2\r\n\n\n\r\n";

}  // namespace

TEST_GROUP(ExchangeGone){};

/// Guards against work for callers that have left: a daemon that was held up
/// reads a request and the end of its connection in one turn of the loop.
TEST(ExchangeGone, RequestsOfCallersThatHaveLeftAreNotSent) {
  struct Row {
    const char* name;
    const char* path;
    bool engines;
  };
  const Row rows[] = {{"at most once", "/unsafe/", false},
                      {"repeatable", "/safe/", false},
                      {"stream", "/stream/", false},
                      {"stream of an engine", "/stream/", true}};
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    if (row.engines)
      scene.MakeEngines();
    scene.answers = {{kWholeAnswer}};
    scene.CallAndLeave(CallerRequest(row.path, "Model: m\r\n"));
    // Had the first request been sent, the second would get no answer.
    const std::string answer =
        scene.Call(CallerRequest(row.path, "Model: m\r\n"));
    CHECK_TEXT(Has(answer, "200 OK"), row.name);
    LONGS_EQUAL_TEXT(1, scene.received.size(), row.name);
    LONGS_EQUAL_TEXT(2, scene.gateway.traffic.requests, row.name);
    LONGS_EQUAL_TEXT(0, scene.gateway.exchanges, row.name);
  }
}

/// Guards against requests that reach an endpoint after their caller has left:
/// an ordinary close delivers what waits for a busy link, a reset drops it.
TEST(ExchangeGone, AbandonedRequestsAreResetAtTheEndpoint) {
  struct Row {
    const char* name;
    std::vector<ScriptedAnswer> answers;
    Milliseconds leave_after;
  };
  const Row rows[] = {
      {"the caller leaves before the answer", {}, Milliseconds(60)},
      {"the caller leaves within a stream", {{kBegunStream}}, Milliseconds(60)},
      {"the deadline passes", {}, Milliseconds(0)}};
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = row.answers;
    scene.Call(CallerRequest("/stream/"), row.leave_after);
    CHECK_TEXT(
        scene.RunUntil([&scene] { return scene.closed_by_gateway == 1; }),
        row.name);
    LONGS_EQUAL_TEXT(1, scene.reset_by_gateway, row.name);
  }
}
