#include "gateway_process.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>
#include <vector>

#include "support/free_port.h"

namespace coltsfootvane::testing {
namespace {

net::tcp::endpoint FreeAddress(const std::string& host) {
  return {boost::asio::ip::make_address(host),
          static_cast<unsigned short>(FreePort(host))};
}

std::string ToText(const net::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

GatewayProcess::GatewayProcess(boost::asio::io_context* io_context,
                               const std::string& host,
                               std::string store_address,
                               GatewayOptions gateway_options)
    : io(io_context),
      client(io_context),
      store(std::move(store_address)),
      options(std::move(gateway_options)),
      callers(FreeAddress(host)),
      health(FreeAddress(host)) {
  if (this->options.peer_port == 0)
    this->options.peer_port = FreePort(host);
  const std::string prefix =
      (std::filesystem::temp_directory_path() /
       ("coltsfootvane-gateway-" + std::to_string(getpid()) + "-" +
        this->options.name))
          .string();
  this->settings_path = prefix + ".conf";
  this->log_path = prefix + ".log";
}

void GatewayProcess::WriteSettings(int stop_timeout_s) {
  std::ofstream settings(this->settings_path);
  const int port = this->options.peer_port;
  settings << "nodeName=" << this->options.name
           << "\nzone=dc\nlisten.front=" << ToText(this->callers)
           << "\nlisten.ready=" << ToText(this->health)
           << "\ninternalPorts=" << port << "," << port
           << "\nplatform.address=" << this->store
           << "\nlimits.memoryMb=" << this->options.memory_mb
           << "\nbounds.graceS=" << stop_timeout_s
           << "\nbounds.leaseMs=1000\nbounds.requireFencing=true\n"
           << this->options.more_settings;
  if (this->options.max_fds > 0)
    settings << "limits.maxFds=" << this->options.max_fds << "\n";
}

void GatewayProcess::Start() {
  constexpr int kStopTimeoutS = 8;
  this->WriteSettings(kStopTimeoutS);
  this->StartWithOldSettings();
}

void GatewayProcess::StartWithOldSettings() {
  std::vector<std::string> arguments = {"gateway", "--settings",
                                        this->settings_path};
  if (this->options.metrics_port != 0) {
    arguments.emplace_back("--metrics-port");
    arguments.push_back(std::to_string(this->options.metrics_port));
  }
  this->process = std::make_unique<Process>(this->options.program, arguments,
                                            this->log_path);
}

bool GatewayProcess::RunUntil(const std::function<bool()>& condition,
                              int milliseconds) {
  const TimePoint deadline = Clock::now() + Milliseconds(milliseconds);
  while (!condition()) {
    if (Clock::now() >= deadline)
      return false;
    this->io->restart();
    this->io->run_one_for(Milliseconds(20));
  }
  return true;
}

std::optional<Result<net::WholeResponse>> GatewayProcess::CallAt(
    const net::tcp::endpoint& address,
    net::RequestHead head) {
  std::optional<Result<net::WholeResponse>> answer;
  this->client.Call(address, std::move(head), {}, Milliseconds(9000),
                    net::ConnectionUse::kOwn,
                    [&answer](Result<net::WholeResponse> response) {
                      answer = std::move(response);
                    });
  this->RunUntil([&answer] { return answer.has_value(); }, 10'000);
  return answer;
}

std::optional<Result<net::WholeResponse>> GatewayProcess::Get(
    const std::string& path) {
  net::RequestHead head;
  head.method = "GET";
  head.target = path;
  return this->CallAt(this->health, std::move(head));
}

int GatewayProcess::Ready() {
  const auto answer = this->Get("/readyz");
  return answer && answer->has_value() ? answer->value().head.status : 0;
}

std::string GatewayProcess::Metrics() {
  const auto answer = this->Get("/metrics");
  return answer && answer->has_value() ? answer->value().body : std::string();
}

std::string GatewayProcess::Log() const {
  std::ifstream log(this->log_path);
  return {std::istreambuf_iterator<char>(log),
          std::istreambuf_iterator<char>()};
}

bool GatewayProcess::AwaitReady() {
  return this->RunUntil([this] { return this->Ready() == 200; }, 20'000);
}

}  // namespace coltsfootvane::testing
