#include "daemon.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/digest.h"
#include "distribution/daemon_registration.h"
#include "events.h"
#include "peer/config_peer.h"

namespace coltsfootvane {
namespace {

constexpr Milliseconds kPeerFetchTimeout{3000};
constexpr Milliseconds kRegistrationTimeout{5000};
constexpr Milliseconds kFinalWriteTimeout{3000};
constexpr Milliseconds kPollInterval{20};
/// Share of the daemon's platform calls that the deletion of records may use.
constexpr double kSweepShare = 0.25;

Result<PeerSnapshot> ConvertSnapshot(const peer::FetchedSnapshot& fetched) {
  PeerSnapshot snapshot;
  const Result<PlacementView> placement = ParsePlacement(fetched.placement);
  if (placement)
    snapshot.placement = placement.assume_value();
  if (!fetched.newer)
    return snapshot;
  const Result<ConfigurationHead> head = ParseHead(fetched.head);
  if (!head)
    return head.error();
  snapshot.head = head.assume_value();
  snapshot.bundle = MakeBundle(fetched.parts);
  return snapshot;
}

Result<PeerSnapshot> FetchSnapshot(const http::Address& address,
                                   std::int64_t known_version) {
  const Result<peer::FetchedSnapshot> fetched = peer::FetchFromPeer(
      address, known_version, Clock::now() + kPeerFetchTimeout);
  if (!fetched)
    return fetched.error();
  return ConvertSnapshot(fetched.assume_value());
}

peer::ConfigurationSnapshot ToPeer(const PeerSnapshot& snapshot) {
  peer::ConfigurationSnapshot converted;
  converted.version = snapshot.head.version;
  converted.head = FormatHead(snapshot.head);
  converted.parts = snapshot.bundle.parts;
  converted.placement = FormatPlacement(snapshot.placement);
  return converted;
}

DaemonRecord MakeRecord(const Settings& settings,
                        const std::string& instance_id) {
  DaemonRecord record;
  record.daemon_id = settings.daemon_id;
  record.incarnation = instance_id;
  record.data_centre = settings.data_centre;
  record.entry = settings.entry_listen;
  record.admin = settings.admin_listen;
  record.peer = settings.peer_listen;
  return record;
}

}  // namespace

Daemon::Daemon(const Settings& settings)
    : settings(settings),
      instance_id(RandomId()),
      control(objectapi::MakeConnection(settings.platform,
                                        settings.platform_calls_per_s)),
      // Records have a budget of their own, so that many irreversible calls
      // cannot stop the watch of the configuration.
      record_connection(
          objectapi::MakeConnection(settings.platform,
                                    settings.platform_calls_per_s)),
      senders(this->control) {
  this->CreateParts();
}

Daemon::~Daemon() {
  this->stopping = true;
  if (this->registration.joinable())
    this->registration.join();
}

void Daemon::CreateParts() {
  RecordWriterOptions writer_options;
  writer_options.retention =
      std::chrono::seconds{this->settings.records_keep_s};
  writer_options.call_timeout =
      Milliseconds{this->settings.platform_call_timeout_ms};
  writer_options.seed = Hash64(this->instance_id);
  this->records = std::make_unique<RecordWriter>(
      MakeRecordStore(this->record_connection), writer_options);
  RecordSweeperOptions sweeper_options;
  sweeper_options.retention = writer_options.retention;
  sweeper_options.call_timeout = writer_options.call_timeout;
  sweeper_options.calls_per_s =
      this->settings.platform_calls_per_s * kSweepShare;
  sweeper_options.on_delete_attempt = [this](RecordState state,
                                             std::string_view result) {
    this->metrics.CountRecordExpiry(RecordStateName(state), result);
  };
  this->sweeper =
      std::make_unique<RecordSweeper>(this->control, sweeper_options);
  this->distribution = std::make_unique<Distribution>(
      this->settings, this->control, &this->in_force,
      this->MakeDistributionHooks());
  this->peer_node = std::make_unique<peer::PeerNode>(this->MakePeerOptions());
  PlannerOptions planner_options;
  planner_options.region = this->settings.region;
  planner_options.daemon_id = this->settings.daemon_id;
  planner_options.incarnation = this->instance_id;
  this->planner =
      std::make_unique<Planner>(planner_options, this->control, &this->in_force,
                                this->MakePlannerHooks());
  this->entry = std::make_unique<EntryServer>(this->MakeEntryDependencies());
  AdminOptions admin_options;
  admin_options.listen = this->settings.admin_listen;
  admin_options.threads = this->settings.admin_threads;
  admin_options.metrics = &this->metrics;
  admin_options.in_force = &this->in_force;
  admin_options.status = [this] { return this->StatusJson(); };
  this->admin = std::make_unique<AdminServer>(admin_options);
}

peer::PeerOptions Daemon::MakePeerOptions() {
  peer::PeerOptions options;
  options.settings = this->settings;
  options.instance_id = this->instance_id;
  options.in_force = &this->in_force;
  options.hooks.on_version = [this](std::int64_t version,
                                    std::string_view digest,
                                    const http::Address& peer) {
    this->distribution->NoteVersion(version, digest, peer);
  };
  options.hooks.on_endpoint_leaving = [this](const std::string& endpoint_id) {
    this->distribution->NoteLeaving(endpoint_id);
  };
  options.hooks.snapshot = [this] {
    return ToPeer(this->distribution->Snapshot());
  };
  return options;
}

DistributionHooks Daemon::MakeDistributionHooks() {
  DistributionHooks hooks;
  hooks.fetch_from_peer = FetchSnapshot;
  hooks.on_version = [this](std::int64_t version, std::string_view digest) {
    this->peer_node->SetVersion(version, digest);
  };
  hooks.on_endpoint_live = [this](std::string_view endpoint_id) {
    this->peer_node->ClearEndpointLeaving(endpoint_id);
  };
  return hooks;
}

PlannerHooks Daemon::MakePlannerHooks() {
  PlannerHooks hooks;
  hooks.take_demand = [this] { return this->peer_node->ReportedDemand(); };
  hooks.has_sender_ended = [this](std::string_view incarnation) {
    return this->senders.IsGone(incarnation, Clock::now());
  };
  hooks.on_leadership = [this](bool holds) {
    this->holds_lease = holds;
    this->sweeper->SetActive(holds);
    this->peer_node->SetPlanner(holds);
  };
  return hooks;
}

EntryDependencies Daemon::MakeEntryDependencies() {
  EntryDependencies dependencies;
  dependencies.settings = this->settings;
  dependencies.in_force = &this->in_force;
  dependencies.slots = this->peer_node->MakeSlotClient();
  dependencies.platform = this->record_connection;
  dependencies.records = this->records.get();
  dependencies.metrics = &this->metrics;
  dependencies.on_endpoint_leaving = [this](std::string_view endpoint_id) {
    this->NoteEndpointLeaving(endpoint_id);
  };
  return dependencies;
}

void Daemon::NoteEndpointLeaving(std::string_view endpoint_id) {
  this->distribution->NoteLeaving(endpoint_id);
  this->peer_node->RecordEndpointLeaving(endpoint_id);
}

Result<bool> Daemon::Start() {
  Result<bool> started = this->admin->Start();
  if (!started)
    return started;
  started = this->peer_node->Start();
  if (!started)
    return started;
  started = this->entry->Start();
  if (!started)
    return started;
  this->distribution->Start();
  this->registration = std::thread([this] { this->Register(); });
  LogEvent(kDaemonStarted,
           "daemon=" + this->settings.daemon_id +
               " instance=" + this->instance_id +
               " entry=" + http::FormatAddress(this->settings.entry_listen));
  return true;
}

void Daemon::Register() {
  const Milliseconds call_timeout{this->settings.platform_call_timeout_ms};
  const auto cancelled = [this] { return this->stopping.load(); };
  const DaemonRecord record = MakeRecord(this->settings, this->instance_id);
  while (!this->stopping) {
    const Result<bool> written =
        WriteDaemonRecord(this->control, record, call_timeout,
                          Clock::now() + kRegistrationTimeout, cancelled);
    if (written)
      break;
    LogEvent(kRegistrationDelayed, "reason=" + written.error().message);
  }
  if (this->stopping)
    return;
  const Result<std::vector<DaemonRecord>> others =
      ReadDaemonRecords(this->control, Clock::now() + kRegistrationTimeout);
  if (others) {
    std::vector<http::Address> addresses;
    for (const DaemonRecord& other : others.assume_value())
      addresses.push_back(other.peer);
    this->peer_node->AddPeers(addresses);
  }
  // Only a registered incarnation may send commands; see SenderRegistry.
  this->planner->Start();
}

void Daemon::UpdateGauges() {
  this->metrics.SetPendingRecords(
      static_cast<double>(this->records->Pending()));
  this->metrics.SetGauge("coltsfootvane_configuration_version",
                         "Version of the configuration in force",
                         static_cast<double>(this->in_force.Get()->version));
  this->metrics.SetGauge("coltsfootvane_planner",
                         "1 while this daemon holds the planner lease",
                         this->holds_lease ? 1 : 0);
}

void Daemon::UpdateHealth() {
  this->UpdateGauges();
  if (this->ready || this->in_force.Get()->version == 0)
    return;
  this->ready = true;
  this->admin->SetHealth(HealthState::kReady);
  LogEvent(kDaemonReady,
           "version=" + std::to_string(this->in_force.Get()->version));
}

void Daemon::WaitForRequests(TimePoint deadline) const {
  while (this->entry->InProgress() > 0 && Clock::now() < deadline)
    std::this_thread::sleep_for(kPollInterval);
}

void Daemon::Shutdown() {
  const TimePoint now = Clock::now();
  const TimePoint stop_deadline =
      now + Milliseconds{this->settings.stop_timeout_ms};
  const TimePoint drain_start =
      now + Milliseconds{this->settings.balancer_grace_ms};
  this->admin->SetHealth(HealthState::kLeaving);
  LogEvent(kDaemonLeaving,
           "in_progress=" + std::to_string(this->entry->InProgress()));
  this->stopping = true;
  this->peer_node->SetLeaving();
  if (this->registration.joinable())
    this->registration.join();
  this->planner->Stop();
  this->sweeper->Stop();
  std::this_thread::sleep_until(std::min(drain_start, stop_deadline));
  this->entry->BeginDrain();
  this->WaitForRequests(stop_deadline);
  if (this->entry->InProgress() > 0)
    LogEvent(kStopDeadlinePassed,
             "in_progress=" + std::to_string(this->entry->InProgress()));
  this->entry->Stop();
  this->records->Stop(
      std::max(stop_deadline, Clock::now() + kFinalWriteTimeout));
  DaemonRecord record = MakeRecord(this->settings, this->instance_id);
  record.leaving = true;
  static_cast<void>(
      WriteDaemonRecord(this->control, record,
                        Milliseconds{this->settings.platform_call_timeout_ms},
                        Clock::now() + kFinalWriteTimeout));
  this->distribution->Stop();
  this->peer_node->Stop();
  this->admin->Stop();
  LogEvent(kDaemonStopped, "daemon=" + this->settings.daemon_id);
}

std::string Daemon::StatusJson() const {
  const std::shared_ptr<const InForce> view = this->in_force.Get();
  nlohmann::json status;
  status["daemon"] = this->settings.daemon_id;
  status["instance"] = this->instance_id;
  status["data_centre"] = this->settings.data_centre;
  status["region"] = this->settings.region;
  status["configuration_version"] = view->version;
  status["in_progress"] = this->entry->InProgress();
  status["pending_records"] = this->records->Pending();
  status["planner"] = this->holds_lease.load();
  status["leaving"] = view->leaving;
  status["placement"] =
      nlohmann::json::parse(FormatPlacement(view->placement), nullptr, false);
  status["peers"] =
      nlohmann::json::parse(this->peer_node->StatusJson(), nullptr, false);
  return status.dump();
}

}  // namespace coltsfootvane
