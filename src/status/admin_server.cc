#include "status/admin_server.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootvane {
namespace {

using nlohmann::json;

http::Response JsonResponse(int status, std::string body) {
  return {status, {{"Content-Type", "application/json"}}, std::move(body)};
}

http::Response Fault(int status, const char* message) {
  return JsonResponse(status, json{{"error", {{"message", message}}}}.dump());
}

const char* HealthName(HealthState state) {
  switch (state) {
    case HealthState::kStarting:
      return "starting";
    case HealthState::kReady:
      return "ready";
    case HealthState::kLeaving:
      return "leaving";
  }
  return "";
}

}  // namespace

AdminServer::AdminServer(AdminOptions options) : options(std::move(options)) {}

AdminServer::~AdminServer() {
  this->Stop();
}

Result<bool> AdminServer::Start() {
  http::ServerOptions server_options;
  server_options.listen = this->options.listen;
  server_options.threads = this->options.threads;
  server_options.max_body_bytes = 4096;
  Result<std::unique_ptr<http::Server>> started = http::Server::Start(
      server_options,
      [this](const http::Request& request, http::ReplyStream& reply) {
        this->Handle(request, reply);
      });
  if (!started)
    return started.error();
  this->server = std::move(started.value());
  return true;
}

void AdminServer::Stop() {
  this->server.reset();
}

void AdminServer::Handle(const http::Request& request,
                         http::ReplyStream& reply) const {
  try {
    reply.Send(this->Respond(request));
  } catch (const std::exception& error) {
    reply.Send(Fault(500, error.what()));
  }
}

http::Response AdminServer::Respond(const http::Request& request) const {
  if (request.method != "GET")
    return Fault(405, "only GET is allowed");
  if (request.path == "/health")
    return this->Health();
  if (request.path == "/config")
    return this->Config();
  if (request.path == "/metrics") {
    return {200,
            {{"Content-Type", "text/plain; version=0.0.4; charset=utf-8"}},
            this->options.metrics->Text()};
  }
  if (request.path == "/status") {
    return JsonResponse(200,
                        this->options.status ? this->options.status() : "{}");
  }
  return Fault(404, "paths are /health, /metrics, /status and /config");
}

http::Response AdminServer::Health() const {
  const HealthState state = this->health.load();
  return JsonResponse(state == HealthState::kReady ? 200 : 503,
                      json{{"state", HealthName(state)}}.dump());
}

http::Response AdminServer::Config() const {
  const std::shared_ptr<const InForce> in_force = this->options.in_force->Get();
  return JsonResponse(200, json{{"version", in_force->version},
                                {"digest", in_force->head.digest}}
                               .dump());
}

}  // namespace coltsfootvane
