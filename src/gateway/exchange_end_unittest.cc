#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
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

/// The beginning of a stream that does not end.
const char kBegunStream[] =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "6\r\nid: 1\n\r\n2\r\n\n\n\r\n";

}  // namespace

TEST_GROUP(ExchangeEnd){};

/// A caller that disconnects cancels its request at the endpoint at once.
TEST(ExchangeEnd, DisconnectedCallersCancelTheirRequest) {
  struct Row {
    const char* name;
    std::vector<ScriptedAnswer> answers;
  };
  const Row rows[] = {{"before the answer", {}},
                      {"within a stream", {{kBegunStream}}}};
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = row.answers;
    scene.Call(CallerRequest("/stream/"), Milliseconds(60));
    CHECK_TEXT(
        scene.RunUntil([&scene] { return scene.closed_by_gateway == 1; }),
        row.name);
    LONGS_EQUAL_TEXT(0, scene.gateway.exchanges, row.name);
  }
}

TEST(ExchangeEnd, RefusalsOnArrival) {
  struct Row {
    const char* name;
    std::string request;
    const char* status;
  };
  const Row rows[] = {
      {"no route", CallerRequest("/none/"), "404"},
      {"no host", "GET /safe/ HTTP/1.1\r\n\r\n", "400"},
      {"two lengths", CallerRequest("/safe/", "Content-Length: 3\r\n"), "400"},
      {"large header", CallerRequest("/safe/", "X: " + std::string(3000, 'x')),
       "431"},
      {"large body",
       "POST /safe/ HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n",
       "413"},
      {"incomplete header", "GET /safe/ HTTP/1.1\r\nHost", "408"},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    const std::string answer = scene.Call(row.request);
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status),
               (row.name + (": " + answer)).c_str());
    CHECK_TEXT(Has(answer, "Connection: close"), row.name);
    LONGS_EQUAL_TEXT(0, scene.received.size(), row.name);
  }
}

/// Without an endpoint, and before the first configuration, requests are
/// refused as not executed.
TEST(ExchangeEnd, RefusesImmediatelyWhatCannotBeServed) {
  GatewayScene scene;
  CHECK(Has(scene.Call(CallerRequest("/unsafe/")), "HTTP/1.1 503"));
  scene.gateway.routes = nullptr;
  const std::string answer = scene.Call(CallerRequest("/unsafe/"));
  CHECK(Has(answer, "HTTP/1.1 503"));
  CHECK(Has(answer, "Retry-After: "));
}

/// Retries stay within this daemon's share of the fleet's limit.
TEST(ExchangeEnd, RetriesEndWithTheBudget) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.AddEndpoint("e2");
  scene.gateway.retry_limit = {0, 8, 10};
  scene.gateway.daemons = 2;  // At most 1 saved up; 0.1/s earned.
  scene.answers.assign(100, {"", Then::kReset});
  for (int i = 0; i < 10; ++i)
    scene.Call(CallerRequest("/safe/"));
  LONGS_EQUAL(11, scene.received.size());
}

/// During shutdown, a request that might not be completed before the process
/// ends is refused as not executed.
TEST(ExchangeEnd, LateRequestsDuringShutdownAreRefused) {
  struct Row {
    const char* path;     ///< Its timeout is 600 ms.
    int last_request_ms;  ///< From now.
    int last_answer_ms;   ///< From now.
    const char* status;
  };
  const Row rows[] = {
      {"/unsafe/", 5000, 5000, "200"}, {"/unsafe/", -1, 500, "503"},
      {"/unsafe/", -1, 5000, "200"},   {"/safe/", -1, 500, "503"},
      {"/safe/", -1, 5000, "200"},     {"/stream/", -1, 500, "503"},
      {"/stream/", -1, 5000, "200"},   {"/stream/", 5000, 500, "200"}};
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {
        {"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n"
         "Server-Signature: p\r\nContent-Length: 0\r\n\r\n"}};
    scene.gateway.leaving = true;
    const TimePoint now = BootNow();
    scene.gateway.last_request_at = now + Milliseconds(row.last_request_ms);
    scene.gateway.last_answer_at = now + Milliseconds(row.last_answer_ms);
    const std::string answer = scene.Call(CallerRequest(row.path));
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status), row.path);
    CHECK_TEXT(Has(answer, "Connection: close"), row.path);
    LONGS_EQUAL_TEXT(row.status[0] == '2' ? 1 : 0, scene.received.size(),
                     row.path);
  }
}

/// Guards against requests that are cut off when the time of a shutdown is
/// over: each gets an answer, which says "not run" only if that is true.
TEST(ExchangeEnd, RequestsLeftAtTheEndOfAShutdownAreAnswered) {
  struct Row {
    const char* path;
    const char* sent;  ///< By the endpoint before the end.
    const char* status;
  };
  const Row rows[] = {
      {"/unsafe/", "", "HTTP/1.1 502"},
      {"/safe/", "", "HTTP/1.1 502"},
      {"/stream/", "", "HTTP/1.1 502"},
      {"/unsafe/", "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n", "HTTP/1.1 502"},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {{row.sent}};
    boost::asio::steady_timer over(scene.io);
    over.expires_after(Milliseconds(60));
    over.async_wait([&scene](const boost::system::error_code&) {
      EndOpenRequests(&scene.gateway);
    });
    CHECK_TEXT(Has(scene.Call(CallerRequest(row.path)), row.status), row.path);
  }
}

/// Guards against a request that has arrived on an idle connection when a
/// shutdown begins: closing the connection would reset it unanswered.
TEST(ExchangeEnd, RequestsThatCrossAShutdownAreAnswered) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.answers = {
      {"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n"
       "Server-Signature: p\r\nContent-Length: 0\r\n\r\n"}};
  net::tcp::acceptor acceptor(scene.io,
                              {boost::asio::ip::make_address("127.0.0.1"), 0});
  net::tcp::socket caller(scene.io);
  caller.connect(acceptor.local_endpoint());
  const auto connection = std::make_shared<gateway::CallerConnection>(
      &scene.gateway, std::make_shared<net::TcpStream>(acceptor.accept()));
  connection->Start();
  boost::asio::write(caller, boost::asio::buffer(CallerRequest("/unsafe/")));
  scene.gateway.leaving = true;
  scene.gateway.last_request_at = BootNow() + Milliseconds(2000);
  connection->CloseIfIdle();
  std::string answer;
  bool ended = false;
  boost::asio::async_read(caller, boost::asio::dynamic_buffer(answer),
                          [&ended](const boost::system::error_code&,
                                   std::size_t) { ended = true; });
  CHECK(scene.RunUntil([&ended] { return ended; }));
  CHECK(Has(answer, "HTTP/1.1 200"));
  CHECK(Has(answer, "Connection: close"));
}
