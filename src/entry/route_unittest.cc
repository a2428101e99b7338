#include "entry/route.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "entry/retry_budget.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

Configuration MakeConfiguration() {
  Configuration configuration;
  configuration.models.push_back({"m1", "1", 100, 1, {}});
  configuration.adapters.push_back({"a1", "m1", "1", 1, {}});
  Route engines;
  engines.path_prefix = "/v1/";
  Route ledger;
  ledger.path_prefix = "/ledger";
  ledger.kind = EndpointKind::kService;
  ledger.service = "ledger";
  ledger.priority = Priority::kLookup;
  Route booking = ledger;
  booking.path_prefix = "/ledger/booking";
  booking.service = "booking";
  booking.priority = Priority::kInteractive;
  booking.irreversible.push_back({"POST", "/ledger/booking/new", {}});
  configuration.routes = {engines, ledger, booking};
  configuration.callers.push_back(
      {"counter", "key1", Priority::kInteractive, {}});
  configuration.callers.push_back({"night", "key2", Priority::kOvernight, {}});
  return configuration;
}

http::Request MakeRequest(const char* method,
                          const char* path,
                          std::vector<http::Header> headers,
                          const std::string& body = "") {
  headers.push_back({"authorization", "bearer key1"});
  return {method, path, "", std::move(headers), body};
}

std::variant<RoutedCall, Refusal> RouteForTest(const http::Request& request) {
  const SendTracker tracker;
  return RouteRequest(MakeConfiguration(), request, 77, *tracker.Proof());
}

/// Returns `status type` of a refusal, or a summary of the routed call.
std::string Describe(const http::Request& request) {
  const std::variant<RoutedCall, Refusal> routed = RouteForTest(request);
  if (const auto* refusal = std::get_if<Refusal>(&routed))
    return std::to_string(refusal->Status()) + " " + refusal->Type();
  const auto& call = std::get<RoutedCall>(routed);
  std::string text = call.item + " " + std::string(PriorityName(call.priority));
  if (call.is_read)
    text += " read";
  if (call.irreversible)
    text += " once " + call.key;
  return text;
}

constexpr char kBody[] = R"({"model":"m1","messages":[{"content":"hi"}]})";

}  // namespace

TEST_GROUP(Route){};

// Guards against a request that reaches the wrong endpoints, runs at a higher
// priority than allowed, or bypasses the rules for irreversible calls.
TEST(Route, RequestsAreRoutedByTheRules) {
  struct Row {
    const char* method;
    const char* path;
    std::vector<http::Header> headers;
    const char* body;
    const char* expected;
  };
  const Row rows[] = {
      {"POST", "/v1/chat/completions", {}, kBody, "m1 interactive"},
      {"GET", "/v1/chat/completions", {}, "", "405 method_not_allowed"},
      {"POST", "/v1/embeddings", {}, kBody, "404 unknown_path"},
      {"POST", "/v2", {}, kBody, "404 unknown_path"},
      {"GET", "/ledgers", {}, "", "404 unknown_path"},
      {"GET", "/ledger", {}, "", "ledger lookup read"},
      {"GET", "/ledger/parts", {}, "", "ledger lookup read"},
      {"DELETE", "/ledger/parts", {}, "", "ledger lookup"},
      {"HEAD", "/ledger/parts", {}, "", "405 method_not_allowed"},
      {"GET", "/ledger/booking/1", {}, "", "booking interactive read"},
      {"POST", "/ledger/booking/new", {}, "", "400 missing_idempotency_key"},
      {"POST", "/ledger/%62ooking/new", {}, "", "400 missing_idempotency_key"},
      {"POST", "/ledger/booking%2fnew", {}, "", "400 invalid_path"},
      {"POST", "/ledger/x/../booking/new", {}, "", "400 invalid_path"},
      {"POST", "/ledger//booking/new", {}, "", "400 invalid_path"},
      {"POST", "/ledger/booking/new;a", {}, "", "400 invalid_path"},
      {"POST", "/ledger/%zz", {}, "", "400 invalid_path"},
      {"POST",
       "/ledger/booking/new",
       {{"Idempotency-Key", "k"}},
       "",
       "booking interactive once k"},
      {"GET",
       "/ledger",
       {{"X-Priority", "overnight"}},
       "",
       "ledger overnight read"},
      {"GET",
       "/ledger",
       {{"X-Priority", "interactive"}},
       "",
       "ledger lookup read"},
      {"GET", "/ledger", {{"X-Priority", "soon"}}, "", "400 invalid_priority"},
      {"GET",
       "/ledger",
       {{"Authorization", "Bearer key2"}},
       "",
       "ledger overnight read"},
      {"GET",
       "/ledger",
       {{"Authorization", "Bearer key3"}},
       "",
       "401 invalid_api_key"},
      {"GET",
       "/ledger",
       {{"Authorization", "Basic key1"}},
       "",
       "401 invalid_api_key"},
  };
  for (const Row& row : rows) {
    const std::string name = std::string(row.method) + " " + row.path;
    STRCMP_EQUAL_TEXT(
        row.expected,
        Describe(MakeRequest(row.method, row.path, row.headers, row.body))
            .c_str(),
        name.c_str());
  }
}

// Guards against bodies that crash the entry listener, and against invalid
// bodies that reach an engine.
TEST(Route, BodiesAreChecked) {
  struct Row {
    const char* path;
    std::string body;
    const char* expected;
  };
  const Row rows[] = {
      {"/v1/chat/completions", "", "400 invalid_request"},
      {"/v1/chat/completions", "{", "400 invalid_request"},
      {"/v1/chat/completions", "[]", "400 invalid_request"},
      {"/v1/chat/completions", std::string(200000, '['), "400 invalid_request"},
      {"/v1/chat/completions",
       R"({"model":"m1","messages":[],"x":)" + std::string(300, '[') +
           std::string(300, ']') + "}",
       "400 invalid_request"},
      {"/v1/chat/completions", R"({"messages":[1]})", "400 invalid_request"},
      {"/v1/chat/completions", R"({"model":1,"messages":[1]})",
       "400 invalid_request"},
      {"/v1/chat/completions", R"({"model":"m1","messages":[]})",
       "400 invalid_request"},
      {"/v1/chat/completions",
       R"({"model":"m1","messages":[1],"stream":"yes"})",
       "400 invalid_request"},
      {"/v1/chat/completions", R"({"model":"m1","messages":[1],"seed":"x"})",
       "400 invalid_request"},
      {"/v1/chat/completions", "{\"model\":\"\xff\",\"messages\":[1]}",
       "400 invalid_request"},
      {"/v1/completions", R"({"model":"m1"})", "400 invalid_request"},
      {"/v1/completions", R"({"model":"a1","prompt":"x"})", "a1 interactive"},
      {"/v1/completions", R"({"model":"m2","prompt":"x"})",
       "404 model_not_found"},
  };
  for (const Row& row : rows) {
    STRCMP_EQUAL_TEXT(
        row.expected,
        Describe(MakeRequest("POST", row.path, {}, row.body)).c_str(),
        row.body.substr(0, 60).c_str());
  }
}

// Guards against JSON members that are lost or changed on the way to the
// engine.
TEST(Route, UnknownMembersPassThrough) {
  const std::string body =
      R"({"model":"m1","messages":[{"content":"é"}],"big":18446744073709551615,)"
      R"("ratio":0.1,"deep":{"a":[null,true]},"priority":9})";
  const auto routed =
      RouteForTest(MakeRequest("POST", "/v1/chat/completions", {}, body));
  json sent = json::parse(std::get<RoutedCall>(routed).body);
  LONGS_EQUAL(0, sent["priority"].get<int>());
  LONGS_EQUAL(77, sent["seed"].get<int>());
  sent.erase("seed");
  json original = json::parse(body);
  original["priority"] = 0;
  CHECK(original == sent);
}

// Guards against a resumed stream whose tokens do not continue the first part.
TEST(Route, ResumingNeedsTheSeed) {
  struct Row {
    const char* body;
    const char* last_id;
    const char* expected;
    int resume_after;
  };
  const Row rows[] = {
      {R"({"model":"m1","prompt":"x","stream":true,"seed":5})", "12",
       "m1 interactive", 12},
      {R"({"model":"m1","prompt":"x","stream":true})", "12", "400 missing_seed",
       0},
      {R"({"model":"m1","prompt":"x","stream":true,"seed":5})", "-1",
       "400 invalid_last_event_id", 0},
      {R"({"model":"m1","prompt":"x","stream":true,"seed":5})", "1x",
       "400 invalid_last_event_id", 0},
      {R"({"model":"m1","prompt":"x","seed":5})", "12", "m1 interactive", 0},
  };
  for (const Row& row : rows) {
    const http::Request request = MakeRequest(
        "POST", "/v1/completions", {{"Last-Event-ID", row.last_id}}, row.body);
    STRCMP_EQUAL_TEXT(row.expected, Describe(request).c_str(), row.last_id);
    const auto routed = RouteForTest(request);
    if (const auto* call = std::get_if<RoutedCall>(&routed))
      LONGS_EQUAL(row.resume_after, call->resume_after);
  }
}

// Guards against prompts with the same beginning getting different prefix
// hashes, so that they miss the endpoint's prefix cache.
TEST(Route, PrefixHashCoversTheBeginning) {
  const auto hash = [](const std::string& prompt) {
    const std::string body = json{{"model", "m1"}, {"prompt", prompt}}.dump();
    const auto routed =
        RouteForTest(MakeRequest("POST", "/v1/completions", {}, body));
    return std::get<RoutedCall>(routed).prefix_hash;
  };
  const std::string start(kPrefixBytes, 'p');
  CHECK(hash(start + "a") == hash(start + "b"));
  CHECK(hash("a" + start) != hash("b" + start));
  CHECK(hash("") != 0);
}

TEST_GROUP(Refusal){};

// Guards against a refusal that claims "not run" after a byte was written, and
// against a Retry-After that is too short.
TEST(Refusal, SaysWhetherTheRequestRan) {
  struct Row {
    bool begun;
    bool not_sent;
    int retry_after_ms;
    const char* run;
    const char* seconds;
  };
  const Row rows[] = {
      {false, false, 0, "no", "0"},
      {false, false, 1, "no", "1"},
      {true, true, 1000, "no", "1"},
      {true, false, 1001, "unknown", "2"},
  };
  for (const Row& row : rows) {
    SendTracker tracker;
    if (row.begun)
      tracker.BeginCall();
    if (row.not_sent)
      tracker.MarkCallNotSent();
    const http::Response response =
        MakeRefusal(tracker, 503, "type", "why \xff", row.retry_after_ms)
            .ToResponse();
    const json body = json::parse(response.body);
    STRCMP_EQUAL(row.run, body["error"]["run"].get<std::string>().c_str());
    const std::string seconds(
        http::FindHeader(response.headers, "Retry-After"));
    STRCMP_EQUAL(row.seconds, seconds.c_str());
    const std::string exact(
        http::FindHeader(response.headers, "Retry-After-Ms"));
    STRCMP_EQUAL(std::to_string(row.retry_after_ms).c_str(), exact.c_str());
  }
}

// Guards against a later failed connect hiding an earlier send, which would
// claim "not run" wrongly.
TEST(Refusal, AFailedConnectDoesNotHideAnEarlierSend) {
  SendTracker tracker;
  tracker.BeginCall();
  tracker.BeginCall();
  tracker.MarkCallNotSent();
  CHECK(!tracker.Proof().has_value());
}

TEST_GROUP(RetryBudget){};

// Guards against retries that amplify an overload, and against a daemon with
// little traffic that cannot retry at all.
TEST(RetryBudget, AllowsATenthOfTheTrafficAndAMinimumRate) {
  RetryBudget budget;
  TimePoint now = TimePoint() + std::chrono::hours{1};
  int spent = 0;
  for (int request = 0; request < 10000; ++request) {
    CreditRetries(&budget, now);
    spent += SpendRetry(&budget, now) ? 1 : 0;
    now += Milliseconds{1};
  }
  CHECK(spent >= 1000);
  CHECK(spent <= 1000 + 10 + 10);
  CHECK(!SpendRetry(&budget, now));
  now += Milliseconds{1100};
  CHECK(SpendRetry(&budget, now));
}
