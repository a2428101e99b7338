#include <fstream>
#include <string>

#include "site.h"

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
            "\n    service: booking\n    slots: 16\n" +
            "    refuses_when_leaving: " +
            (this->options.services_refuse_when_leaving ? "true" : "false") +
            "\n";
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
  if (this->options.memory_mb > 0)
    text += "limits:\n  memory_mb: " + std::to_string(this->options.memory_mb) +
            "\n  max_fds: " + std::to_string(this->options.max_fds) + "\n";
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

}  // namespace coltsfootvane::testing
