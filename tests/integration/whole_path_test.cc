#include <string>
#include <vector>

#include "http_calls.h"
#include "site.h"
#include "standins/engine_standin/expected_token.h"

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::Milliseconds;
using coltsfootvane::Result;
using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
namespace http = coltsfootvane::http;

/// The text that an engine gives to a streamed request with its own seed.
std::string ExpectedText(const http::Request& request, int tokens) {
  std::string text;
  for (int n = 1; n <= tokens; ++n)
    text += coltsfootvane::standins::ExpectedToken(request.body, n);
  return text;
}

}  // namespace

TEST_GROUP(WholePath){};

// Guards against a path that works only in parts: from an applied
// configuration to streamed, whole, lookup and booking answers at each daemon.
TEST(WholePath, EveryDaemonAnswersEveryKindOfCall) {
  Site site{SiteOptions()};
  site.StartAll();
  for (const DaemonProcess& daemon : site.daemons) {
    http::Request chat = ChatRequest("diagnosis", "why " + daemon.id, 12);
    chat.headers.push_back(InteractiveKey());
    const ReceivedStream stream = ReadStream(daemon.entry, chat);
    LONGS_EQUAL(200, stream.status);
    CHECK(stream.whole);
    CHECK(stream.done);
    STRCMP_EQUAL(ExpectedText(chat, 12).c_str(), StreamText(stream).c_str());

    http::Request whole = ChatRequest("diagnosis-shutters", "x", 4, false);
    whole.headers.push_back(LookupKey());
    const Result<http::Response> answer = Send(daemon.entry, whole);
    CHECK(answer.has_value());
    LONGS_EQUAL(200, answer.assume_value().status);

    const Result<http::Response> lookup =
        Send(daemon.entry, {"GET", "/booking/parts/7", "", {LookupKey()}, ""});
    CHECK(lookup.has_value());
    LONGS_EQUAL(200, lookup.assume_value().status);

    const std::vector<http::Header> headers = {
        InteractiveKey(), {"Idempotency-Key", "key-" + daemon.id}};
    const Result<http::Response> booking = PostJson(
        daemon.entry, "/booking/bookings", {{"camera", "M3"}}, headers);
    CHECK(booking.has_value());
    LONGS_EQUAL(200, booking.assume_value().status);

    const Result<http::Response> metrics = Get(daemon.admin, "/metrics");
    CHECK(metrics.has_value());
    STRCMP_CONTAINS("coltsfootvane_configuration_version 1",
                    metrics.assume_value().body.c_str());
    STRCMP_CONTAINS("coltsfootvane_requests_total",
                    metrics.assume_value().body.c_str());
  }
  const nlohmann::json effects = site.ServiceEffects();
  LONGS_EQUAL(site.daemons.size(), effects.size());
  LONGS_EQUAL(0, site.EngineStat("overcommits"));
}

// Guards against a stream that is buffered on its way: each event must reach
// the caller before the engine has produced the next ones.
TEST(WholePath, EventsArriveAsTheyAreProduced) {
  SiteOptions options;
  for (EngineOptions& engine : options.engines)
    engine.token_ms = 100;
  Site site{options};
  site.StartAll();
  http::Request chat = ChatRequest("diagnosis", "slowly", 8);
  chat.headers.push_back(InteractiveKey());
  const ReceivedStream stream = ReadStream(site.daemons[0].entry, chat);
  CHECK(stream.done);
  LONGS_EQUAL(9, stream.events.size());
  for (std::size_t i = 1; i + 1 < stream.events.size(); ++i) {
    STRCMP_EQUAL(std::to_string(i + 1).c_str(), stream.events[i].id.c_str());
    CHECK(stream.events[i].arrival - stream.events[i - 1].arrival >
          Milliseconds{40});
  }
}

// Guards against requests that are refused without saying what is wrong.
TEST(WholePath, BadRequestsAreRefusedWithTheReason) {
  Site site{SiteOptions()};
  site.StartAll();
  struct Row {
    const char* name;
    http::Request request;
    int status;
    const char* reason;
  };
  const auto post = [](const std::string& path, const std::string& body) {
    return http::Request{"POST", path, "", {InteractiveKey()}, body};
  };
  const Row rows[] = {
      {"not JSON", post("/v1/chat/completions", "{"), 400, "JSON"},
      {"no model", post("/v1/chat/completions", "{}"), 400, "model"},
      {"unknown model",
       post(
           "/v1/chat/completions",
           R"({"model":"nothing","messages":[{"role":"user","content":"x"}]})"),
       404, "diagnosis"},
      {"unknown path", post("/nowhere", "{}"), 404, "path"},
      {"unknown key",
       {"POST",
        "/v1/chat/completions",
        "",
        {{"Authorization", "Bearer no"}},
        "{}"},
       401,
       "key"},
      {"no idempotency key", post("/booking/bookings", "{}"), 400,
       "Idempotency-Key"},
      {"large body",
       post("/v1/chat/completions", std::string(std::size_t{2} << 20U, ' ')),
       413, "large"},
  };
  for (const Row& row : rows) {
    const Result<http::Response> response =
        Send(site.daemons[0].entry, row.request);
    CHECK_TEXT(response.has_value(), row.name);
    LONGS_EQUAL_TEXT(row.status, response.assume_value().status, row.name);
    STRCMP_CONTAINS_TEXT(row.reason, response.assume_value().body.c_str(),
                         row.name);
    STRCMP_CONTAINS_TEXT(R"("run":"no")", response.assume_value().body.c_str(),
                         row.name);
  }
  CHECK(site.ServiceEffects().empty());
}
