#include "daemon/daemon.h"

#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>
#include <system_error>
#include <utility>

#include "base/name_text.h"
#include "daemon/daemon_metrics.h"
#include "daemon/events.h"
#include "orders/metered_access.h"
#include "store/failure_log.h"
#include "store/metered_store.h"

namespace coltsfootvane::daemon {
namespace {

using BoostError = boost::system::error_code;

constexpr Milliseconds kTick{250};
/// A tick that is later by this much is logged.
constexpr Milliseconds kLateTick{200};
constexpr Milliseconds kSettingsCheck{1000};
/// Of the process's descriptors, for files.
constexpr int kFileDescriptors = 200;
constexpr int kMinConnectionDescriptors = 128;

/// Returns the descriptors that connections may have.
int ConnectionDescriptors(const DaemonSettings& settings) {
  double all = settings.max_fds;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
      (all == 0 || static_cast<double>(limit.rlim_cur) < all))
    all = static_cast<double>(limit.rlim_cur);
  constexpr double kMost = 1 << 20;
  return std::max(kMinConnectionDescriptors,
                  static_cast<int>(std::min(all, kMost)) - kFileDescriptors);
}

/// Of a large fleet, so many daemons watch the lease to take it over, and so
/// many look often for daemons that are not known.
constexpr std::size_t kLeaseCandidates = 6;
constexpr std::size_t kListers = 2;
constexpr Milliseconds kStoreCallsLogInterval{10'000};

/// Returns the time of the last write, or the least time if the file cannot be
/// examined.
std::filesystem::file_time_type LastWrite(const std::string& path) {
  std::error_code error;
  const auto time = std::filesystem::last_write_time(path, error);
  return error ? std::filesystem::file_time_type::min() : time;
}

}  // namespace

Daemon::Daemon(const DaemonSettings& daemon_settings,
               const DeploymentMaker& make)
    : settings(daemon_settings),
      io(1),
      log(STDOUT_FILENO, daemon_settings.name),
      client(&this->io),
      deployment(make(&this->client)),
      gateway(&this->io),
      store(store::WithFailureLog(
          store::Metered(this->deployment.store, &this->gateway.registry),
          &this->log)),
      callers(&this->io),
      health(
          &this->io,
          [this](std::string_view path) { return this->AnswerHealth(path); }),
      metrics(
          &this->io,
          [this](std::string_view path) { return this->AnswerHealth(path); }),
      peers(&this->io,
            [this](std::string_view path) {
              return this->store_view.Answer(path);
            }),
      fleet(&this->io, &this->gateway),
      store_view(&this->io,
                 &this->deployment,
                 &this->store,
                 &this->gateway,
                 &this->fleet,
                 &this->log,
                 daemon_settings.in_force_limit,
                 &this->client,
                 daemon_settings.peer_port),
      registry(&this->io,
               &this->store,
               daemon_settings.name,
               daemon_settings.ip,
               [this](const boost::asio::ip::address& address) {
                 this->fleet.AddPeer(address);
                 this->fleet.peers_listed = true;
               }),
      lease(&this->io,
            &this->store,
            &this->log,
            daemon_settings.name + "@" + daemon_settings.ip.to_string(),
            daemon_settings.lease_time,
            daemon_settings.engines_check_fences),
      orders(&this->io,
             &this->gateway,
             &this->fleet,
             &this->lease,
             &this->log,
             orders::Metered(this->deployment.engines, &this->gateway.registry),
             daemon_settings.store_load_limit),
      quarantine_record(&this->io, &this->store, &this->gateway),
      signals(this->io, SIGTERM, SIGINT, SIGHUP),
      ticker(this->io),
      settings_written(LastWrite(this->deployment.settings_path)) {
  this->gateway.wire = this->deployment.wire;
  this->gateway.log = &this->log;
  this->gateway.data_centre = this->settings.data_centre;
  this->gateway.intake->bounds = intake::BoundsFor(
      daemon_settings.memory_mb, ConnectionDescriptors(daemon_settings));
  this->gateway.held_bytes.limit = this->gateway.intake->bounds.common_bytes;
  this->client.SetAccount(&this->gateway.held_bytes);
  this->gateway.random.seed(std::random_device()());
  this->gateway.return_sequence.position = this->gateway.random();
  this->ApplyChangeable(daemon_settings);
  this->fleet.quota_bounds = daemon_settings.quota_bounds;
  this->fleet.on_seen = [this](const fleet::SeenChanges& told) {
    this->store_view.CatchUp(told);
  };
  this->store.eras->observers.push_back(
      [this](const store::EraChange& change) { this->OnNewEra(change); });
  this->store.eras->on_fault = [this](const std::string& text,
                                      const char* reason) {
    this->log.Write(
        kStoreEraInvalid, "",
        "era=\"" + Printable(text) + "\" reason=\"" + reason + "\"");
  };
  this->lease.is_holder_silent = [this](std::int64_t epoch) {
    return this->fleet.IsHolderSilent(epoch);
  };
  this->lease.highest_heard_epoch = [this] {
    return this->fleet.HighestHeardEpoch();
  };
  this->lease.hears_other_holder = [this] {
    return this->fleet.HearsOtherHolder();
  };
  this->lease.may_compete = [this] {
    return !this->fleet.IsLarge() ||
           this->fleet.IsAmongReaders(kLeaseCandidates);
  };
  this->registry.lists_rarely = [this] {
    return this->fleet.IsLarge() && !this->fleet.IsAmongReaders(kListers);
  };
  this->lease.on_store_back = [this] { this->store_view.Refresh(); };
  this->gateway.query_load = [this](gsl::span<const gateway::EndpointPtr> asked,
                                    std::function<void()> done) {
    this->fleet.QueryLoad(asked, std::move(done));
  };
  this->gateway.update_load = [this](const gateway::Endpoint& endpoint,
                                     bool refused) {
    this->fleet.UpdateLoad(endpoint, refused);
  };
  this->gateway.request_adapter = [this](const gateway::AdapterWanted& wanted,
                                         gateway::AdapterHandler done) {
    this->fleet.RequestAdapter(wanted, std::move(done));
  };
}

Result<bool> Daemon::Run() {
  const Result<bool> listening = this->Listen();
  if (!listening)
    return listening.error();
  this->ListenForOthers(BootNow());
  this->log.Write(kDaemonStarted, "", "pid=" + std::to_string(getpid()));
  this->AwaitSignals();
  this->store_view.Start();
  for (const boost::asio::ip::address& peer : this->settings.first_peers)
    this->fleet.AddPeer(peer);
  this->registry.Start();
  this->lease.Start();
  this->orders.Start();
  this->quarantine_record.Start();
  this->Tick();
  this->io.run();
  this->store_calls_log_at = TimePoint();
  this->LogStoreCalls(BootNow());
  this->log.Write(kDaemonStopped, "",
                  "requests=" + std::to_string(this->gateway.traffic.requests));
  this->log.Flush();
  return true;
}

bool Daemon::IsReady() const {
  return this->gateway.routes && this->store_view.KnowsEndpoints() &&
         !this->gateway.leaving;
}

std::string Daemon::Metrics() const {
  DaemonParts parts;
  parts.gateway = &this->gateway;
  parts.fleet = &this->fleet;
  parts.lease = &this->lease;
  parts.log = &this->log;
  parts.view_confirmed_at = this->store_view.ConfirmedAt();
  parts.store_calls = this->store.tally.get();
  parts.eras = this->store.eras.get();
  parts.news = &this->store_view.Counts();
  parts.followers = {&this->store_view.Config(), &this->store_view.Endpoints()};
  return FormatMetrics(parts, BootNow());
}

gateway::HealthAnswer Daemon::AnswerHealth(std::string_view path) const {
  if (path == "/readyz")
    return this->IsReady() ? gateway::HealthAnswer{200, "ready\n"}
                           : gateway::HealthAnswer{503, "not ready\n"};
  if (path == "/metrics")
    return {200, this->Metrics()};
  return {};
}

void Daemon::AwaitSignals() {
  this->signals.async_wait([this](const BoostError& ec, int signal) {
    if (ec)
      return;
    this->OnSignal(signal);
    this->AwaitSignals();
  });
}

void Daemon::OnSignal(int signal) {
  if (signal == SIGHUP)
    this->ReloadSettings();
  else
    this->StartShutdown();
}

/// The file may change without a signal.
void Daemon::CheckSettingsFile() {
  const TimePoint now = BootNow();
  if (now < this->settings_check_at)
    return;
  this->settings_check_at = now + kSettingsCheck;
  if (LastWrite(this->deployment.settings_path) != this->settings_written)
    this->ReloadSettings();
}

void Daemon::ReloadSettings() {
  this->settings_written = LastWrite(this->deployment.settings_path);
  Findings findings;
  const DaemonSettings changed = this->deployment.read_settings(&findings);
  for (const Finding& finding : findings)
    this->log.Write(kSettingsRejected, "", FormatFinding(finding));
  if (!findings.empty())
    return;
  this->ApplyChangeable(changed);
  this->log.Write(kSettingsReloaded, "",
                  "path=" + this->deployment.settings_path);
}

void Daemon::ApplyChangeable(const DaemonSettings& changed) {
  this->settings.stop_timeout = changed.stop_timeout;
  this->gateway.retry_limit = changed.retry_limit;
  if (this->gateway.leaving)
    this->PlanShutdown(this->gateway.leaving_since);
}

/// Sets the times of a shutdown that began at that time.
void Daemon::PlanShutdown(TimePoint began) {
  const TimePoint last_busy = this->shutdown.last_busy;
  this->shutdown = BeginShutdown(this->settings.stop_timeout, began);
  this->shutdown.last_busy = last_busy;
  this->gateway.last_request_at = this->shutdown.last_request_at;
  this->gateway.last_answer_at = this->shutdown.last_answer_at;
}

void Daemon::StartShutdown() {
  if (this->gateway.leaving)
    return;
  this->gateway.leaving = true;
  this->gateway.leaving_since = BootNow();
  this->PlanShutdown(this->gateway.leaving_since);
  // The stop time may have changed since the last look at the file.
  this->ReloadSettings();
  this->CloseIdleConnections();
  this->lease.Release();
  this->fleet.ReportNow();
  this->log.Write(kShutdownBegan, "",
                  "requests=" + std::to_string(this->gateway.exchanges));
}

void Daemon::CloseIdleConnections() {
  for (const auto& weak : this->connections) {
    if (const auto connection = weak.lock())
      connection->CloseIfIdle();
  }
}

void Daemon::EndUnsentAnswers() {
  const std::size_t cut = this->gateway.intake->EndUnsent();
  if (cut > 0)
    this->log.Write(kAnswersCutOff, "", "callers=" + std::to_string(cut));
}

void Daemon::RecordCuts() const {
  for (const auto& weak : this->connections) {
    if (const auto connection = weak.lock())
      connection->RecordCut("shutdown");
  }
}

void Daemon::ObserveLateness(TimePoint now) {
  if (this->tick_due == TimePoint() || now < this->tick_due + kLateTick)
    return;
  this->gateway.loop_late_at = now;
  const auto late =
      std::chrono::duration_cast<Milliseconds>(now - this->tick_due);
  this->log.Write(kLoopLate, "", "late_ms=" + std::to_string(late.count()));
}

void Daemon::ForgetEndedConnections() {
  const auto ended = std::remove_if(
      this->connections.begin(), this->connections.end(),
      [](const std::weak_ptr<gateway::CallerConnection>& connection) {
        return connection.expired();
      });
  this->connections.erase(ended, this->connections.end());
}

void Daemon::OnNewEra(const store::EraChange& change) {
  const bool is_told = change.source == store::EraSource::kPeer;
  this->log.Write(kStoreEra, "",
                  "from=" + std::to_string(change.from) +
                      " to=" + std::to_string(change.to) +
                      " source=" + (is_told ? "peer" : "store"));
  this->lease.OnNewEra();
  this->registry.OnNewEra();
  this->quarantine_record.OnNewEra();
}

void Daemon::LogStoreCalls(TimePoint now) {
  const std::uint64_t calls = store::TotalCalls(*this->store.tally);
  if (now < this->store_calls_log_at || calls == this->logged_store_calls)
    return;
  this->store_calls_log_at = now + kStoreCallsLogInterval;
  this->logged_store_calls = calls;
  this->log.Write(kStoreCalls, "",
                  "total=" + std::to_string(calls) + " " +
                      store::FormatTally(*this->store.tally) + " reader=" +
                      (this->fleet.ReadsLatestState() ? "1" : "0"));
}

/// Ends the event loop once the shutdown is complete. Returns whether it is.
bool Daemon::HasShutDown(TimePoint now) {
  if (now >= this->shutdown.last_answer_at) {
    gateway::EndOpenRequests(&this->gateway);
    this->gateway.intake->RefuseReceiving();
  }
  const Pending pending{this->gateway.exchanges,
                        this->gateway.intake->UnsentCount(),
                        this->gateway.intake->ReceivingCount()};
  if (!IsComplete(&this->shutdown, pending, now))
    return false;
  // Callers that have connected meanwhile expect an answer.
  const bool may_wait = now < this->shutdown.ends;
  if (may_wait && this->callers.AcceptPending() > 0) {
    this->shutdown.last_busy = now;
    return false;
  }
  this->EndUnsentAnswers();
  this->RecordCuts();
  this->io.stop();
  return true;
}

void Daemon::Tick() {
  this->ObserveLateness(BootNow());
  this->gateway.connections.DropExpired();
  this->gateway.crash_watch.Tick(BootNow());
  this->gateway.intake->Tick(BootNow());
  this->quarantine_record.Tick(this->lease.MaySendOrder(BootNow()), BootNow());
  this->store_view.Tick();
  this->log.Flush();
  this->ForgetEndedConnections();
  this->CheckSettingsFile();
  const TimePoint now = BootNow();
  this->LogStoreCalls(now);
  this->ListenForOthers(now);
  TimePoint next = now + kTick;
  if (this->gateway.leaving) {
    if (this->HasShutDown(now))
      return;
    next = NextCheck(this->shutdown, now, kTick);
  }
  this->tick_due = next;
  this->ticker.expires_after(TimeLeft(next, now) + Milliseconds(1));
  this->ticker.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->Tick();
  });
}

}  // namespace coltsfootvane::daemon
