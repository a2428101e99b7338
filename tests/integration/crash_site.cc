#include "crash_site.h"

#include <utility>

#include "support/free_port.h"
#include "support/replica_standin.h"

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;
using BoostError = boost::system::error_code;
using StreamPtr = std::shared_ptr<net::TcpStream>;

constexpr Milliseconds kHeartbeat{300};
constexpr Milliseconds kFirstToken{60};
constexpr Milliseconds kFirstEvent{120};
constexpr Milliseconds kRun{500};
constexpr Milliseconds kRemoval{900};  ///< From the end to the removal.
constexpr Milliseconds kRestart{1000};
constexpr char kDeadlyPart[] = "dead";

Json Config() {
  return {{"version", 1},
          {"routes",
           {{{"name", "chat"},
             {"host", "h"},
             {"pathPrefix", "/chat/"},
             {"routeKind", "streaming"},
             {"timeoutMs", 4000},
             {"targetLatencyMs", 1000},
             {"priority", 0},
             {"service", "llm"},
             {"maxAttempts", 2},
             {"resumable", true}}}},
          {"services",
           {{{"name", "llm"},
             {"engine",
              {{"slots", 64},
               {"weightsMb", 1000},
               {"loadsPerS", 1},
               {"adapterSlots", 5000},
               {"models",
                {{{"name", "m"},
                  {"weightsMb", 500},
                  {"adapters", 5000},
                  {"adapterSizeMb", 0.01}}}}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 100000},
            {"headerTimeoutMs", 1000},
            {"idleTimeoutMs", 5000}}}};
}

std::string AnswerHead(const ReceivedRequest& request) {
  net::ResponseHead head;
  head.status = 200;
  head.fields = AnswerFields(request);
  head.fields.push_back({"Content-Type", "text/event-stream"});
  head.fields.push_back({"Transfer-Encoding", "chunked"});
  return net::FormatHead(head);
}

bool IsDeadly(const ReceivedRequest& request) {
  return net::FieldValue(request.head.fields, "Prompt-Prefix")
             .find(kDeadlyPart) != std::string_view::npos;
}

}  // namespace

CrashSite::CrashSite(int daemon_count, int engine_count, unsigned seed)
    : store(&this->io, OwnLoopbackHost()),
      host(OwnLoopbackHost()),
      random(seed),
      heartbeat(this->io),
      pace(this->io) {
  for (int i = 0; i < engine_count; ++i)
    this->AddEngine();
  GatewayOptions options;
  options.peer_port = FreePort(this->host);
  for (int i = 0; i < daemon_count; ++i) {
    options.name = "vm-" + std::to_string(i);
    this->daemons.push_back(std::make_unique<GatewayProcess>(
        &this->io, MoreLoopbackHost(i), this->store.server.AddressText(),
        options));
  }
}

bool CrashSite::Start() {
  this->store.Put("config", "main", Config());
  this->Register();
  for (const auto& daemon : this->daemons)
    daemon->Start();
  for (const auto& daemon : this->daemons) {
    if (!daemon->AwaitReady())
      return false;
  }
  // All daemons have to hear of each other.
  return this->RunUntil(
      [this] {
        for (const auto& daemon : this->daemons) {
          const std::string live = "coltsfootvane_live_daemons " +
                                   std::to_string(this->daemons.size());
          if (daemon->Metrics().find(live) == std::string::npos)
            return false;
        }
        return true;
      },
      15'000);
}

void CrashSite::AddEngine() {
  Engine& engine = this->engines.emplace_back();
  engine.id = "e" + std::to_string(this->engines.size());
  engine.server = std::make_unique<LoopbackServer>(
      &this->io, this->host,
      [this, &engine](const ReceivedRequest& request, const StreamPtr& stream) {
        this->OnRequest(&engine, request, stream);
      });
}

void CrashSite::OnRequest(Engine* engine,
                          const ReceivedRequest& request,
                          const StreamPtr& stream) {
  if (request.head.target == "/report") {
    Report(*engine, stream);
    return;
  }
  if (request.head.target == "/order") {
    this->Order(engine, request, stream);
    return;
  }
  if (IsDeadly(request))
    this->deadly_arrivals.push_back(Clock::now());
  this->After(kFirstToken, [this, engine, request, stream] {
    this->Answer(engine, request, stream);
  });
}

void CrashSite::Report(const Engine& engine, const StreamPtr& stream) {
  const Json report = {
      {"phase", "unified"},
      {"models",
       {{{"name", "m"}, {"version", 1}, {"adapters", engine.adapters}}}},
      {"busy", false},
      {"sequence", engine.sequence},
      {"queued", 0},
      {"active", 0}};
  Reply(stream, 200, report.dump());
}

void CrashSite::Order(Engine* engine,
                      const ReceivedRequest& request,
                      const StreamPtr& stream) {
  const Json order = Json::parse(request.body);
  this->orders.push_back({engine->id, order.value("leaseHolder", ""),
                          order.value("fencingToken", 0), Clock::now()});
  ++engine->sequence;
  if (order.contains("adapter"))
    engine->adapters.push_back(order["adapter"]);
  Reply(stream, 202, "");
}

void CrashSite::Answer(Engine* engine,
                       const ReceivedRequest& request,
                       const StreamPtr& stream) {
  if (!engine->up || !stream->IsOpen())
    return;
  stream->Write(AnswerHead(request));
  if (IsDeadly(request)) {
    this->crashes.push_back(Clock::now());
    this->Stop(engine);
    return;
  }
  this->After(kFirstEvent - kFirstToken,
              [stream] { stream->Write("f\r\nid: 1\ndata: a\n\n\r\n"); });
  this->After(kRun, [stream] { stream->Write("0\r\n\r\n"); });
}

void CrashSite::Stop(Engine* engine) {
  engine->up = false;
  engine->server->Stop();
  this->After(kRemoval,
              [this, engine] { this->store.Remove("servers", engine->id); });
  this->After(kRestart, [this] { this->AddEngine(); });
}

void CrashSite::KillEngine() {
  for (Engine& engine : this->engines) {
    if (!engine.up)
      continue;
    this->Stop(&engine);
    return;
  }
}

void CrashSite::Register() {
  int sequence = 0;
  for (const Engine& engine : this->engines) {
    if (engine.up)
      this->store.Put(
          "servers", engine.id,
          {{"service", "llm"},
           {"address", engine.server->AddressText()},
           {"zone", "dc"},
           {"version", "v1"},
           {"slots", 64},
           {"state", "ready"},
           {"coldRemainingMs", 0},
           {"born", 1'700'000'000'000},
           {"models", {{{"name", "m"}, {"adapters", Json::array()}}}},
           {"sequence", ++sequence}});
  }
  this->heartbeat.expires_after(kHeartbeat);
  this->heartbeat.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Register();
  });
}

void CrashSite::StartCalls(int per_s, double share) {
  this->interval = Milliseconds(1000 / per_s);
  this->deadly_share = share;
  this->SendNext();
}

void CrashSite::SendNext() {
  if (this->interval.count() == 0)
    return;
  CrashSiteCall call;
  call.daemon = this->last_call++ % static_cast<int>(this->daemons.size());
  call.deadly =
      std::uniform_real_distribution<>(0, 1)(this->random) < this->deadly_share;
  call.sent = Clock::now();
  const std::string id = std::to_string(this->last_call);
  const std::string subject = std::to_string(10 + this->random() % 20);
  net::RequestHead head;
  head.method = "POST";
  head.target = "/chat/x";
  head.fields = {{"Request-Id", "id" + id},
                 {"Deadline-Ms", "4000"},
                 {"Host", "h"},
                 {"Model", this->asks_for_adapters ? "m/a" + id : "m"},
                 {"Token-Usage", "100,50"},
                 {"Prompt-Prefix",
                  "f1:50," + subject + ":20," +
                      (call.deadly ? std::string(kDeadlyPart) + ":20," : "") +
                      "a" + id + ":10"}};
  ++this->in_progress;
  GatewayProcess& daemon =
      *this->daemons[static_cast<std::size_t>(call.daemon)];
  daemon.client.Call(
      daemon.Callers(), std::move(head), {}, Milliseconds(6000),
      net::ConnectionUse::kKept,
      [this, call](const Result<net::WholeResponse>& response) mutable {
        --this->in_progress;
        call.ended = Clock::now();
        call.status = response ? response.value().head.status : 0;
        this->calls.push_back(call);
      });
  this->pace.expires_after(this->interval);
  this->pace.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->SendNext();
  });
}

void CrashSite::RunFor(int milliseconds) {
  this->RunUntil([] { return false; }, milliseconds);
}

bool CrashSite::RunUntil(const std::function<bool()>& condition,
                         int milliseconds) {
  return this->daemons.front()->RunUntil(condition, milliseconds);
}

void CrashSite::After(Milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io);
  timer->expires_after(delay);
  timer->async_wait([timer, action = std::move(action)](const BoostError& ec) {
    if (!ec)
      action();
  });
}

}  // namespace coltsfootvane::testing
