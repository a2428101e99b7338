#include "drill_site.h"

#include <algorithm>
#include <utility>

#include "live_daemons.h"
#include "support/free_port.h"

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;
using BoostError = boost::system::error_code;
using StreamPtr = std::shared_ptr<net::TcpStream>;

constexpr Milliseconds kHeartbeat{300};
constexpr Milliseconds kLapseTime{3600};
constexpr Milliseconds kCallInterval{100};  ///< Of each daemon's callers.
constexpr int kMinChangePauseMs = 700;
constexpr int kMaxChangePauseMs = 2500;
constexpr int kEngines = 3;

Json MakeRoute(const std::string& path, const char* kind, const char* service) {
  return {{"name", path},      {"host", "h"},        {"pathPrefix", path},
          {"routeKind", kind}, {"timeoutMs", 4000},  {"targetLatencyMs", 300},
          {"priority", 0},     {"service", service}, {"maxAttempts", 2},
          {"resumable", true}};
}

/// Returns a configuration with a route for each version up to this one.
Json MakeConfig(int version) {
  Json routes = {MakeRoute("/safe/", "safe", "books"),
                 MakeRoute("/chat/", "streaming", "llm")};
  for (int i = 1; i <= version; ++i)
    routes.push_back(MakeRoute(DrillSite::RoutePath(i), "safe", "books"));
  return {{"version", version},
          {"routes", routes},
          {"services",
           {{{"name", "books"}},
            {{"name", "llm"},
             {"engine",
              {{"slots", 64},
               {"weightsMb", 1000},
               {"loadsPerS", 1},
               {"adapterSlots", DrillSite::kAdapters},
               {"models",
                {{{"name", "m"},
                  {"weightsMb", 500},
                  {"adapters", DrillSite::kAdapters},
                  {"adapterSizeMb", 0.01}}}}}}}}},
          {"limits",
           {{"maxHeaderBytes", 16384},
            {"maxBodyBytes", 100000},
            {"headerTimeoutMs", 1000},
            {"idleTimeoutMs", 5000}}}};
}

Json EngineEntry(const std::string& address) {
  return {{"service", "llm"},
          {"address", address},
          {"zone", "dc"},
          {"version", "v1"},
          {"slots", 64},
          {"state", "ready"},
          {"coldRemainingMs", 0},
          {"born", 1'700'000'000'000},
          {"models", {{{"name", "m"}, {"adapters", Json::array()}}}},
          {"sequence", 1}};
}

}  // namespace

DrillSite::DrillSite(int count,
                     unsigned seed,
                     const std::map<int, std::string>& programs)
    : host(OwnLoopbackHost()),
      store(&this->io, this->host),
      random(seed),
      served(static_cast<std::size_t>(count)),
      starts(static_cast<std::size_t>(count)),
      started_at(static_cast<std::size_t>(count)),
      disturbed_until(static_cast<std::size_t>(count)),
      cut(static_cast<std::size_t>(count)),
      links(static_cast<std::size_t>(count)) {
  this->tally.busiest.resize(static_cast<std::size_t>(count));
  GatewayOptions options;
  options.peer_port = FreePort(this->host);
  options.more_settings = "bounds.configApplyMs=3000\nbounds.drainMs=3000\n";
  for (int i = 0; i < count; ++i) {
    options.name = "vm-" + std::to_string(i);
    const auto program = programs.find(i);
    options.program =
        program == programs.end() ? GatewayOptions().program : program->second;
    this->doors.push_back(std::make_unique<LoopbackServer>(
        &this->io, this->host,
        [this, i](const ReceivedRequest& request, const StreamPtr& stream) {
          this->OnStoreCall(i, request, stream);
        }));
    this->daemons.push_back(std::make_unique<GatewayProcess>(
        &this->io, MoreLoopbackHost(i), this->doors.back()->AddressText(),
        options));
  }
  for (int i = 1; i <= kEngines; ++i)
    this->AddEngine("e" + std::to_string(i));
  for (const char* const id : {"r1", "r2", "r3", "r4"})
    this->AddReplica(id);
}

bool DrillSite::Start() {
  this->store.Put("config", "main", MakeConfig(0));
  // Entries of other writers, whose names mean something in a target. Some are
  // sound but for their names.
  for (const char* const name : {"&x", "r1 #x", "r2&after=z", "r3%7Ax"})
    this->store.Put("servers", name, {{"x", 1}});
  for (const auto& [id, replica] : this->replicas)
    this->store.Put("servers", id + " x", replica->Entry());
  this->Register();
  this->StartAll();
  if (!AwaitAllLive(this->daemons, Milliseconds(20'000)))
    return false;
  this->Repeat(kHeartbeat, [this] { this->Register(); });
  this->Repeat(kCallInterval, [this] { this->SendCalls(); });
  this->Repeat(Milliseconds(1000), [this] {
    for (std::size_t i = 0; i < this->links.size(); ++i) {
      int& busiest = this->tally.busiest[i];
      const int calls = std::exchange(this->links[i].calls, 0);
      busiest = std::max(busiest, calls);
      if (calls > kMaxStoreCalls)
        ++this->tally.busy_seconds[static_cast<int>(i)];
    }
  });
  this->AddVersion();
  return true;
}

void DrillSite::StartAll() {
  for (std::size_t i = 0; i < this->daemons.size(); ++i)
    this->StartOne(i);
}

void DrillSite::StartOne(std::size_t daemon) {
  this->daemons[daemon]->Start();
  ++this->starts[daemon];
  this->started_at[daemon] = Clock::now();
  this->served[daemon] = 0;
}

void DrillSite::RunFor(Milliseconds time) {
  this->daemons.front()->RunUntil([] { return false; },
                                  static_cast<int>(time.count()));
}

void DrillSite::Run(const StoreDrill& drill) {
  this->Begin(drill);
  this->RunFor(drill.away);
}

void DrillSite::Begin(const StoreDrill& drill) {
  this->away = true;
  this->away_since = Clock::now();
  this->store.faults.away = true;
  // What was acknowledged just before may be unknown to all daemons.
  for (auto& [number, at] : this->acked_at) {
    if (this->away_since < at + kChangeLimit)
      at = TimePoint::max();
  }
  for (auto& [id, at] : this->left_at) {
    if (this->away_since < at + kChangeLimit)
      at = TimePoint::max();
  }
  this->After(drill.away, [this, drill] { this->Return(drill); });
}

/// The store is back.
void DrillSite::Return(const StoreDrill& drill) {
  std::vector<StoreStandin::LostWrite> lost;
  if (drill.copy_age.count() > 0)
    lost = this->store.Rewind(drill.copy_age);
  this->store.faults.away = false;
  this->After(drill.written_again, [this, lost, returned = Clock::now()] {
    this->WriteAgain(lost, returned);
  });
}

/// Replicas and the operator write what was lost, but nothing that the store
/// has removed since its return.
void DrillSite::WriteAgain(const std::vector<StoreStandin::LostWrite>& lost,
                           TimePoint returned) {
  if (this->store.faults.away) {
    this->After(kHeartbeat,
                [this, lost, returned] { this->WriteAgain(lost, returned); });
    return;
  }
  const TimePoint now = Clock::now();
  this->away = false;
  for (const StoreStandin::LostWrite& one : lost) {
    if (one.kind != "servers" || this->removed_at[one.name] > returned)
      continue;
    this->store.WriteAgain(one);
    if (this->left_at.count(one.name) > 0)
      this->last_ack[one.name] = now;
  }
  const Json stored = this->store.Get("config", "main");
  const int in_store = stored.is_null() ? -1 : stored.at("version").get<int>();
  if (in_store < this->version)
    this->store.Put("config", "main", MakeConfig(this->version));
  for (auto& [number, at] : this->acked_at) {
    if (number > in_store || at == TimePoint::max())
      at = now;
  }
  for (auto& [id, at] : this->left_at) {
    if (at == TimePoint::max())
      at = now;
  }
}

void DrillSite::Leave(const std::string& id) {
  this->states[id] = "draining";
  this->PutIfChanged(id, this->replicas[id]->Entry("draining"));
  this->left_at.emplace(id, Clock::now());
  this->last_ack[id] = Clock::now();
}

void DrillSite::Restart(const std::string& id) {
  this->replicas[id]->Restart();
  this->states[id] = "ready";
  this->left_at.erase(id);
}

void DrillSite::Remove(const std::string& id) {
  this->states[id] = "removed";
  this->removed_at[id] = Clock::now();
  this->store.Remove("servers", id);
  this->left_at.emplace(id, Clock::now());
  this->last_ack[id] = Clock::now();
}

void DrillSite::AddReplica(const std::string& id) {
  auto replica = std::make_unique<ReplicaStandin>(&this->io, this->host, id);
  replica->answer = [this, raw = replica.get()](const ReceivedRequest& request,
                                                const StreamPtr& stream) {
    this->OnArrival(raw->id, request);
    raw->Run(request, stream);
  };
  this->replicas[id] = std::move(replica);
  this->states[id] = "ready";
}

int DrillSite::HolderNumber() {
  const GatewayProcess* const holder = this->Holder();
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].get() == holder)
      return static_cast<int>(i);
  }
  return -1;
}

GatewayProcess* DrillSite::Holder() {
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    const std::string prefix = "vm-" + std::to_string(i) + "@";
    if (this->last_holder.compare(0, prefix.size(), prefix) == 0)
      return this->daemons[i].get();
  }
  return nullptr;
}

std::string DrillSite::DescribeHolders() const {
  std::string text;
  for (const auto& [token, names] : this->holders) {
    text += " " + std::to_string(token) + ":";
    for (const std::string& name : names)
      text += name + ",";
  }
  return text;
}

bool DrillSite::ReplaceHolder(Milliseconds down) {
  GatewayProcess* const replaced = this->Holder();
  if (replaced == nullptr)
    return false;
  replaced->process->Kill();
  const bool taken =
      replaced->RunUntil([&] { return this->Holder() != replaced; }, 10'000);
  this->RunFor(down);
  for (std::size_t i = 0; i < this->daemons.size(); ++i) {
    if (this->daemons[i].get() != replaced)
      continue;
    this->StartOne(i);
  }
  return taken && replaced->AwaitReady();
}

bool DrillSite::IsNewestInForce() {
  // Callers ask for the newest two.
  return std::all_of(
      this->served.begin(), this->served.end(),
      [this](int highest) { return highest >= this->version - 1; });
}

void DrillSite::After(Milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io, delay);
  timer->async_wait([timer, action = std::move(action)](const BoostError& ec) {
    if (!ec)
      action();
  });
}

void DrillSite::Repeat(Milliseconds interval,
                       const std::function<void()>& action) {
  this->After(interval, [this, interval, action] {
    action();
    this->Repeat(interval, action);
  });
}

/// Writes an entry as replicas do: it changes when more than its sequence does.
void DrillSite::PutIfChanged(const std::string& id, Json entry) {
  entry["sequence"] = 1;
  if (this->store.Get("servers", id) != entry)
    this->store.Put("servers", id, entry);
}

void DrillSite::Register() {
  if (this->away)
    return;
  for (const auto& [id, replica] : this->replicas) {
    const std::string& state = this->states[id];
    if (state != "removed")
      this->PutIfChanged(id, replica->Entry(state.c_str()));
    else
      this->LapseIfDue(id);
  }
  for (const auto& [id, engine] : this->engines)
    this->PutIfChanged(id, EngineEntry(engine.server->AddressText()));
}

/// The store removes an entry after three check-ins of silence.
void DrillSite::LapseIfDue(const std::string& id) {
  const TimePoint now = Clock::now();
  const bool is_listed = !this->store.Get("servers", id).is_null();
  const TimePoint since =
      this->unwritten_since.try_emplace(id, now).first->second;
  if (is_listed && now < since + kLapseTime)
    return;
  if (is_listed) {
    this->store.Remove("servers", id);
    this->last_ack[id] = now;
  }
  this->unwritten_since.erase(id);
}

void DrillSite::AddVersion() {
  if (!this->away) {
    ++this->version;
    this->store.Put("config", "main", MakeConfig(this->version));
    this->acked_at[this->version] = Clock::now();
  }
  std::uniform_int_distribution<int> pause(kMinChangePauseMs,
                                           kMaxChangePauseMs);
  this->After(Milliseconds(pause(this->random)),
              [this] { this->AddVersion(); });
}

}  // namespace coltsfootvane::testing
