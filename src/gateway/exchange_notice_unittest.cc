#include <boost/asio/post.hpp>
#include <cstdlib>
#include <string>
#include <vector>

#include "platform/request_format.h"
#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallerRequest;
using testing::GatewayScene;
using testing::Has;
using testing::ScriptedAnswer;
using Then = ScriptedAnswer::Then;

namespace {

const std::string kId = "Request-Id: id1\r\n";
const std::string kProof = kId + "Server-Signature: p\r\n";
const std::string kLeaving = "Server-Leaving: 1\r\n";
const std::string kPause = "Retry-After: 60\r\n";
const std::string kEmpty = "Content-Length: 0\r\n\r\n";
const std::string kNotExecuted =
    "HTTP/1.1 503 Busy\r\n" + kId + "Not-Executed: 1\r\n";
const std::string kOk = "HTTP/1.1 200 OK\r\n" + kProof + kEmpty;
const std::string kFirstEvent =
    "HTTP/1.1 200 OK\r\n" + kProof + kLeaving +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "f\r\nid: 1\ndata: a\n\n\r\n";
const std::string kLastEvent =
    "HTTP/1.1 200 OK\r\n" + kProof +
    "Content-Type: text/event-stream\r\n\r\nid: 2\ndata: b\n\n";

/// Adds `near`, which is chosen first, and `far`.
void AddEndpoints(GatewayScene* scene) {
  for (const char* id : {"near", "far"}) {
    scene->AddEndpoint(id);
    scene->gateway.endpoints.endpoints.at(id)->entry.data_centre =
        std::string(id) == "near" ? "dc" : "elsewhere";
  }
}

/// Returns the endpoints that received requests, in order.
std::string Receivers(const GatewayScene& scene) {
  std::string receivers;
  for (const std::string& request : scene.received)
    receivers += Has(request, "Expect-Instance: near\r\n") ? "n" : "f";
  return receivers;
}

double RetryAfterS(const std::string& answer) {
  const std::size_t at = answer.find("Retry-After: ");
  return at == std::string::npos ? -1 : std::atof(answer.c_str() + at + 13);
}

/// The scene in which a request is about to be sent to `near`, which then
/// states what `late_notice` says before the connection to it is open.
GatewayScene* connecting = nullptr;
gateway::EndpointNotice late_notice;

gateway::RequestInfo ReadRequestBeforeNotice(const net::RequestHead& head) {
  boost::asio::post(connecting->io, [] {
    RecordNotice(&connecting->gateway,
                 connecting->gateway.endpoints.endpoints.at("near"),
                 late_notice, BootNow());
  });
  return platform::RequestFormat().read_request(head);
}

}  // namespace

TEST_GROUP(ExchangeNotice){};

/// Guards against requests, on whatever way they are sent, for an endpoint that
/// has stated that it leaves or wants no requests for a while.
TEST(ExchangeNotice, EndpointsThatWantNoRequestsGetNone) {
  struct Row {
    const char* name;
    const char* path;  ///< Of two calls.
    std::vector<ScriptedAnswer> answers;
    const char* receivers;
  };
  const std::vector<Row> rows = {
      {"answer of one that leaves",
       "/unsafe/",
       {{"HTTP/1.1 200 OK\r\n" + kProof + kLeaving + kEmpty}, {kOk}},
       "nf"},
      {"refusal of one that leaves",
       "/unsafe/",
       {{kNotExecuted + kLeaving + kEmpty}, {kOk}, {kOk}},
       "nff"},
      {"failure of one that leaves, and a retry",
       "/safe/",
       {{"HTTP/1.1 500 Failed\r\n" + kProof + kLeaving + kEmpty}, {kOk}, {kOk}},
       "nff"},
      {"failure of one that leaves, without a retry",
       "/unsafe/",
       {{"HTTP/1.1 500 Failed\r\n" + kProof + kLeaving + kEmpty}, {kOk}},
       "nf"},
      {"resumed stream of one that leaves",
       "/resume/",
       {{kFirstEvent, Then::kReset},
        {kLastEvent, Then::kClose},
        {kLastEvent, Then::kClose}},
       "nff"},
      {"refusal with a pause",
       "/unsafe/",
       {{kNotExecuted + kPause + kEmpty}, {kOk}, {kOk}},
       "nff"},
      {"refusal of unknown outcome with a pause",
       "/safe/",
       {{"HTTP/1.1 503 Busy\r\n" + kProof + kPause + kEmpty}, {kOk}, {kOk}},
       "nff"},
      {"another process at the address",
       "/unsafe/",
       {{"HTTP/1.1 421 Misdirected\r\n" + kId + "Instance-Id: x\r\n" +
         kLeaving + kEmpty},
        {kOk},
        {kOk}},
       "nff"},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    AddEndpoints(&scene);
    scene.answers = row.answers;
    scene.Call(CallerRequest(row.path));
    scene.Call(CallerRequest(row.path));
    STRCMP_EQUAL_TEXT(row.receivers, Receivers(scene).c_str(), row.name);
  }
}

/// The word of another process at the address counts neither for the endpoint
/// that had the address nor against it.
TEST(ExchangeNotice, AnotherProcessStatesNothingAboutTheEndpoint) {
  GatewayScene scene;
  AddEndpoints(&scene);
  scene.answers = {{"HTTP/1.1 421 Misdirected\r\n" + kId +
                    "Instance-Id: x\r\n" + kLeaving + kEmpty},
                   {kOk}};
  scene.Call(CallerRequest("/unsafe/"));
  CHECK(TakesNewWork(*scene.gateway.endpoints.endpoints.at("near")));
}

/// Guards against a request that was on its way while its connection was being
/// opened.
TEST(ExchangeNotice, SendsAreReconsideredOnceConnected) {
  const gateway::EndpointNotice notices[] = {{true, Milliseconds(0)},
                                             {false, Milliseconds(60'000)}};
  for (const gateway::EndpointNotice& notice : notices) {
    GatewayScene scene;
    AddEndpoints(&scene);
    gateway::WireFormat wire = platform::RequestFormat();
    wire.read_request = ReadRequestBeforeNotice;
    scene.gateway.wire = &wire;
    connecting = &scene;
    late_notice = notice;
    scene.answers = {{kOk}};
    CHECK(Has(scene.Call(CallerRequest("/unsafe/")), "HTTP/1.1 200"));
    STRCMP_EQUAL("f", Receivers(scene).c_str());
    connecting = nullptr;
  }
}

/// Guards against callers that wait, or are told to return too early, when no
/// endpoint takes requests.
TEST(ExchangeNotice, CallersAreToldWhenAnEndpointIsUsable) {
  struct Row {
    const char* name;
    gateway::EndpointNotice near;
    gateway::EndpointNotice far;
    double least_s;  ///< Of Retry-After.
    double most_s;
  };
  using Ms = Milliseconds;
  const Row rows[] = {
      {"both leave", {true, Ms(0)}, {true, Ms(0)}, 0.2, 2},
      {"both paused", {false, Ms(9000)}, {false, Ms(3000)}, 2.9, 5},
      {"one leaves", {true, Ms(0)}, {false, Ms(3000)}, 2.9, 5},
      {"one leaves and is paused", {true, Ms(1000)}, {false, Ms(3000)}, 2.9, 5},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    AddEndpoints(&scene);
    const auto state = [&scene](const char* id,
                                const gateway::EndpointNotice& notice) {
      RecordNotice(&scene.gateway, scene.gateway.endpoints.endpoints.at(id),
                   notice, BootNow());
    };
    state("near", row.near);
    state("far", row.far);
    const TimePoint start = Clock::now();
    const std::string answer = scene.Call(CallerRequest("/unsafe/"));
    CHECK_TEXT(Clock::now() - start < Milliseconds(300), row.name);
    CHECK_TEXT(Has(answer, "HTTP/1.1 503"), row.name);
    CHECK_TEXT(RetryAfterS(answer) >= row.least_s, answer.c_str());
    CHECK_TEXT(RetryAfterS(answer) <= row.most_s, answer.c_str());
    LONGS_EQUAL_TEXT(0, scene.received.size(), row.name);
  }
}

/// The last refusal brings the time at which an endpoint is usable.
TEST(ExchangeNotice, CallersLearnOfThePauseThatRefusedThem) {
  GatewayScene scene;
  AddEndpoints(&scene);
  scene.answers = {{kNotExecuted + kPause + kEmpty},
                   {kNotExecuted + "Retry-After: 7.5\r\n" + kEmpty}};
  const std::string answer = scene.Call(CallerRequest("/unsafe/"));
  CHECK_TEXT(Has(answer, "HTTP/1.1 503"), answer.c_str());
  CHECK_TEXT(RetryAfterS(answer) > 7.3 && RetryAfterS(answer) < 9.6,
             answer.c_str());
}
