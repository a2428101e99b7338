#include "replica_site.h"

#include <unistd.h>

#include <cstdlib>
#include <utility>

#include "process_usage.h"
#include "support/free_port.h"

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;
using BoostError = boost::system::error_code;

constexpr Milliseconds kHeartbeat{300};
constexpr Milliseconds kCallInterval{20};

Json MakeRoute(const char* path, const char* kind) {
  return {{"name", path},      {"host", "h"},        {"pathPrefix", path},
          {"routeKind", kind}, {"timeoutMs", 4000},  {"targetLatencyMs", 300},
          {"priority", 0},     {"service", "books"}, {"maxAttempts", 2},
          {"resumable", true}};
}

void ReadAnswer(const Result<net::WholeResponse>& response,
                CallResult* result) {
  result->ended = Clock::now();
  if (!response)
    return;
  result->status = response.value().head.status;
  const net::Field* const retry_after =
      net::FindField(response.value().head.fields, "Retry-After");
  if (retry_after != nullptr)
    result->retry_after_s = std::atof(retry_after->value.c_str());
}

}  // namespace

Json BooksConfig(int version) {
  const std::string newest = "/version" + std::to_string(version) + "/";
  return {
      {"version", version},
      {"routes",
       {MakeRoute("/safe/", "safe"), MakeRoute("/unsafe/", "unsafe"),
        MakeRoute("/stream/", "streaming"), MakeRoute(newest.c_str(), "safe")}},
      {"services", {{{"name", "books"}}}},
      {"limits",
       {{"maxHeaderBytes", 16384},
        {"maxBodyBytes", 100000},
        {"headerTimeoutMs", 1000},
        {"idleTimeoutMs", 5000}}}};
}

ReplicaSite::ReplicaSite(int count)
    : host(OwnLoopbackHost()),
      store(&this->io, this->host),
      daemon(&this->io, this->host, this->store.server.AddressText()),
      heartbeat(this->io),
      pace(this->io) {
  for (int i = 0; i < count; ++i)
    this->AddReplica();
}

bool ReplicaSite::Start() {
  this->PutConfig(1);
  this->Register();
  this->daemon.Start();
  return this->daemon.AwaitReady();
}

ReplicaStandin* ReplicaSite::AddReplica() {
  return this->AddReplica("r" + std::to_string(this->replicas.size() + 1));
}

ReplicaStandin* ReplicaSite::AddReplica(const std::string& id) {
  this->replicas.push_back(
      std::make_unique<ReplicaStandin>(&this->io, this->host, id));
  return this->replicas.back().get();
}

void ReplicaSite::PutConfig(int version) {
  this->store.Put("config", "main", BooksConfig(version));
}

void ReplicaSite::Register() {
  for (const auto& replica : this->replicas) {
    if (this->silent.count(replica->id) == 0)
      this->store.Put("servers", replica->id, replica->Entry());
  }
  this->heartbeat.expires_after(kHeartbeat);
  this->heartbeat.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Register();
  });
}

void ReplicaSite::StartCalls(const std::string& called_path) {
  this->path = called_path;
  this->SendNext();
}

void ReplicaSite::StopCalls() {
  this->path.clear();
  this->pace.cancel();
}

void ReplicaSite::SendNext() {
  if (this->path.empty())
    return;
  this->Send(this->path);
  this->pace.expires_after(kCallInterval);
  this->pace.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->SendNext();
  });
}

void ReplicaSite::Send(const std::string& called_path) {
  CallResult result;
  result.id = "id" + std::to_string(++this->calls);
  const std::chrono::nanoseconds delay_before = this->RunDelays();
  result.sent = Clock::now();
  net::RequestHead head;
  head.method = "POST";
  head.target = called_path;
  head.fields = {
      {"Request-Id", result.id}, {"Deadline-Ms", "4000"}, {"Host", "h"}};
  this->daemon.client.Call(
      this->daemon.Callers(), std::move(head), {}, Milliseconds(6000),
      net::ConnectionUse::kKept,
      [this, result,
       delay_before](const Result<net::WholeResponse>& response) mutable {
        ReadAnswer(response, &result);
        result.run_delay = this->RunDelays() - delay_before;
        this->results.push_back(result);
      });
}

std::chrono::nanoseconds ReplicaSite::RunDelays() const {
  return RunDelay(::getpid()) + RunDelay(this->daemon.process->Pid());
}

CallResult ReplicaSite::Call(const std::string& called_path) {
  const std::size_t before = this->results.size();
  this->Send(called_path);
  this->RunUntil([&] { return this->results.size() > before; }, 7000);
  return this->results.back();
}

void ReplicaSite::RunFor(int milliseconds) {
  this->RunUntil([] { return false; }, milliseconds);
}

}  // namespace coltsfootvane::testing
