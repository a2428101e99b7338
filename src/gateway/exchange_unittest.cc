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

const std::string kSignature = "Request-Id: id1\r\nServer-Signature: p\r\n";

std::string MakeAnswer(const std::string& status,
                       const std::string& fields,
                       const std::string& body) {
  return "HTTP/1.1 " + status + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

const std::string kEvents =
    "HTTP/1.1 200 OK\r\n" + kSignature +
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string EventOf(int id) {
  return "id: " + std::to_string(id) + "\ndata: e" + std::to_string(id) +
         "\n\n";
}

struct Row {
  const char* name;
  const char* path;
  std::vector<ScriptedAnswer> answers;
  const char* status;
  const char* contains;  ///< In the answer.
  std::size_t sends;     ///< Requests that reached endpoints.
  bool complete;         ///< The answer is framed as complete.
};

bool IsComplete(const std::string& answer) {
  if (Has(answer, "Transfer-Encoding: chunked"))
    return Has(answer, "\r\n0\r\n\r\n");
  const std::size_t at = answer.find("Content-Length: ");
  const std::size_t body = answer.find("\r\n\r\n");
  if (at == std::string::npos || body == std::string::npos)
    return false;
  return answer.size() - body - 4 == std::stoul(answer.substr(at + 16));
}

void RunRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.AddEndpoint("e2");
    scene.answers = row.answers;
    const std::string answer = scene.Call(CallerRequest(row.path));
    const std::string context = std::string(row.name) + ": " + answer;
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status),
               context.c_str());
    CHECK_TEXT(Has(answer, row.contains), context.c_str());
    LONGS_EQUAL_TEXT(row.sends, scene.received.size(), row.name);
    CHECK_EQUAL_TEXT(row.complete, IsComplete(answer), context.c_str());
    LONGS_EQUAL_TEXT(0, scene.gateway.exchanges, row.name);
    for (const auto& endpoint : scene.gateway.endpoint_list) {
      LONGS_EQUAL_TEXT(0, endpoint->own.running, row.name);
      LONGS_EQUAL_TEXT(0, endpoint->own.prompt_tokens, row.name);
    }
  }
}

const std::string kNotExecuted =
    MakeAnswer("503 Busy", "Request-Id: id1\r\nNot-Executed: 1\r\n", "");
const std::string kOk = MakeAnswer("200 OK", kSignature, "done");

}  // namespace

TEST_GROUP(Exchange){};

/// Calls that may be executed once: after the request has been sent, it is sent
/// again or refused only if the endpoint states that it has not executed it.
TEST(Exchange, UnsafeCallsRunAtMostOnce) {
  RunRows({
      {"answered", "/unsafe/", {{kOk}}, "200", "done", 1, true},
      {"the endpoint's own failure",
       "/unsafe/",
       {{MakeAnswer("500 Failed", kSignature, "why")}},
       "500",
       "why",
       1,
       true},
      {"not run, then answered",
       "/unsafe/",
       {{kNotExecuted}, {kOk}},
       "200",
       "done",
       2,
       true},
      {"not run anywhere",
       "/unsafe/",
       {{kNotExecuted}, {kNotExecuted}},
       "503",
       "Retry-After: ",
       2,
       true},
      {"another process has the address",
       "/unsafe/",
       {{MakeAnswer("421 Misdirected", "Instance-Id: other\r\n", "")}, {kOk}},
       "200",
       "done",
       2,
       true},
      {"a 503 without Not-Executed",
       "/unsafe/",
       {{MakeAnswer("503 Busy", kSignature, "")}},
       "502",
       "",
       1,
       true},
      {"connection closed",
       "/unsafe/",
       {{"", Then::kClose}},
       "502",
       "",
       1,
       true},
      {"connection reset",
       "/unsafe/",
       {{"", Then::kReset}},
       "502",
       "",
       1,
       true},
      {"answer cut",
       "/unsafe/",
       {{"HTTP/1.1 200 OK\r\n" + kSignature + "Content-Length: 9\r\n\r\nhalf",
         Then::kClose}},
       "502",
       "",
       1,
       true},
      {"no valid answer",
       "/unsafe/",
       {{"nonsense\r\n\r\n"}},
       "502",
       "",
       1,
       true},
      {"success without a signature",
       "/unsafe/",
       {{MakeAnswer("200 OK", "Request-Id: id1\r\n", "x")}},
       "502",
       "",
       1,
       true},
      {"encoded body",
       "/unsafe/",
       {{MakeAnswer("200 OK", kSignature + "Content-Encoding: gzip\r\n", "x")}},
       "502",
       "",
       1,
       true},
      {"silence until the timeout of the route",
       "/unsafe/",
       {},
       "504",
       "",
       1,
       true},
      {"no length, clean end",
       "/unsafe/",
       {{"HTTP/1.1 200 OK\r\n" + kSignature + "\r\nbody", Then::kClose}},
       "200",
       "body",
       1,
       true},
      {"no length, reset",
       "/unsafe/",
       {{"HTTP/1.1 200 OK\r\n" + kSignature + "\r\nbody", Then::kReset}},
       "502",
       "",
       1,
       true},
  });
}

/// Calls that may be repeated are retried at another endpoint after any
/// failure.
TEST(Exchange, SafeCallsAreRepeatedElsewhere) {
  RunRows({
      {"connection closed",
       "/safe/",
       {{"", Then::kClose}, {kOk}},
       "200",
       "done",
       2,
       true},
      {"a failure of the endpoint",
       "/safe/",
       {{MakeAnswer("500 Failed", kSignature, "")}, {kOk}},
       "200",
       "done",
       2,
       true},
      {"the last failure is passed on",
       "/safe/",
       {{MakeAnswer("500 Failed", kSignature, "first")},
        {MakeAnswer("500 Failed", kSignature, "second")}},
       "500",
       "second",
       2,
       true},
      {"success without a signature",
       "/safe/",
       {{MakeAnswer("200 OK", "Request-Id: id1\r\n", "x")}, {kOk}},
       "200",
       "done",
       2,
       true},
  });
}

/// Endpoints may send answers late, to the wrong request or twice.
TEST(Exchange, AnswersToOtherRequestsAreDiscarded) {
  const std::string other = MakeAnswer(
      "200 OK", "Request-Id: other\r\nServer-Signature: p\r\n", "wrong");
  RunRows({
      {"an answer to another request first",
       "/unsafe/",
       {{other + kOk}},
       "200",
       "done",
       1,
       true},
      {"an interim answer first",
       "/unsafe/",
       {{"HTTP/1.1 100 Continue\r\n\r\n" + kOk}},
       "200",
       "done",
       1,
       true},
      {"an answer to another request after it",
       "/unsafe/",
       {{kOk + other}},
       "200",
       "done",
       1,
       true},
      {"only an answer to another request",
       "/unsafe/",
       {{other, Then::kClose}},
       "502",
       "",
       1,
       true},
  });
}

/// Guards against an answer to an earlier request that is taken for the one to
/// the next request on the same connection: without an id it tells nothing
/// there, neither that the request has not run nor that it succeeded.
TEST(Exchange, AnswersWithoutAnIdCountOnNewConnectionsOnly) {
  struct KeptRow {
    const char* name;
    const char* path;
    std::string second;  ///< Answer to the second request on the connection.
    Then then;
    const char* status;
    const char* contains;
    std::size_t sends;  ///< Of both requests.
  };
  const std::string refusal = MakeAnswer("503 Busy", "Not-Executed: 1\r\n", "");
  const std::string misdirected =
      MakeAnswer("421 Misdirected", "Instance-Id: other\r\n", "");
  const std::string success =
      MakeAnswer("200 OK", "Server-Signature: p\r\n", "wrong");
  const KeptRow rows[] = {
      {"refusal, then the answer", "/unsafe/", refusal + kOk, Then::kKeep,
       "200", "done", 2},
      {"refusal of another instance", "/unsafe/", misdirected + kOk,
       Then::kKeep, "200", "done", 2},
      {"refusal alone", "/unsafe/", refusal, Then::kClose, "502", "", 2},
      {"refusal alone of a repeatable call", "/safe/", refusal, Then::kClose,
       "200", "done", 3},
      {"success, then the answer", "/unsafe/", success + kOk, Then::kKeep,
       "200", "done", 2},
      {"a refusal that names the request", "/unsafe/", kNotExecuted,
       Then::kKeep, "200", "done", 3},
  };
  for (const KeptRow& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {{kOk}, {row.second, row.then}, {kOk}};
    scene.Call(CallerRequest(row.path));
    scene.AddEndpoint("e2");
    scene.gateway.endpoints.endpoints.at("e2")->entry.data_centre = "far";
    const std::string answer = scene.Call(CallerRequest(row.path));
    const std::string context = std::string(row.name) + ": " + answer;
    CHECK_TEXT(Has(answer, std::string("HTTP/1.1 ") + row.status),
               context.c_str());
    CHECK_TEXT(Has(answer, row.contains), context.c_str());
    LONGS_EQUAL_TEXT(row.sends, scene.received.size(), row.name);
  }
}

/// A connection on which a stray answer came is not used again.
TEST(Exchange, StrayAnswersCloseTheConnection) {
  const std::string stray = MakeAnswer("503 Busy", "Not-Executed: 1\r\n", "");
  const std::string other =
      MakeAnswer("503 Busy", "Request-Id: other\r\nNot-Executed: 1\r\n", "");
  for (const std::string& first : {stray, other}) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {{kOk}, {first + kOk}};
    scene.Call(CallerRequest("/unsafe/"));
    LONGS_EQUAL(0, scene.closed_by_gateway);
    scene.Call(CallerRequest("/unsafe/"));
    CHECK(scene.RunUntil([&scene] { return scene.closed_by_gateway == 1; }));
  }
}

TEST(Exchange, StreamsForwardCompleteEventsInOrder) {
  RunRows({
      {"complete events",
       "/stream/",
       {{kEvents + Chunk(EventOf(1) + "id: 2\nda") + Chunk("ta: e2\n\n") +
         "0\r\n\r\n"}},
       "200",
       "data: e2",
       1,
       true},
      {"repeated event",
       "/stream/",
       {{kEvents + Chunk(EventOf(1) + EventOf(1) + EventOf(2)) + "0\r\n\r\n"}},
       "200",
       "data: e2",
       1,
       true},
      {"cut between events",
       "/stream/",
       {{kEvents + Chunk(EventOf(1)), Then::kClose}},
       "200",
       "data: e1",
       1,
       false},
      {"ends within an event",
       "/stream/",
       {{kEvents + Chunk(EventOf(1) + "id: 2\nda") + "0\r\n\r\n"}},
       "200",
       "data: e1",
       1,
       false},
      {"cut before the first event",
       "/stream/",
       {{kEvents, Then::kClose}},
       "502",
       "",
       1,
       true},
      {"resumed elsewhere",
       "/resume/",
       {{kEvents + Chunk(EventOf(1) + "id: 2"), Then::kClose},
        {kEvents + Chunk(EventOf(2) + EventOf(3)) + "0\r\n\r\n"}},
       "200",
       "data: e1\n\n",
       2,
       true},
      {"cut again",
       "/resume/",
       {{kEvents + Chunk(EventOf(1)), Then::kReset},
        {kEvents + Chunk(EventOf(2)), Then::kReset}},
       "200",
       "data: e2",
       2,
       false},
  });
}

/// Guards against an answer that is forwarded in the middle of another one: a
/// stream that broke off goes on only with events, and an answer of which a
/// part has been forwarded is not begun again.
TEST(Exchange, BrokenAnswersAreNotContinuedByOthers) {
  constexpr std::size_t kShort = 90;
  constexpr std::size_t kLong = 400'000;  // Longer than what is collected.
  const std::string cut_stream = kEvents + Chunk(EventOf(1) + EventOf(2));
  const std::string cut_body = "HTTP/1.1 200 OK\r\n" + kSignature +
                               "Content-Length: 400000\r\n\r\n" +
                               std::string(kLong - 1, 'y');
  struct ContinuedRow {
    const char* name;
    const char* path;
    std::string first;
    std::string second;
    const char* contains;
  };
  const auto failure = [](std::size_t bytes) {
    return MakeAnswer("500 Failed", kSignature, std::string(bytes, 'x'));
  };
  const ContinuedRow rows[] = {
      {"short failure", "/resume/", cut_stream, failure(kShort), "data: e2"},
      {"long failure", "/resume/", cut_stream, failure(kLong), "data: e2"},
      {"long failure without a length", "/resume/", cut_stream,
       "HTTP/1.1 500 Failed\r\n" + kSignature + "\r\n" +
           std::string(kLong, 'x'),
       "data: e2"},
      {"failure of the type of a stream", "/resume/", cut_stream,
       MakeAnswer("500 Failed",
                  kSignature + "Content-Type: text/event-stream\r\n",
                  std::string(kLong, 'x') + "\n\n"),
       "data: e2"},
      {"long success that is no stream", "/resume/", cut_stream,
       MakeAnswer("200 OK", kSignature, std::string(kLong, 'x')), "data: e2"},
      {"a body begun again", "/safe/", cut_body,
       MakeAnswer("200 OK", kSignature, std::string(kLong, 'x')), "yyyy"},
      {"a body that is no stream", "/resume/", cut_body,
       kEvents + Chunk(EventOf(1) + "id: 2\ndata: xxxx\n\n") + "0\r\n\r\n",
       "yyyy"},
      {"events without ids", "/resume/", kEvents + Chunk("data: e2\n\n"),
       kEvents + Chunk("data: xxxx\n\n") + "0\r\n\r\n", "data: e2"},
  };
  for (const ContinuedRow& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.AddEndpoint("e2");
    scene.answers = {{row.first, Then::kClose}, {row.second, Then::kClose}};
    const std::string answer = scene.Call(CallerRequest(row.path));
    CHECK_TEXT(Has(answer, row.contains), row.name);
    CHECK_FALSE_TEXT(Has(answer, "xxxx"), row.name);
    CHECK_FALSE_TEXT(Has(answer, "500 Failed"), row.name);
    CHECK_FALSE_TEXT(IsComplete(answer), row.name);
  }
}

TEST(Exchange, RepeatedEventsAreForwardedOnce) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.answers = {
      {kEvents + Chunk(EventOf(1) + EventOf(1) + EventOf(2)) + "0\r\n\r\n"}};
  const std::string answer = scene.Call(CallerRequest("/stream/"));
  const std::size_t first = answer.find("data: e1");
  CHECK(first != std::string::npos);
  CHECK(answer.find("data: e1", first + 1) == std::string::npos);
}

TEST(Exchange, ResumedStreamsSendTheLastEventId) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.AddEndpoint("e2");
  scene.answers = {{kEvents + Chunk(EventOf(1) + EventOf(2)), Then::kReset},
                   {kEvents + Chunk(EventOf(3)) + "0\r\n\r\n"}};
  const std::string answer = scene.Call(CallerRequest("/resume/"));
  CHECK(Has(answer, "data: e3"));
  CHECK_FALSE(Has(scene.received.at(0), "Last-Event-Id"));
  CHECK(Has(scene.received.at(1), "Last-Event-Id: 2\r\n"));
}

/// Header fields that are internal to the system are not taken from callers.
TEST(Exchange, RequestsReachEndpointsAsTheCallerSentThem) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.answers = {{kOk}};
  scene.Call(
      CallerRequest("/unsafe/",
                    "Hold: 3\r\nPin-Ms: 9\r\nKv-Backup: x\r\nKv-From: y\r\n"
                    "Expect-Instance: other\r\nX-Own: kept\r\n"
                    "Connection: X-Hop\r\nX-Hop: 1\r\n"));
  const std::string& received = scene.received.at(0);
  CHECK(Has(received, "POST /unsafe/x HTTP/1.1\r\n"));
  CHECK(Has(received, "X-Own: kept\r\n"));
  CHECK(Has(received, "Request-Id: id1\r\n"));
  CHECK(Has(received, "Expect-Instance: e1\r\n"));
  CHECK(Has(received, "\r\n\r\nhi"));
  for (const char* field : {"Hold:", "Pin-Ms", "Kv-", "other", "X-Hop"})
    CHECK_FALSE_TEXT(Has(received, field), field);
}
