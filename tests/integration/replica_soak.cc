#include "replica_soak.h"

#include <signal.h>

#include <algorithm>
#include <utility>

#include "replica_site.h"
#include "support/free_port.h"

namespace coltsfootvane::testing {
namespace {

using BoostError = boost::system::error_code;

constexpr Milliseconds kHeartbeat{300};
constexpr Milliseconds kCallInterval{40};  ///< For each daemon.
constexpr Milliseconds kCallTimeout{7000};
/// A daemon that was stopped or started anew may lose calls until so long after
/// it runs again.
constexpr Milliseconds kExcuseTime{1500};
/// The daemons know what has healed within this time.
constexpr int kRecoveryMs = 5000;
constexpr std::size_t kMaxViolations = 20;

/// Statuses that state that a request has not run and never will.
bool SaysNotRun(int status) {
  return status == 503 || status == 429 || status == 408 || status == 421;
}

constexpr char kBadPort[] =
    R"({"service":"books","address":"127.0.0.1:99999","slots":8,)"
    R"("state":"ready","born":1})";

std::string DeepList() {
  constexpr std::size_t kDepth = 200'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

}  // namespace

ReplicaSoak::ReplicaSoak(const SoakOptions& soak_options)
    : options(soak_options),
      random(soak_options.seed),
      chances(soak_options.seed + 1),
      host(OwnLoopbackHost()),
      store(&this->io, this->host),
      heartbeat(this->io),
      pace(this->io),
      trouble(this->io) {
  for (int i = 1; i <= this->options.replicas; ++i) {
    auto replica = std::make_unique<SoakReplica>(
        &this->io, this->host, "r" + std::to_string(i), &this->chances);
    replica->on_violation = [this, name = replica->standin.id](
                                const std::string& id,
                                const std::string& what) {
      this->Violate(std::string(id).append(" ").append(what).append(name));
    };
    replica->sent_at = [this](const std::string& id) {
      const auto call = this->calls.find(id);
      return call == this->calls.end() ? TimePoint() : call->second.sent;
    };
    replica->on_arrival = [this](const std::string& id,
                                 const ReceivedRequest& request) {
      this->teams.OnArrival(id, request);
    };
    replica->on_run = [this](const std::string& id) { this->teams.OnRun(id); };
    this->replicas.push_back(std::move(replica));
  }
  this->teams.on_violation = [this](const std::string& text) {
    this->Violate(text);
  };
  GatewayOptions gateway;
  gateway.more_settings = QuotaSettings();
  gateway.peer_port = FreePort(this->host);
  for (int i = 0; i < this->options.daemons; ++i) {
    gateway.name = "vm-" + std::to_string(i);
    this->daemons.push_back({std::make_unique<GatewayProcess>(
                                 &this->io, MoreLoopbackHost(i),
                                 this->store.server.AddressText(), gateway),
                             TimePoint(), false});
  }
}

SoakTally ReplicaSoak::Run() {
  this->store.Put("config", "main", TeamsConfig());
  this->Register();
  for (Daemon& daemon : this->daemons)
    daemon.process->Start();
  for (Daemon& daemon : this->daemons) {
    if (!daemon.process->AwaitReady())
      this->Violate("a daemon does not start");
  }
  GatewayProcess& runner = *this->daemons.front().process;
  this->SendCalls();
  this->Disturb();
  runner.RunUntil([] { return false; },
                  static_cast<int>(this->options.length.count()));
  this->trouble.cancel();
  this->Heal();
  this->CheckRecovery();
  this->calling = false;
  runner.RunUntil([this] { return this->calls.empty(); },
                  static_cast<int>(kCallTimeout.count()));
  this->CheckRuns();
  this->teams.CheckQuota();
  this->tally.most_in_window = this->teams.most_in_window;
  this->CheckNoKeyIsShown();
  return this->tally;
}

void ReplicaSoak::Register() {
  for (const auto& replica : this->replicas) {
    if (replica->registers)
      this->store.Put("servers", replica->standin.id, replica->standin.Entry());
  }
  this->CheckProcesses();
  this->heartbeat.expires_after(kHeartbeat);
  this->heartbeat.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Register();
  });
}

void ReplicaSoak::CheckProcesses() {
  const TimePoint now = Clock::now();
  for (Daemon& daemon : this->daemons) {
    const auto& process = daemon.process->process;
    if (!process || now < daemon.disturbed_until || process->IsRunning())
      continue;
    this->Violate("a daemon " + process->DescribeEnd());
    daemon.process->Start();
    daemon.disturbed_until = now + kExcuseTime;
  }
}

void ReplicaSoak::SendCalls() {
  if (!this->calling)
    return;
  const char* const targets[] = {"/safe/1", "/unsafe/1", "/stream/1",
                                 "/public/1"};
  for (int i = 0; i < this->options.daemons; ++i) {
    this->Send(i, targets[this->chances() % 3], SoakTeams::KnownCaller());
    this->Send(i, targets[this->chances() % 4],
               SoakTeams::AnyCaller(&this->chances));
  }
  this->pace.expires_after(kCallInterval);
  this->pace.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->SendCalls();
  });
}

void ReplicaSoak::Send(int daemon, const std::string& path, SoakCaller caller) {
  const std::string id =
      std::to_string(daemon) + "-" + std::to_string(++this->last_call);
  this->calls[id] = {daemon, path, Clock::now()};
  this->paths[id] = path;
  net::RequestHead head;
  head.method = "POST";
  head.target = path;
  head.fields = {{"Request-Id", id}, {"Deadline-Ms", "4000"}, {"Host", "h"}};
  head.fields.insert(head.fields.end(), caller.fields.begin(),
                     caller.fields.end());
  this->teams.OnCall(id, path, std::move(caller));
  GatewayProcess& process = *this->daemons[daemon].process;
  process.client.Call(process.Callers(), std::move(head), {}, kCallTimeout,
                      net::ConnectionUse::kKept,
                      [this, id](const Result<net::WholeResponse>& response) {
                        this->OnAnswer(id, response);
                      });
}

void ReplicaSoak::OnAnswer(const std::string& id,
                           const Result<net::WholeResponse>& response) {
  const auto found = this->calls.find(id);
  const Call call = found->second;
  this->calls.erase(found);
  const int status = response ? response.value().head.status : 0;
  ++this->tally.calls[std::to_string(status)];
  const bool disturbed = call.sent < this->daemons[call.daemon].disturbed_until;
  if (response)
    this->CheckAnswer(id, call, response.value());
  else if (!disturbed && call.path != "/stream/1")
    this->Violate(id + " " + call.path + " got no answer");
  const bool may_lack_config =
      disturbed ||
      (this->daemons[call.daemon].started_anew && !this->serving_expected);
  if (response || !disturbed)
    this->teams.OnAnswer(id, status, may_lack_config);
  if (this->serving_expected && !disturbed && status != 200 && status != 401 &&
      !this->teams.IsQuotaRefusal(id, status))
    this->Violate(id + " " + call.path + " got " + std::to_string(status) +
                  " after everything has healed");
}

void ReplicaSoak::CheckAnswer(const std::string& id,
                              const Call& call,
                              const net::WholeResponse& response) {
  const int status = response.head.status;
  if (SaysNotRun(status))
    this->refused[id] = status;
  if (status != 200)
    return;
  const std::string expected =
      call.path == "/stream/1" ? SoakEvents(1, kSoakEvents) : "booked";
  const bool own =
      net::FieldValue(response.head.fields, "Request-Id") == id &&
      net::FindField(response.head.fields, "Server-Signature") != nullptr;
  if (!own || response.body != expected)
    this->Violate(id + " " + call.path +
                  " got another answer: " + response.body.substr(0, 200));
}

void ReplicaSoak::CheckRuns() {
  std::map<std::string, int> runs;
  for (const auto& replica : this->replicas) {
    for (const auto& [id, count] : replica->standin.runs)
      runs[id] += count;
  }
  for (const auto& [id, count] : runs) {
    if (this->paths[id] != "/unsafe/1")
      continue;
    if (count > 1)
      this->Violate(id + " ran " + std::to_string(count) + " times");
    if (this->refused.count(id) > 0)
      this->Violate(id + " ran and got " + std::to_string(this->refused[id]));
  }
}

void ReplicaSoak::CheckNoKeyIsShown() {
  for (const Daemon& daemon : this->daemons) {
    if (ShowsSoakKey(daemon.process->Log() + daemon.process->Metrics()))
      this->Violate("a daemon shows a key in its log or metrics");
  }
}

void ReplicaSoak::CheckRecovery() {
  GatewayProcess& runner = *this->daemons.front().process;
  runner.RunUntil([] { return false; }, kRecoveryMs);
  this->serving_expected = true;
  std::vector<std::size_t> before;
  for (const auto& replica : this->replicas)
    before.push_back(replica->standin.arrivals.size());
  const auto all_reached = [this, &before] {
    for (std::size_t i = 0; i < before.size(); ++i) {
      if (this->replicas[i]->standin.arrivals.size() == before[i])
        return false;
    }
    return true;
  };
  runner.RunUntil([] { return false; }, 1000);
  if (runner.RunUntil(all_reached, kRecoveryMs))
    return;
  for (std::size_t i = 0; i < before.size(); ++i) {
    const ReplicaStandin& replica = this->replicas[i]->standin;
    if (replica.arrivals.size() == before[i])
      this->Violate("healthy " + replica.id + " gets no requests");
  }
}

void ReplicaSoak::Disturb() {
  switch (this->Pick(5)) {
    case 0:
    case 1:
      this->DisturbReplica();
      break;
    case 2:
      this->DisturbEntries();
      break;
    case 3:
      this->DisturbStore();
      break;
    default:
      this->DisturbDaemon();
      break;
  }
  this->trouble.expires_after(this->RandomTime(100, 900));
  this->trouble.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Disturb();
  });
}

void ReplicaSoak::DisturbReplica() {
  SoakReplica* const replica =
      this->replicas[this->Pick(this->replicas.size())].get();
  SoakFaults* const faults = &replica->faults;
  const char* const kinds[] = {
      "leaves", "leaves and refuses", "pauses", "all pause", "stray", "resets",
      "breaks", "breaks and fails"};
  const int kind = this->Pick(8);
  ++this->tally.disturbances[kinds[kind]];
  switch (kind) {
    case 0:
    case 1:
      faults->leaving = true;
      faults->refuses = kind == 1;
      this->EndAfter(this->RandomTime(2500, 5000),
                     [replica] { replica->Restart(); });
      return;
    case 2:
      faults->paused_until = Clock::now() + this->RandomTime(300, 4000);
      return;
    case 3: {
      const TimePoint until = Clock::now() + this->RandomTime(300, 2500);
      for (const auto& each : this->replicas)
        each->faults.paused_until = until;
      return;
    }
    case 4:
      faults->stray = 0.3;
      break;
    case 5:
      faults->resets = 0.3;
      break;
    case 6:
      faults->breaks = 0.5;
      break;
    default:
      for (const auto& each : this->replicas) {
        each->faults.breaks = 0.5;
        each->faults.fails = 0.3;
        each->faults.failure_bytes = this->Happens(0.5) ? 90 : 400'000;
      }
      break;
  }
  this->EndAfter(this->RandomTime(500, 2500), [this] {
    for (const auto& each : this->replicas) {
      SoakFaults& ended = each->faults;
      ended.stray = ended.resets = ended.breaks = ended.fails = 0;
    }
  });
}

void ReplicaSoak::DisturbEntries() {
  ++this->tally.disturbances["odd entry"];
  const std::string specs[] = {
      R"({"service":"books","coldRemainingMs":1e999})",
      R"({"service":"books","models":)" + DeepList() + "}",
      kBadPort,
      "\"\xff\xfe\"",
      "null",
      "[[],{}]"};
  const std::string spec = specs[this->Pick(6)];
  if (this->Happens(0.7)) {
    const std::string name = "odd" + std::to_string(this->Pick(3));
    this->store.PutText("servers", name, spec);
    this->EndAfter(this->RandomTime(200, 4000), [this, name] {
      if (!this->store.Get("servers", name).is_null())
        this->store.Remove("servers", name);
    });
    return;
  }
  // The entry of a replica turns odd, or lapses, and returns.
  SoakReplica* const replica =
      this->replicas[this->Pick(this->replicas.size())].get();
  replica->registers = false;
  if (this->Happens(0.5))
    this->store.PutText("servers", replica->standin.id, spec);
  else
    this->store.Remove("servers", replica->standin.id);
  this->EndAfter(this->RandomTime(300, 2000),
                 [replica] { replica->registers = true; });
}

void ReplicaSoak::DisturbStore() {
  ++this->tally.disturbances["store"];
  StoreFaults* const faults = &this->store.faults;
  switch (this->Pick(4)) {
    case 0:
      faults->unavailable = true;
      break;
    case 1:
      faults->silent = true;
      break;
    case 2:
      faults->loses_answers = true;
      break;
    default:
      faults->history_gone = true;
      return;
  }
  this->EndAfter(this->RandomTime(200, 3000), [faults] { *faults = {}; });
}

void ReplicaSoak::DisturbDaemon() {
  const int number = this->Pick(this->daemons.size());
  Daemon* const daemon = &this->daemons[number];
  const TimePoint now = Clock::now();
  // One is disturbed after the other, so that each is undisturbed for a while.
  if (daemon->disturbed_until == TimePoint::max() ||
      now < daemon->disturbed_until + kExcuseTime)
    return;
  const auto run_again = [this, daemon, number] {
    daemon->disturbed_until = Clock::now() + kExcuseTime;
    for (const auto& replica : this->replicas)
      replica->Excuse(number);
  };
  daemon->disturbed_until = TimePoint::max();
  Process* const process = daemon->process->process.get();
  const int kind = this->Pick(3);
  const char* const kinds[] = {"daemon frozen", "daemon killed",
                               "daemon stopped"};
  ++this->tally.disturbances[kinds[kind]];
  if (kind == 0) {
    process->Signal(SIGSTOP);
    this->EndAfter(this->RandomTime(100, 1500), [process, run_again] {
      process->Signal(SIGCONT);
      run_again();
    });
    return;
  }
  if (kind == 1)
    process->Kill();
  else
    process->Signal(SIGTERM);
  this->EndAfter(
      kind == 1 ? this->RandomTime(100, 1500) : this->RandomTime(2000, 9000),
      [daemon, process, run_again] {
        process->Kill();
        daemon->process->Start();
        daemon->started_anew = true;
        run_again();
      });
}

void ReplicaSoak::EndAfter(Milliseconds time, std::function<void()> end) {
  const int number = ++this->last_end;
  this->ends[number] = std::move(end);
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io, time);
  timer->async_wait([this, timer, number](const BoostError&) {
    const auto found = this->ends.find(number);
    if (found == this->ends.end())
      return;
    const std::function<void()> due = std::move(found->second);
    this->ends.erase(found);
    due();
  });
}

void ReplicaSoak::Heal() {
  while (!this->ends.empty()) {
    const std::function<void()> due = std::move(this->ends.begin()->second);
    this->ends.erase(this->ends.begin());
    due();
  }
  this->store.faults = {};
  for (const auto& replica : this->replicas) {
    replica->Restart();
    replica->registers = true;
  }
}

Milliseconds ReplicaSoak::RandomTime(int least_ms, int most_ms) {
  return Milliseconds(
      std::uniform_int_distribution<>(least_ms, most_ms)(this->random));
}

bool ReplicaSoak::Happens(double chance) {
  return std::uniform_real_distribution<>(0, 1)(this->random) < chance;
}

int ReplicaSoak::Pick(std::size_t count) {
  return std::uniform_int_distribution<>(
      0, static_cast<int>(count) - 1)(this->random);
}

void ReplicaSoak::Violate(const std::string& text) {
  if (this->tally.violations.size() < kMaxViolations)
    this->tally.violations.push_back(text);
}

}  // namespace coltsfootvane::testing
