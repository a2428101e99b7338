#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_GATEWAY_PROCESS_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_GATEWAY_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/result.h"
#include "net/http_client.h"
#include "process.h"

namespace coltsfootvane::testing {

/// How one daemon of several differs from the others.
struct GatewayOptions {
  std::string name = "vm-1";
  int peer_port = 0;  ///< The same for all; 0 for a free one.
  int memory_mb = 512;
  int max_fds = 0;                 ///< `limits.maxFds`; 0 leaves it out.
  std::string more_settings = {};  ///< Further lines of the settings file.
  /// The program to run, relative to the build folder.
  std::string program = "coltsfootvane";
  int metrics_port = 0;  ///< `--metrics-port`; 0 leaves it out.
};

/// The real daemon of the users' platform as a process, with its settings file.
/// The stand-ins that it talks to run on the test's event loop.
class GatewayProcess {
 public:
  /// `host` is a loopback address, `store` the `IP:PORT` of the store.
  GatewayProcess(boost::asio::io_context* io,
                 const std::string& host,
                 std::string store,
                 GatewayOptions options = {});

  /// Starts the process, again if it has run before.
  void Start();
  /// Writes the settings file; the process may run already.
  void WriteSettings(int stop_timeout_s);
  /// Starts the process with the settings file as it is.
  void StartWithOldSettings();
  const std::string& SettingsPath() const { return this->settings_path; }
  const net::tcp::endpoint& Health() const { return this->health; }
  bool AwaitReady();
  bool RunUntil(const std::function<bool()>& condition, int milliseconds);

  /// Calls `address` and waits for the answer.
  std::optional<Result<net::WholeResponse>> CallAt(
      const net::tcp::endpoint& address,
      net::RequestHead head);
  /// Returns the status of the health check, or 0 without an answer.
  int Ready();
  /// Returns the daemon's metrics, or an empty string without an answer.
  std::string Metrics();
  /// Returns what the daemon has logged since its last start.
  std::string Log() const;
  /// Returns the address for callers.
  const net::tcp::endpoint& Callers() const { return this->callers; }

  boost::asio::io_context* io;
  net::HttpClient client;
  std::unique_ptr<Process> process;

 private:
  std::optional<Result<net::WholeResponse>> Get(const std::string& path);

  std::string store;
  GatewayOptions options;
  net::tcp::endpoint callers;
  net::tcp::endpoint health;
  std::string settings_path;
  std::string log_path;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_GATEWAY_PROCESS_H_
