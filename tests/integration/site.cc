#include "site.h"

#include <algorithm>
#include <filesystem>

#include "base/digest.h"
#include "http_calls.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::testing {

http::Header InteractiveKey() {
  return {"Authorization", "Bearer key-counter"};
}

http::Header LookupKey() {
  return {"Authorization", "Bearer key-ledger"};
}

http::Header OvernightKey() {
  return {"Authorization", "Bearer key-night"};
}

Site::Site(const SiteOptions& options)
    : options(options), host(OwnLoopbackHost()) {
  const std::filesystem::path root = std::filesystem::temp_directory_path();
  this->folder = (root / ("coltsfootvane-" + RandomId())).string();
  std::filesystem::create_directories(this->folder + "/configuration");
  this->ChooseAddresses();
  this->WriteConfiguration();
}

Site::~Site() {
  const bool failed = UtestShell::getCurrent()->hasFailed();
  if (failed)
    this->PrintEnded();
  this->daemons.clear();
  this->services.clear();
  this->engines.clear();
  this->platform_process.reset();
  if (failed)
    std::printf("logs are in %s\n", this->folder.c_str());
  else
    std::filesystem::remove_all(this->folder);
}

void Site::PrintEnded() {
  for (const DaemonProcess& daemon : this->daemons) {
    const std::string end = daemon.process ? daemon.process->DescribeEnd() : "";
    if (!end.empty())
      std::printf("%s %s\n", daemon.id.c_str(), end.c_str());
  }
}

http::Address Site::NewAddress() {
  int port = FreePort(this->host);
  // The kernel may give out a port again that nothing listens on yet.
  while (!this->ports.insert(port).second)
    port = FreePort(this->host);
  return {this->host, port};
}

void Site::ChooseAddresses() {
  this->platform = this->NewAddress();
  const auto add = [this](const std::string& prefix, std::size_t count,
                          std::vector<StandinProcess>* out) {
    for (std::size_t i = 0; i < count; ++i) {
      StandinProcess standin;
      standin.id = prefix + std::to_string(i + 1);
      standin.direct = this->NewAddress();
      standin.address =
          this->options.proxies ? this->NewAddress() : standin.direct;
      if (this->options.proxies)
        standin.proxy_control = this->NewAddress();
      out->push_back(std::move(standin));
    }
  };
  add("engine-", this->options.engines.size(), &this->engines);
  add("booking-", static_cast<std::size_t>(this->options.services),
      &this->services);
  for (int i = 0; i < this->options.daemons; ++i) {
    DaemonProcess daemon;
    daemon.id = "entry-" + std::to_string(i + 1);
    daemon.settings_path = this->folder + "/" + daemon.id + ".yaml";
    daemon.entry = this->NewAddress();
    daemon.admin = this->NewAddress();
    daemon.peer = this->NewAddress();
    if (this->options.platform_proxies)
      daemon.platform_proxy_control = this->NewAddress();
    this->daemons.push_back(std::move(daemon));
  }
  for (std::size_t i = 0; i < this->daemons.size(); ++i)
    this->WriteSettings(this->daemons[i], i);
}

std::string Site::LogPath(const std::string& name) {
  return this->folder + "/" + name + "-" + std::to_string(++this->log_count) +
         ".log";
}

void Site::StartPlatform() {
  std::vector<std::string> arguments = {"--listen",
                                        http::FormatAddress(this->platform)};
  arguments.insert(arguments.end(), this->options.platform_arguments.begin(),
                   this->options.platform_arguments.end());
  this->platform_process = std::make_unique<Process>(
      "platform_standin", arguments, this->LogPath("platform"));
  CHECK_TEXT(
      WaitUntil(In(10000),
                [this] {
                  return !GetJson(this->platform, "/control/calls").is_null();
                }),
      "platform stand-in does not answer");
}

void Site::StartProxy(StandinProcess* standin) {
  if (standin->proxy_control.port == 0)
    return;
  standin->proxy = std::make_unique<Process>(
      "fault_proxy",
      std::vector<std::string>{
          "--listen", http::FormatAddress(standin->address), "--target",
          http::FormatAddress(standin->direct), "--control",
          http::FormatAddress(standin->proxy_control)},
      this->LogPath("proxy-" + standin->id));
}

void Site::StartEngine(std::size_t index) {
  StandinProcess& engine = this->engines[index];
  const EngineOptions& engine_options = this->options.engines[index];
  std::vector<std::string> arguments = {
      "--listen",
      http::FormatAddress(engine.direct),
      "--id",
      engine.id,
      "--memory-mb",
      std::to_string(engine_options.memory_mb),
      "--slots",
      std::to_string(engine_options.slots),
      "--load-ms",
      std::to_string(engine_options.load_ms),
      "--first-token-ms",
      std::to_string(engine_options.first_token_ms),
      "--token-ms",
      std::to_string(engine_options.token_ms)};
  if (engine_options.checks_fencing)
    arguments.push_back("--checks-fencing");
  arguments.insert(arguments.end(), this->options.engine_arguments.begin(),
                   this->options.engine_arguments.end());
  engine.process = std::make_unique<Process>("engine_standin", arguments,
                                             this->LogPath(engine.id));
}

void Site::StartService(std::size_t index) {
  StandinProcess& service = this->services[index];
  service.process = std::make_unique<Process>(
      "service_standin",
      std::vector<std::string>{"--listen", http::FormatAddress(service.direct)},
      this->LogPath(service.id));
}

void Site::StartStandins() {
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    this->StartEngine(i);
    this->StartProxy(&this->engines[i]);
  }
  for (std::size_t i = 0; i < this->services.size(); ++i) {
    this->StartService(i);
    this->StartProxy(&this->services[i]);
  }
  for (const auto* group : {&this->engines, &this->services}) {
    for (const StandinProcess& standin : *group) {
      const auto answers = [&standin] {
        return !GetJson(standin.address, "/control/stats").is_null();
      };
      CHECK_TEXT(WaitUntil(In(10000), answers), standin.id.c_str());
    }
  }
}

void Site::StartDaemon(std::size_t index) {
  DaemonProcess& daemon = this->daemons[index];
  daemon.process = std::make_unique<Process>(
      "coltsfootvane",
      std::vector<std::string>{"serve", "--settings", daemon.settings_path},
      this->LogPath(daemon.id));
}

Output Site::Apply(const std::vector<std::string>& extra) {
  std::vector<std::string> arguments = {
      "apply", this->folder + "/configuration", "--platform",
      http::FormatAddress(this->platform)};
  arguments.insert(arguments.end(), extra.begin(), extra.end());
  return RunProgram("coltsfootvane", arguments);
}

bool Site::WaitReady(std::size_t daemon, int timeout_ms) {
  return WaitUntil(In(timeout_ms), [this, daemon] {
    return !GetJson(this->daemons[daemon].admin, "/health").is_null();
  });
}

bool Site::WaitServing(int timeout_ms) {
  std::vector<std::string> names;
  for (const ModelOptions& model : this->options.models)
    names.push_back(model.name);
  for (const AdapterOptions& adapter : this->options.adapters)
    names.push_back(adapter.name);
  const TimePoint deadline = In(timeout_ms);
  for (DaemonProcess& daemon : this->daemons) {
    if (!daemon.process || !daemon.process->IsRunning())
      continue;
    for (const std::string& name : names) {
      http::Request request = ChatRequest(name, "probe", 1, false);
      request.headers.push_back(InteractiveKey());
      const auto answered = [&] {
        const Result<http::Response> response = Send(daemon.entry, request);
        return response && response.assume_value().status == 200;
      };
      if (!WaitUntil(deadline, answered))
        return false;
    }
  }
  return true;
}

void Site::StartAll() {
  this->StartPlatform();
  this->StartStandins();
  const Output applied = this->Apply();
  CHECK_TEXT(applied.exit_code == 0, applied.text.c_str());
  for (std::size_t i = 0; i < this->daemons.size(); ++i)
    this->StartDaemon(i);
  for (std::size_t i = 0; i < this->daemons.size(); ++i)
    CHECK_TEXT(this->WaitReady(i), this->daemons[i].id.c_str());
  CHECK_TEXT(this->WaitServing(), "not every model is answered");
}

long Site::ConfigurationVersion(std::size_t daemon) {
  const nlohmann::json page = GetJson(this->daemons[daemon].admin, "/config");
  return page.is_object() ? page.value("version", -1L) : -1L;
}

long Site::EngineStat(const std::string& name) {
  long sum = 0;
  for (const StandinProcess& engine : this->engines) {
    const nlohmann::json stats = GetJson(engine.direct, "/control/stats");
    if (stats.is_object())
      sum += stats.value(name, 0L);
  }
  return sum;
}

nlohmann::json Site::SumCounts(const std::vector<StandinProcess>& standins,
                               const std::string& name) {
  nlohmann::json sum = nlohmann::json::object();
  for (const StandinProcess& standin : standins) {
    const nlohmann::json stats = GetJson(standin.direct, "/control/stats");
    if (!stats.is_object())
      continue;
    for (const auto& [key, count] : stats[name].items())
      sum[key] = sum.value(key, 0L) + count.get<long>();
  }
  return sum;
}

nlohmann::json Site::ServiceEffects() {
  return SumCounts(this->services, "effects");
}

}  // namespace coltsfootvane::testing
