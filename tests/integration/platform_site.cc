#include "platform_site.h"

#include <utility>

#include "support/free_port.h"
#include "support/replica_standin.h"

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;
using StreamPtr = std::shared_ptr<net::TcpStream>;
using BoostError = boost::system::error_code;

constexpr char kEvents[] = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

Json MakeRoute(const char* path, const char* kind, const char* service) {
  return {{"name", path},      {"host", "h"},        {"pathPrefix", path},
          {"routeKind", kind}, {"timeoutMs", 5000},  {"targetLatencyMs", 1000},
          {"priority", 0},     {"service", service}, {"maxAttempts", 1},
          {"resumable", false}};
}

}  // namespace

PlatformSite::PlatformSite()
    : host(OwnLoopbackHost()),
      store(&this->io, this->host),
      engine(&this->io,
             this->host,
             [this](const ReceivedRequest& request, const StreamPtr& stream) {
               this->OnEngineRequest(request, stream);
             }),
      service(&this->io,
              this->host,
              [this](const ReceivedRequest& request, const StreamPtr& stream) {
                this->OnServiceRequest(request, stream);
              }),
      daemon(&this->io, this->host, this->store.server.AddressText()) {}

void PlatformSite::PutConfig(int version) {
  Json routes = {MakeRoute("/safe/", "safe", "books"),
                 MakeRoute("/unsafe/", "unsafe", "books"),
                 MakeRoute("/chat/", "streaming", "models")};
  for (int i = 0; i < version; ++i) {
    const std::string path = "/extra" + std::to_string(i) + "/";
    routes.push_back(MakeRoute(path.c_str(), "safe", "books"));
  }
  const Json models = {{{"name", "m1"},
                        {"weightsMb", 70},
                        {"loadS", 0.2},
                        {"adapters", 2},
                        {"adapterSizeMb", 1}},
                       {{"name", "m2"},
                        {"weightsMb", 70},
                        {"loadS", 0.2},
                        {"adapters", 0},
                        {"adapterSizeMb", 1}}};
  this->store.Put("config", "main",
                  {{"version", version},
                   {"routes", routes},
                   {"services",
                    {{{"name", "books"}},
                     {{"name", "models"},
                      {"engine",
                       {{"slots", 8},
                        {"weightsMb", 150},
                        {"adapterSlots", 4},
                        {"loadsPerS", 5},
                        {"models", models}}}}}},
                   {"limits",
                    {{"maxHeaderBytes", 16384},
                     {"maxBodyBytes", 100000},
                     {"headerTimeoutMs", 1000},
                     {"idleTimeoutMs", 5000}}}});
}

Json PlatformSite::EngineModels() const {
  Json models = Json::array();
  for (const std::string& name : this->engine_models) {
    const std::size_t slash = name.find('/');
    if (slash == std::string::npos)
      models.push_back(
          {{"name", name}, {"version", 1}, {"adapters", Json::array()}});
    else
      models.back()["adapters"].push_back(name.substr(slash + 1));
  }
  return models;
}

void PlatformSite::Announce(const char* state) {
  const auto entry = [state](const char* name, const std::string& address) {
    return Json{{"service", name}, {"address", address}, {"zone", "dc"},
                {"version", "v1"}, {"slots", 8},         {"state", state},
                {"born", 17},      {"sequence", 99}};
  };
  Json engine_entry = entry("models", this->engine.AddressText());
  engine_entry["models"] = this->EngineModels();
  this->store.Put("servers", "engine-1", engine_entry);
  this->store.Put("servers", "service-1",
                  entry("books", this->service.AddressText()));
  this->store.Put("servers", "unreadable", {{"service", 3}});
}

Result<net::WholeResponse> PlatformSite::Call(const std::string& path,
                                              const net::Fields& fields) {
  net::RequestHead head;
  head.method = "POST";
  head.target = path;
  head.fields = fields;
  head.fields.push_back({"Request-Id", "id" + std::to_string(++this->calls)});
  head.fields.push_back({"Deadline-Ms", "6000"});
  head.fields.push_back({"Host", "h"});
  auto answer = this->daemon.CallAt(this->daemon.Callers(), std::move(head));
  return answer ? std::move(*answer) : Error{ErrorCode::kTimeout, "no answer"};
}

void PlatformSite::OnServiceRequest(const ReceivedRequest& request,
                                    const StreamPtr& stream) {
  ++this->service_requests;
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io);
  timer->expires_after(this->service_time);
  timer->async_wait([timer, stream, request](const BoostError&) {
    Reply(stream, 200, "booked", AnswerFields(request));
  });
}

void PlatformSite::OnEngineRequest(const ReceivedRequest& request,
                                   const StreamPtr& stream) {
  if (request.head.target == "/report") {
    const Json report = {{"models", this->EngineModels()},
                         {"busy", false},
                         {"sequence", this->engine_orders}};
    Reply(stream, 200, report.dump());
    return;
  }
  if (request.head.target == "/order") {
    this->OnOrder(Json::parse(request.body), stream);
    return;
  }
  ++this->engine_requests;
  const std::string model(net::FieldValue(request.head.fields, "Model"));
  if (this->engine_models.count(model) == 0) {
    Reply(stream, 421, "");
    return;
  }
  net::Fields fields = AnswerFields(request);
  fields.push_back({"Content-Type", "text/event-stream"});
  Reply(stream, 200, kEvents, fields);
}

void PlatformSite::OnOrder(const Json& order, const StreamPtr& stream) {
  if (order.at("expected") != this->engine_orders) {
    Reply(stream, 409, "");
    return;
  }
  ++this->engine_orders;
  this->last_fencing_token = order.at("fencingToken").get<std::int64_t>();
  std::string name = order.at("model").get<std::string>();
  if (order.contains("adapter"))
    name += "/" + order["adapter"].get<std::string>();
  if (order.at("operation") == "load")
    this->engine_models.insert(name);
  else
    this->engine_models.erase(name);
  Reply(stream, 202, "");
  this->Announce();
}

}  // namespace coltsfootvane::testing
