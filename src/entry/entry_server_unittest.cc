#include "entry/entry_server.h"

#include <algorithm>
#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http/client.h"
#include "platform/object_json.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using nlohmann::json;

struct Listener {
  http::Address address;
  std::unique_ptr<http::Server> server;
};

Listener StartListener(http::Handler handler) {
  const std::string host = testing::OwnLoopbackHost();
  http::ServerOptions options;
  options.listen = {host, testing::FreePort(host)};
  options.threads = 8;
  auto server = http::Server::Start(options, std::move(handler));
  CHECK(server.has_value());
  return {options.listen, std::move(server.value())};
}

std::string Find(gsl::span<const http::Header> headers, const char* name) {
  return std::string(http::FindHeader(headers, name));
}

/// Streams events 1 to `tokens`, with faults.
struct Engine {
  int tokens = 5;
  int cut_after = -1;  ///< Event after which the connection is cut.
  int gap_ms = 0;
  int status = 200;
  bool leaving = false;
  std::atomic<int> calls{0};
  std::atomic<bool> cancelled{false};
  std::string last_body;
  Listener listener = StartListener(
      [this](const http::Request& request, http::ReplyStream& reply) {
        this->Handle(request, reply);
      });

  void Handle(const http::Request& request, http::ReplyStream& reply) {
    ++this->calls;
    this->last_body = request.body;
    std::vector<http::Header> headers = {
        {"X-Request-Id", Find(request.headers, "X-Request-Id")}};
    if (this->leaving)
      headers.push_back({"X-Leaving", "1"});
    const bool streamed = json::parse(request.body).value("stream", false);
    if (this->status != 200 || !streamed) {
      reply.Send({this->status, headers, R"({"object":"engine"})"});
      return;
    }
    reply.Begin(200, headers);
    const std::string last = Find(request.headers, "Last-Event-ID");
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= this->tokens;
         ++id) {
      if (this->cut_after >= 0 && id > this->cut_after) {
        reply.Abort();
        return;
      }
      if (!reply.Write("id: " + std::to_string(id) + "\ndata: {}\n\n") ||
          reply.CallerGone()) {
        this->cancelled = true;
        return;
      }
      std::this_thread::sleep_for(Milliseconds{this->gap_ms});
    }
    reply.Write("data: [DONE]\n\n");
    reply.End();
  }
};

/// A plain service that can lose its response.
struct Service {
  bool cut = false;
  bool leaving = false;
  std::atomic<int> calls{0};
  std::string last_caller;
  Listener listener = StartListener([this](const http::Request& request,
                                           http::ReplyStream& reply) {
    ++this->calls;
    this->last_caller = Find(request.headers, "X-Caller") + "/" +
                        Find(request.headers, "Authorization");
    if (this->cut) {
      reply.Abort();
      return;
    }
    http::Response response = {201, {}, "booked " + request.body};
    response.headers = {{"X-Request-Id", Find(request.headers, "X-Request-Id")},
                        {"Content-Type", "text/plain"}};
    if (this->leaving)
      response.headers.push_back({"X-Leaving", "1"});
    reply.Send(response);
  });
};

/// The platform's object API for records.
struct Platform {
  std::mutex mutex;
  std::map<std::string, platform::Object> objects;
  std::int64_t version = 0;
  Listener listener = StartListener(
      [this](const http::Request& request, http::ReplyStream& reply) {
        reply.Send(this->Answer(request));
      });

  http::Response Answer(const http::Request& request) {
    std::lock_guard<std::mutex> lock(this->mutex);
    const std::string name =
        request.path.substr(request.path.find_last_of('/') + 1);
    const auto found = this->objects.find(name);
    if (request.method == "GET") {
      if (found == this->objects.end())
        return {404, {}, "{}"};
      return {200, {}, platform::FormatObject(found->second).value()};
    }
    const json body = json::parse(request.body);
    platform::Object object;
    object.kind = platform::kRecordKind;
    object.name = body["metadata"]["name"].get<std::string>();
    object.resource_version =
        std::stoll(body["metadata"].value("resourceVersion", "0"));
    object.spec = body["spec"].dump();
    const auto stored = this->objects.find(object.name);
    const bool exists = stored != this->objects.end();
    const bool wanted = request.method == "POST"
                            ? !exists
                            : exists && stored->second.resource_version ==
                                            object.resource_version;
    if (!wanted)
      return {409, {}, "{}"};
    object.resource_version = ++this->version;
    this->objects[object.name] = object;
    return {200, {}, platform::FormatObject(object).value()};
  }
};

/// Grants the first endpoint of the item that is not excluded.
struct Slots {
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> endpoints;
  SlotVerdict denial = SlotVerdict::kNoCopy;
  int outstanding = 0;
  int failures = 0;
  std::uint64_t grants = 0;
  std::uint64_t preempted_grant = 0;

  SlotAnswer Ask(const SlotRequest& request) {
    std::lock_guard<std::mutex> lock(this->mutex);
    SlotAnswer answer;
    for (const std::string& id : this->endpoints[request.item]) {
      if (std::count(request.excluded.begin(), request.excluded.end(), id) > 0)
        continue;
      ++this->outstanding;
      return {SlotVerdict::kGranted, id, ++this->grants, 0};
    }
    return {this->denial, "", 0, 1500};
  }

  SlotClient Client() {
    SlotClient client;
    client.ask = [this](const SlotRequest& request,
                        const std::function<bool()>&) {
      return this->Ask(request);
    };
    client.give_back = [this](const SlotAnswer&, const SlotOutcome& outcome) {
      std::lock_guard<std::mutex> lock(this->mutex);
      --this->outstanding;
      this->failures += outcome.endpoint_failed ? 1 : 0;
    };
    client.is_preempted = [this](const SlotAnswer& answer) {
      std::lock_guard<std::mutex> lock(this->mutex);
      return answer.grant_id == this->preempted_grant;
    };
    return client;
  }
};

/// An entry before two engines, two service replicas and a platform.
struct Fixture {
  Engine e1;
  Engine e2;
  Service s1;
  Service s2;
  Platform platform;
  Slots slots;
  InForceHolder in_force;
  Metrics metrics;
  platform::Connection connection;
  std::unique_ptr<RecordWriter> records;
  std::set<std::string> leaving;
  std::unique_ptr<EntryServer> entry;
  http::Address address;

  explicit Fixture(unsigned threads = 8, unsigned refusal_threads = 2) {
    this->SetConfiguration();
    this->slots.endpoints = {{"m1", {"e1", "e2"}}, {"booking", {"s1", "s2"}}};
    this->connection =
        platform::MakeConnection(this->platform.listener.address, 1000);
    this->records = std::make_unique<RecordWriter>(
        MakeRecordStore(this->connection), RecordWriterOptions());
    EntryDependencies dependencies;
    const std::string host = testing::OwnLoopbackHost();
    this->address = {host, testing::FreePort(host)};
    dependencies.settings.entry_listen = this->address;
    dependencies.settings.entry_threads = threads;
    dependencies.settings.entry_refusal_threads = refusal_threads;
    dependencies.settings.platform_call_timeout_ms = 300;
    dependencies.in_force = &this->in_force;
    dependencies.slots = this->slots.Client();
    dependencies.platform = this->connection;
    dependencies.records = this->records.get();
    dependencies.metrics = &this->metrics;
    dependencies.on_endpoint_leaving = [this](std::string_view id) {
      this->leaving.insert(std::string(id));
    };
    this->entry = std::make_unique<EntryServer>(dependencies);
    CHECK(this->entry->Start().has_value());
  }

  void SetConfiguration() {
    auto in_force = std::make_shared<InForce>();
    Configuration& configuration = in_force->configuration;
    configuration.models.push_back({"m1", "1", 100, 1, {}});
    const auto add = [&configuration](const char* id,
                                      const http::Address& address) {
      Endpoint endpoint;
      endpoint.id = id;
      endpoint.address = address;
      configuration.endpoints.push_back(endpoint);
    };
    add("e1", this->e1.listener.address);
    add("e2", this->e2.listener.address);
    add("s1", this->s1.listener.address);
    add("s2", this->s2.listener.address);
    Route engines;
    engines.path_prefix = "/v1/";
    Route booking;
    booking.path_prefix = "/booking";
    booking.kind = EndpointKind::kService;
    booking.service = "booking";
    booking.irreversible.push_back({"POST", "/booking/new", {}});
    configuration.routes = {engines, booking};
    configuration.callers.push_back(
        {"counter", "key1", Priority::kInteractive, {}});
    this->in_force.Set(in_force);
  }

  http::Response Call(const char* method,
                      const char* path,
                      const std::string& body,
                      std::vector<http::Header> headers = {}) const {
    headers.push_back({"Authorization", "Bearer key1"});
    http::CallOptions options;
    options.peer = this->address;
    options.connect_deadline = Clock::now() + Milliseconds{2000};
    options.deadline = Clock::now() + Milliseconds{10000};
    const auto response =
        http::Call(options, {method, path, "", headers, body});
    CHECK_TEXT(response.has_value(), path);
    return response.value();
  }

  http::Response Stream(std::vector<http::Header> headers = {}) const {
    return this->Call(
        "POST", "/v1/completions",
        R"({"model":"m1","prompt":"x","stream":true,"seed":3,"extra":1})",
        std::move(headers));
  }
};

/// Returns the ids of a stream in order, then what ended it.
std::string Outline(const std::string& stream) {
  std::string outline;
  std::istringstream lines(stream);
  for (std::string line; std::getline(lines, line);) {
    if (line.substr(0, 4) == "id: ")
      outline += line.substr(4) + " ";
    if (line == "data: [DONE]")
      outline += "done";
    if (line == "event: error")
      outline += "error";
  }
  return outline;
}

std::string RunOf(const http::Response& response) {
  const json body = json::parse(response.body);
  return body["error"]["run"].get<std::string>();
}

}  // namespace

TEST_GROUP(EntryServer){};

// Guards against streams with missing, repeated or reordered events, and
// against an incomplete stream that looks complete.
TEST(EntryServer, StreamsContinueAfterFaults) {
  struct Row {
    const char* name;
    std::function<void(Fixture*)> prepare;
    const char* last_id;
    const char* outline;
    int failures;
  };
  const Row rows[] = {
      {"no fault", [](Fixture*) {}, "", "1 2 3 4 5 done", 0},
      {"caller resumes", [](Fixture*) {}, "3", "4 5 done", 0},
      {"first is cut", [](Fixture* f) { f->e1.cut_after = 2; }, "",
       "1 2 3 4 5 done", 1},
      {"first fails at once", [](Fixture* f) { f->e1.status = 500; }, "",
       "1 2 3 4 5 done", 1},
      {"first does not listen",
       [](Fixture* f) { f->e1.listener.server.reset(); }, "", "1 2 3 4 5 done",
       1},
      {"both are cut",
       [](Fixture* f) {
         f->e1.cut_after = 2;
         f->e2.cut_after = 4;
       },
       "", "1 2 3 4 error", 2},
      {"preempted",
       [](Fixture* f) {
         f->e1.gap_ms = 20;
         f->slots.preempted_grant = 1;
       },
       "", "1 2 3 4 5 done", 0},
      {"first is leaving",
       [](Fixture* f) {
         f->e1.status = 503;
         f->e1.leaving = true;
       },
       "", "1 2 3 4 5 done", 0},
  };
  for (const Row& row : rows) {
    Fixture fixture;
    row.prepare(&fixture);
    std::vector<http::Header> headers;
    if (*row.last_id != 0)
      headers.push_back({"Last-Event-ID", row.last_id});
    const http::Response response = fixture.Stream(headers);
    LONGS_EQUAL_TEXT(200, response.status, row.name);
    STRCMP_EQUAL_TEXT(row.outline, Outline(response.body).c_str(), row.name);
    STRCMP_EQUAL("3", Find(response.headers, "X-Seed").c_str());
    fixture.entry->Stop();
    LONGS_EQUAL_TEXT(0, fixture.slots.outstanding, row.name);
    LONGS_EQUAL_TEXT(row.failures, fixture.slots.failures, row.name);
    LONGS_EQUAL_TEXT(fixture.e1.leaving ? 1 : 0, fixture.leaving.count("e1"),
                     row.name);
  }
}

// Guards against refusals that claim too much, or that come without a time.
TEST(EntryServer, RefusalsSayWhetherTheRequestRan) {
  struct Row {
    const char* name;
    std::function<void(Fixture*)> prepare;
    bool streamed;
    int status;
    const char* run;
  };
  const Row rows[] = {
      {"no copy", [](Fixture* f) { f->slots.endpoints.clear(); }, true, 503,
       "no"},
      {"no engine listens",
       [](Fixture* f) {
         f->e1.listener.server.reset();
         f->e2.listener.server.reset();
       },
       false, 503, "no"},
      {"engines fail",
       [](Fixture* f) {
         f->e1.status = 500;
         f->e2.status = 500;
       },
       false, 503, "unknown"},
      {"cut before the first event",
       [](Fixture* f) {
         f->e1.cut_after = 0;
         f->e2.cut_after = 0;
       },
       true, 503, "unknown"},
  };
  for (const Row& row : rows) {
    Fixture fixture;
    row.prepare(&fixture);
    const json body = {
        {"model", "m1"}, {"prompt", "x"}, {"stream", row.streamed}};
    const http::Response response =
        fixture.Call("POST", "/v1/completions", body.dump());
    LONGS_EQUAL_TEXT(row.status, response.status, row.name);
    STRCMP_EQUAL_TEXT(row.run, RunOf(response).c_str(), row.name);
    STRCMP_EQUAL("2", Find(response.headers, "Retry-After").c_str());
    STRCMP_EQUAL("1500", Find(response.headers, "Retry-After-Ms").c_str());
  }
}

// Guards against retrying, or blaming the engine for, a request that the
// engine rejects.
TEST(EntryServer, RejectedRequestsAreNotRetried) {
  Fixture fixture;
  fixture.e1.status = 422;
  const http::Response response =
      fixture.Call("POST", "/v1/completions", R"({"model":"m1","prompt":"x"})");
  LONGS_EQUAL(422, response.status);
  STRCMP_EQUAL(R"({"object":"engine"})", response.body.c_str());
  fixture.entry->Stop();
  LONGS_EQUAL(0, fixture.e2.calls);
  LONGS_EQUAL(0, fixture.slots.failures);
}

// Guards against engines that go on working for a caller who has gone.
TEST(EntryServer, CancelsTheEngineWhenTheCallerGoes) {
  Fixture fixture;
  fixture.e1.tokens = 1000;
  fixture.e1.gap_ms = 5;
  http::CallOptions options;
  options.peer = fixture.address;
  options.connect_deadline = Clock::now() + Milliseconds{2000};
  options.deadline = Clock::now() + Milliseconds{5000};
  http::StreamHandler handler;
  handler.on_data = [](std::string_view) { return false; };
  const auto result =
      http::StreamCall(options,
                       {"POST",
                        "/v1/completions",
                        "",
                        {{"Authorization", "Bearer key1"}},
                        R"({"model":"m1","prompt":"x","stream":true})"},
                       handler);
  CHECK(!result.has_value());
  const TimePoint limit = Clock::now() + Milliseconds{3000};
  while (!fixture.e1.cancelled && Clock::now() < limit)
    std::this_thread::sleep_for(Milliseconds{5});
  CHECK(fixture.e1.cancelled);
}

// Guards against a second booking by a retry or a repeated call.
TEST(EntryServer, IrreversibleCallsRunOnce) {
  struct Row {
    const char* name;
    std::function<void(Fixture*)> prepare;
    int first;
    int second;
    int calls;
  };
  const Row rows[] = {
      {"replay", [](Fixture*) {}, 201, 201, 1},
      {"response lost", [](Fixture* f) { f->s1.cut = true; }, 409, 409, 1},
      {"first replica is down",
       [](Fixture* f) { f->s1.listener.server.reset(); }, 201, 201, 1},
      {"platform is down",
       [](Fixture* f) { f->platform.listener.server.reset(); }, 503, 503, 0},
      {"no replica", [](Fixture* f) { f->slots.endpoints.clear(); }, 503, 503,
       0},
  };
  for (const Row& row : rows) {
    Fixture fixture;
    row.prepare(&fixture);
    const std::vector<http::Header> key = {{"Idempotency-Key", "k"}};
    const auto first = fixture.Call("POST", "/booking/new", "x", key);
    const auto second = fixture.Call("POST", "/booking/new", "x", key);
    LONGS_EQUAL_TEXT(row.first, first.status, row.name);
    LONGS_EQUAL_TEXT(row.second, second.status, row.name);
    LONGS_EQUAL_TEXT(row.calls, fixture.s1.calls + fixture.s2.calls, row.name);
    if (row.first == 201) {
      STRCMP_EQUAL(first.body.c_str(), second.body.c_str());
      STRCMP_EQUAL("true", Find(second.headers, "Idempotent-Replayed").c_str());
      const auto other = fixture.Call("POST", "/booking/new", "y", key);
      LONGS_EQUAL(422, other.status);
    } else {
      STRCMP_EQUAL(row.first == 409 ? "unknown" : "no", RunOf(first).c_str());
      CHECK(!Find(first.headers, "Retry-After").empty());
    }
    fixture.entry->Stop();
    LONGS_EQUAL_TEXT(0, fixture.slots.outstanding, row.name);
  }
}

// Guards against repeating a call that is not a read, and against passing the
// caller's key on to a service.
TEST(EntryServer, OnlyReadsAreRepeated) {
  Fixture fixture;
  fixture.s1.cut = true;
  const auto read = fixture.Call("GET", "/booking/1", "");
  LONGS_EQUAL(201, read.status);
  STRCMP_EQUAL("counter/", fixture.s2.last_caller.c_str());
  const auto write = fixture.Call("DELETE", "/booking/1", "");
  LONGS_EQUAL(502, write.status);
  STRCMP_EQUAL("unknown", RunOf(write).c_str());
  LONGS_EQUAL(2, fixture.s1.calls);
  LONGS_EQUAL(1, fixture.s2.calls);
}

// Guards against an entry that accepts more than it can serve, or keeps
// callers waiting for their refusal.
TEST(EntryServer, RefusesAtOnceWhenFull) {
  Fixture fixture(4, 3);
  fixture.e1.gap_ms = 100;
  std::thread first([&fixture] { fixture.Stream(); });
  const TimePoint limit = Clock::now() + Milliseconds{3000};
  while (fixture.entry->InProgress() == 0 && Clock::now() < limit)
    std::this_thread::sleep_for(Milliseconds{1});
  const auto refused = fixture.Stream();
  first.join();
  LONGS_EQUAL(503, refused.status);
  STRCMP_EQUAL("no", RunOf(refused).c_str());
  CHECK(fixture.metrics.Text().find("entry_full") != std::string::npos);
}

// Guards against a drain that refuses work or keeps callers' connections.
TEST(EntryServer, ServesWhileDraining) {
  Fixture fixture;
  fixture.entry->BeginDrain();
  const auto response = fixture.Call("GET", "/v1/models", "");
  LONGS_EQUAL(200, response.status);
  CHECK(response.body.find("\"m1\"") != std::string::npos);
  STRCMP_EQUAL("close", Find(response.headers, "Connection").c_str());
}

// Guards against a stop that is taken for the end of a stream.
TEST(EntryServer, StopEndsStreamsWithAnError) {
  Fixture fixture;
  fixture.e1.tokens = 100;
  fixture.e1.gap_ms = 50;
  http::Response response;
  std::thread caller([&fixture, &response] { response = fixture.Stream(); });
  while (fixture.e1.calls == 0)
    std::this_thread::sleep_for(Milliseconds{1});
  std::this_thread::sleep_for(Milliseconds{100});
  fixture.entry->Stop();
  caller.join();
  CHECK(response.body.find("event: error") != std::string::npos);
  CHECK(response.body.find("[DONE]") == std::string::npos);
}
