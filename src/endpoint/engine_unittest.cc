#include "endpoint/engine.h"

#include <memory>
#include <string>
#include <vector>

#include "endpoint/service.h"
#include "http/server.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::Clock;
using coltsfootvane::ErrorCode;
using coltsfootvane::Result;
using coltsfootvane::TimePoint;
namespace endpoint = coltsfootvane::endpoint;
namespace http = coltsfootvane::http;

TimePoint In(int milliseconds) {
  return Clock::now() + coltsfootvane::Milliseconds{milliseconds};
}

std::unique_ptr<http::Server> StartServer(http::Address* address,
                                          http::Handler handler) {
  const std::string host = coltsfootvane::testing::OwnLoopbackHost();
  http::ServerOptions options;
  options.listen = {host, coltsfootvane::testing::FreePort(host)};
  options.threads = 4;
  Result<std::unique_ptr<http::Server>> server =
      http::Server::Start(options, std::move(handler));
  CHECK(server.has_value());
  *address = options.listen;
  return std::move(server).assume_value();
}

std::string CodeName(ErrorCode code) {
  return coltsfootvane::ErrorCodeName(code);
}

}  // namespace

TEST_GROUP(Engine){};

// Guards against passing on a stream that is cut, has a gap, repeats an event
// or belongs to another request as if it were complete.
TEST(Engine, OnlyACompleteOwnStreamSucceeds) {
  struct Row {
    const char* name;
    int status;
    const char* echo;
    const char* body;
    bool end;
    const char* outcome;
    const char* data;
  };
  const Row rows[] = {
      {"complete", 200, "r1",
       "id: 3\ndata: a\n\nid: 4\ndata: b\n\ndata: [DONE]\n\n", true, "ok",
       "ab"},
      {"no done", 200, "r1", "id: 3\ndata: a\n\n", true, "unknown", "a"},
      {"cut", 200, "r1", "id: 3\ndata: a\n\n", false, "unknown", "a"},
      {"gap", 200, "r1", "id: 4\ndata: b\n\ndata: [DONE]\n\n", true, "unknown",
       ""},
      {"repeated", 200, "r1", "id: 3\ndata: a\n\nid: 3\ndata: a\n\n", true,
       "unknown", "a"},
      {"other request", 200, "r2", "id: 3\ndata: a\n\ndata: [DONE]\n\n", true,
       "unknown", ""},
      {"refused", 503, "r1", "busy", true, "refused", ""},
      {"not found", 404, "r1", "no model", true, "refused", ""},
  };
  for (const Row& row : rows) {
    http::Address address;
    auto server = StartServer(&address, [&row](const http::Request&,
                                               http::ReplyStream& reply) {
      const std::vector<http::Header> headers = {{"X-Request-Id", row.echo}};
      reply.Begin(row.status, headers);
      reply.Write(row.body);
      if (row.end)
        reply.End();
    });
    std::string data;
    endpoint::CompletionHandler handler;
    handler.on_event = [&data](const endpoint::StreamEvent& event) {
      data += event.data;
      return true;
    };
    const Result<bool> result = endpoint::StreamCompletion(
        address, {"/v1/completions", "{}", "r1", 2}, handler, In(3000));
    const std::string outcome =
        result ? "ok" : CodeName(result.assume_error().code);
    STRCMP_EQUAL_TEXT(row.outcome, outcome.c_str(), row.name);
    STRCMP_EQUAL_TEXT(row.data, data.c_str(), row.name);
  }
}

// Guards against resolving a command whose effect is open, and against taking
// an outdated number for a refusal of another kind.
TEST(Engine, CommandStatusesMapToErrors) {
  struct Row {
    int status;
    const char* outcome;
  };
  for (const Row& row :
       {Row{200, "ok"}, Row{409, "conflict"}, Row{404, "refused"},
        Row{503, "refused"}, Row{500, "unknown"}, Row{504, "unknown"}}) {
    http::Address address;
    std::string path;
    std::string number;
    auto server = StartServer(
        &address, [&](const http::Request& request, http::ReplyStream& reply) {
          path = request.path;
          number = http::FindHeader(request.headers, "X-Fencing-Number");
          reply.Send({row.status, {}, "{}"});
        });
    endpoint::Command command;
    command.item = "m";
    command.fencing_number = 4294967297;
    const Result<bool> result =
        endpoint::SendCommand(address, command, In(3000));
    const std::string outcome =
        result ? "ok" : CodeName(result.assume_error().code);
    STRCMP_EQUAL(row.outcome, outcome.c_str());
    STRCMP_EQUAL("/v2/repository/models/m/load", path.c_str());
    STRCMP_EQUAL("4294967297", number.c_str());
  }
}

// Guards against delivering another caller's booking response.
TEST(Engine, ServiceResponseMustEchoTheRequestId) {
  http::Address address;
  auto server = StartServer(
      &address, [](const http::Request& request, http::ReplyStream& reply) {
        reply.Send({200, {{"X-Request-Id", request.body}}, "{}"});
      });
  const http::Request own{"POST", "/b", "", {{"X-Request-Id", "r1"}}, "r1"};
  const http::Request other{"POST", "/b", "", {{"X-Request-Id", "r1"}}, "r2"};
  CHECK(endpoint::CallService(address, own, In(3000)).has_value());
  const auto result = endpoint::CallService(address, other, In(3000));
  CHECK(!result.has_value());
  CHECK(result.assume_error().code == ErrorCode::kUnknown);
}
