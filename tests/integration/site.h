#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_SITE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_SITE_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "http/message.h"
#include "process.h"

namespace coltsfootvane::testing {

struct ModelOptions {
  std::string name;
  int memory_mb = 4000;
  int min_copies = 1;
  std::string version = "1";
};

struct AdapterOptions {
  std::string name;
  std::string model;
  int memory_mb = 100;
};

struct EngineOptions {
  std::string data_centre = "dc1";
  int memory_mb = 24000;
  bool checks_fencing = true;
  int slots = 8;
  int load_ms = 100;
  int first_token_ms = 10;
  int token_ms = 5;
};

struct SiteOptions {
  std::vector<std::string> data_centres = {"dc1"};
  std::vector<ModelOptions> models = {{"diagnosis", 4000, 2},
                                      {"spares-lookup", 3000, 1}};
  std::vector<AdapterOptions> adapters = {{"diagnosis-shutters", "diagnosis"}};
  std::vector<EngineOptions> engines = {EngineOptions(), EngineOptions()};
  int services = 2;  ///< Replicas of the service `booking` in the first centre.
  int daemons = 3;   ///< Spread over the data centres in turn.
  /// Puts a fault-injecting proxy before each engine and each service.
  bool proxies = false;
  /// Puts a fault-injecting proxy before the platform, one per daemon.
  bool platform_proxies = false;
  std::string dispatch_mode = "granted";
  int balancer_grace_ms = 200;
  /// The services have `refuses_when_leaving`.
  bool services_refuse_when_leaving = true;
  double loads_per_s = 50;
  /// Text that replaces the default `classes:` part, if not empty.
  std::string classes;
  std::string survival_goal = "vm";
  int entry_threads = 128;
  int records_keep_seconds = 604800;
  int memory_mb = 0;  ///< Setting `limits.memory_mb`; 0 for its default.
  int max_fds = 0;    ///< Setting `limits.max_fds`; 0 for its default.
  std::vector<std::string> engine_arguments;  ///< Added to every engine's.
  std::vector<std::string> platform_arguments;
};

/// A stand-in with its addresses: `address` is what others are told, `direct`
/// the stand-in itself, `control` the proxy's control address (port 0: none).
struct StandinProcess {
  std::string id;
  http::Address address;
  http::Address direct;
  http::Address proxy_control;
  std::unique_ptr<Process> process;
  std::unique_ptr<Process> proxy;
};

struct DaemonProcess {
  std::string id;
  std::string settings_path;
  http::Address entry;
  http::Address admin;
  http::Address peer;
  http::Address platform_proxy_control;
  std::unique_ptr<Process> platform_proxy;
  std::unique_ptr<Process> process;
};

/// A deployment of real processes on loopback, in a folder of its own. All
/// processes are killed when the object goes.
class Site {
 public:
  explicit Site(const SiteOptions& options);
  ~Site();

  Site(const Site&) = delete;
  Site& operator=(const Site&) = delete;

  /// Starts the platform, engines, services and daemons, applies the
  /// configuration, and waits until every model and adapter is ready. Fails
  /// the test otherwise.
  void StartAll();

  void StartPlatform();
  void StartStandins();
  void StartDaemon(std::size_t index);
  /// Also starts an engine again after its end.
  void StartEngine(std::size_t index);

  /// Writes the configuration directory from the options.
  void WriteConfiguration();
  /// Runs `coltsfootvane apply`; extra arguments are appended.
  Output Apply(const std::vector<std::string>& extra = {});

  /// Waits until a daemon's health page says ready.
  bool WaitReady(std::size_t daemon, int timeout_ms = 20000);
  /// Waits until every model and adapter is answered by each live daemon.
  bool WaitServing(int timeout_ms = 30000);
  /// Returns what the daemon's /config says is in force, or -1.
  long ConfigurationVersion(std::size_t daemon);

  /// Sum over the engines of `name` in /control/stats.
  long EngineStat(const std::string& name);
  /// Effects at the service replicas per idempotency key, summed.
  nlohmann::json ServiceEffects();
  /// Sums the map `name` of /control/stats over `standins`.
  static nlohmann::json SumCounts(const std::vector<StandinProcess>& standins,
                                  const std::string& name);

  SiteOptions options;
  std::string host;
  std::string folder;
  http::Address platform;
  std::unique_ptr<Process> platform_process;
  std::vector<StandinProcess> engines;
  std::vector<StandinProcess> services;
  std::vector<DaemonProcess> daemons;

 private:
  /// Prints how daemons ended that are not running, for a failed test.
  void PrintEnded();
  void ChooseAddresses();
  http::Address NewAddress();
  std::string LogPath(const std::string& name);
  void StartService(std::size_t index);
  void StartProxy(StandinProcess* standin);
  void WriteFile(const std::string& name, const std::string& text);
  std::string EndpointsYaml() const;
  void WriteSettings(const DaemonProcess& daemon, std::size_t index);

  int log_count = 0;
  std::set<int> ports;  ///< Given out by NewAddress().
};

/// Authorization headers of the callers in the configuration of a Site.
http::Header InteractiveKey();
http::Header LookupKey();
http::Header OvernightKey();

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_SITE_H_
