#ifndef COLTSFOOTVANE_TESTS_SUPPORT_ENTRY_FIXTURE_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_ENTRY_FIXTURE_H_

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "entry/entry_server.h"
#include "http/client.h"
#include "objectapi/object_json.h"
#include "support/free_port.h"

namespace coltsfootvane::testing {

/// Ends the process if `condition` does not hold.
inline void Require(bool condition, const char* what) {
  if (condition)
    return;
  std::fprintf(stderr, "%s\n", what);
  std::abort();
}

struct Listener {
  http::Address address;
  std::unique_ptr<http::Server> server;
};

inline Listener StartListener(http::Handler handler) {
  const std::string host = OwnLoopbackHost();
  http::ServerOptions options;
  options.listen = {host, FreePort(host)};
  options.threads = 8;
  auto server = http::Server::Start(options, std::move(handler));
  Require(server.has_value(), "cannot listen");
  return {options.listen, std::move(server.value())};
}

inline std::string Find(gsl::span<const http::Header> headers,
                        const char* name) {
  return std::string(http::FindHeader(headers, name));
}

/// Streams events 1 to `tokens`, with faults.
struct Engine {
  int tokens = 5;
  int cut_after = -1;     ///< Event after which the connection is cut.
  bool cut_once = false;  ///< Only the first call.
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
    const bool streamed =
        nlohmann::json::parse(request.body).value("stream", false);
    if (this->status != 200 || !streamed) {
      reply.Send({this->status, headers, R"({"object":"engine"})"});
      return;
    }
    reply.Begin(200, headers);
    const std::string last = Find(request.headers, "Last-Event-ID");
    for (int id = last.empty() ? 1 : std::stoi(last) + 1; id <= this->tokens;
         ++id) {
      const bool cut = !this->cut_once || this->calls == 1;
      if (cut && this->cut_after >= 0 && id > this->cut_after) {
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
  int status = 201;
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
    http::Response response = {this->status, {}, "booked " + request.body};
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
  std::map<std::string, objectapi::Object> objects;
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
      return {200, {}, objectapi::FormatObject(found->second).value()};
    }
    const nlohmann::json body = nlohmann::json::parse(request.body);
    objectapi::Object object;
    object.kind = objectapi::kRecordKind;
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
    return {200, {}, objectapi::FormatObject(object).value()};
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
    client.acquire = [this](const SlotRequest& request,
                            const std::function<bool()>&) {
      return this->Ask(request);
    };
    client.release = [this](const SlotAnswer&, const SlotOutcome& outcome) {
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
  objectapi::Connection connection;
  std::unique_ptr<RecordWriter> records;
  std::set<std::string> leaving;
  bool refuses_when_leaving = false;  ///< See SetConfiguration().
  std::unique_ptr<EntryServer> entry;
  http::Address address;

  explicit Fixture(unsigned threads = 8, unsigned refusal_threads = 2) {
    this->SetConfiguration();
    this->slots.endpoints = {{"m1", {"e1", "e2"}}, {"booking", {"s1", "s2"}}};
    this->connection =
        objectapi::MakeConnection(this->platform.listener.address, 1000);
    this->records = std::make_unique<RecordWriter>(
        MakeRecordStore(this->connection), RecordWriterOptions());
    EntryDependencies dependencies;
    const std::string host = OwnLoopbackHost();
    this->address = {host, FreePort(host)};
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
    Require(this->entry->Start().has_value(), "cannot start the entry");
  }

  void SetConfiguration() {
    auto in_force = std::make_shared<InForce>();
    in_force->version = 1;
    Configuration& configuration = in_force->configuration;
    configuration.models.push_back({"m1", "1", 100, 1, {}});
    const auto add = [this, &configuration](const char* id,
                                            const http::Address& address) {
      Endpoint endpoint;
      endpoint.id = id;
      endpoint.address = address;
      endpoint.refuses_when_leaving = this->refuses_when_leaving;
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
    Require(response.has_value(), path);
    return response.value();
  }

  http::Response Stream(std::vector<http::Header> headers = {}) const {
    return this->Call(
        "POST", "/v1/completions",
        R"({"model":"m1","prompt":"x","stream":true,"seed":3,"extra":1})",
        std::move(headers));
  }
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_ENTRY_FIXTURE_H_
