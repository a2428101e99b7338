#include <thread>
#include <utility>

#include "daemon/daemon.h"
#include "daemon/events.h"

namespace coltsfootvane::daemon {
namespace {

/// For which a process that starts waits for an address that is still taken,
/// such as by the process before. Shorter than the grace period of a shutdown.
constexpr Milliseconds kListenLimit{5000};
constexpr Milliseconds kListenRetryInterval{50};
/// Between two attempts at an address without which the daemon serves.
constexpr Milliseconds kOptionalRetryInterval{1000};

}  // namespace

Result<bool> Daemon::Listen() {
  const TimePoint limit = BootNow() + kListenLimit;
  Result<bool> listening = this->TryListen();
  if (!listening)
    this->LogListenFailure(listening.error());
  while (!listening && BootNow() < limit) {
    std::this_thread::sleep_for(kListenRetryInterval);
    listening = this->TryListen();
  }
  return listening;
}

/// Opens what is not open yet of the addresses without which nothing is served.
Result<bool> Daemon::TryListen() {
  if (!this->fleet.IsOpen()) {
    const Result<bool> opened =
        this->fleet.Open({this->settings.ip, this->settings.peer_port});
    if (!opened)
      return opened.error();
  }
  if (!this->health.IsOpen()) {
    const Result<bool> opened = this->health.Open(this->settings.health);
    if (!opened)
      return opened.error();
  }
  return this->callers.Open(this->settings.callers,
                            [this](std::shared_ptr<net::TcpStream> stream) {
                              this->OnCaller(std::move(stream));
                            });
}

void Daemon::OnCaller(std::shared_ptr<net::TcpStream> stream) {
  if (!this->gateway.intake->AdmitConnection(stream->Descriptor())) {
    this->gateway.metrics.CountEndedConnection("no descriptor");
    stream->Close();
    return;
  }
  auto connection = std::make_shared<gateway::CallerConnection>(
      &this->gateway, std::move(stream));
  connection->Start();
  this->connections.push_back(connection);
}

void Daemon::OpenOptional(gateway::HealthListener* listener,
                          unsigned short port) {
  if (port == 0 || listener->IsOpen())
    return;
  const Result<bool> opened = listener->Open({this->settings.ip, port});
  if (!opened)
    this->LogListenFailure(opened.error());
}

/// Without the port for other daemons, these fetch from elsewhere; the health
/// port serves metrics as well.
void Daemon::ListenForOthers(TimePoint now) {
  if (now < this->optional_listen_at || this->gateway.leaving)
    return;
  this->optional_listen_at = now + kOptionalRetryInterval;
  this->OpenOptional(&this->peers, this->settings.peer_port);
  this->OpenOptional(&this->metrics, this->settings.metrics_port);
}

void Daemon::LogListenFailure(const Error& error) {
  this->log.Write(kListenFailed, "", "reason=\"" + error.message + "\"");
}

}  // namespace coltsfootvane::daemon
