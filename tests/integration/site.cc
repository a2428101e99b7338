#include "site.h"

#include <algorithm>
#include <filesystem>
#include <fstream>

#include "base/digest.h"
#include "http_calls.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::testing {
namespace {

constexpr char kDefaultClasses[] = R"(classes:
  interactive:
    value: 10
    minimum_share: 0.5
    first_token_ms: 600
    token_gap_ms: 54
    completion_ms: 20000
    queue_length: 256
  lookup:
    value: 3
    minimum_share: 0.2
    first_token_ms: 2000
    token_gap_ms: 100
    completion_ms: 30000
    queue_length: 256
  overnight:
    value: 1
    minimum_share: 0.1
    first_token_ms: 60000
    token_gap_ms: 1000
    completion_ms: 120000
    queue_length: 1024
)";

constexpr char kTraffic[] = R"(routes:
  - path_prefix: /v1/
    kind: engine
    priority: interactive
  - path_prefix: /booking/
    kind: service
    service: booking
    priority: interactive
    irreversible:
      - method: POST
        path_prefix: /booking/bookings
callers:
  - name: counter
    api_key: key-counter
    priority: interactive
  - name: ledger
    api_key: key-ledger
    priority: lookup
  - name: night
    api_key: key-night
    priority: overnight
)";

}  // namespace

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

void Site::WriteFile(const std::string& name, const std::string& text) {
  std::ofstream file(this->folder + "/" + name, std::ios::trunc);
  file << text;
}

std::string Site::EndpointsYaml() const {
  std::string text = "endpoints:\n";
  for (std::size_t i = 0; i < this->engines.size(); ++i) {
    const EngineOptions& engine = this->options.engines[i];
    text +=
        "  - id: " + this->engines[i].id + "\n    kind: engine\n" +
        "    data_centre: " + engine.data_centre +
        "\n    address: " + http::FormatAddress(this->engines[i].address) +
        "\n    memory_mb: " + std::to_string(engine.memory_mb) +
        "\n    checks_fencing: " + (engine.checks_fencing ? "true" : "false") +
        "\n    slots: " + std::to_string(engine.slots) + "\n";
  }
  for (const StandinProcess& service : this->services) {
    text += "  - id: " + service.id + "\n    kind: service\n" +
            "    data_centre: " + this->options.data_centres.front() +
            "\n    address: " + http::FormatAddress(service.address) +
            "\n    service: booking\n    slots: 16\n";
  }
  return text;
}

void Site::WriteConfiguration() {
  std::string fleet = "data_centres:\n";
  for (const std::string& name : this->options.data_centres)
    fleet += "  - name: " + name + "\n    region: r1\n";
  fleet += this->EndpointsYaml();
  fleet += "weight_store:\n  loads_per_s: " +
           std::to_string(this->options.loads_per_s) +
           "\n  loads_at_once: 6\n  adapter_load_ms: 10\n"
           "  adapter_loads_in_flight: 48\n";
  fleet += "survival_goal: " + this->options.survival_goal + "\n";
  this->WriteFile("configuration/fleet.yaml", fleet);
  std::string models = "models:\n";
  for (const ModelOptions& model : this->options.models) {
    models += "  - name: " + model.name + "\n    version: \"" + model.version +
              "\"\n    memory_mb: " + std::to_string(model.memory_mb) +
              "\n    min_copies: " + std::to_string(model.min_copies) + "\n";
  }
  if (!this->options.adapters.empty())
    models += "adapters:\n";
  for (const AdapterOptions& adapter : this->options.adapters) {
    models += "  - name: " + adapter.name + "\n    model: " + adapter.model +
              "\n    version: \"1\"\n    memory_mb: " +
              std::to_string(adapter.memory_mb) + "\n";
  }
  this->WriteFile("configuration/models.yaml", models);
  const std::string classes =
      this->options.classes.empty() ? kDefaultClasses : this->options.classes;
  this->WriteFile("configuration/traffic.yaml", classes + kTraffic);
}

void Site::WriteSettings(const DaemonProcess& daemon, std::size_t index) {
  const std::vector<std::string>& centres = this->options.data_centres;
  std::string text =
      "daemon_id: " + daemon.id +
      "\ndata_centre: " + centres[index % centres.size()] +
      "\nregion: r1\nentry:\n  listen: " + http::FormatAddress(daemon.entry) +
      "\n  threads: " + std::to_string(this->options.entry_threads) +
      "\n  refusal_threads: 16\nadmin:\n  listen: " +
      http::FormatAddress(daemon.admin) +
      "\npeer:\n  listen: " + http::FormatAddress(daemon.peer) +
      "\n  first_peers:\n";
  for (const DaemonProcess& other : this->daemons)
    text += "    - " + http::FormatAddress(other.peer) + "\n";
  // With a proxy of its own, a daemon reaches the platform through it.
  const http::Address platform_address = daemon.platform_proxy_control.port == 0
                                             ? this->platform
                                             : this->NewAddress();
  text += "platform:\n  address: " + http::FormatAddress(platform_address) +
          "\n  call_timeout_ms: 1000\n  calls_per_s: 200\nshutdown:\n"
          "  balancer_grace_ms: " +
          std::to_string(this->options.balancer_grace_ms) +
          "\n  stop_timeout_ms: 30000\nrecords:\n  keep_seconds: " +
          std::to_string(this->options.records_keep_seconds) +
          "\ndispatch:\n  mode: " + this->options.dispatch_mode + "\n";
  this->WriteFile(daemon.id + ".yaml", text);
  if (daemon.platform_proxy_control.port == 0)
    return;
  this->daemons[index].platform_proxy = std::make_unique<Process>(
      "fault_proxy",
      std::vector<std::string>{
          "--listen", http::FormatAddress(platform_address), "--target",
          http::FormatAddress(this->platform), "--control",
          http::FormatAddress(daemon.platform_proxy_control)},
      this->LogPath("platform-proxy"));
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
