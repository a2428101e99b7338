#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_PLATFORM_SITE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_PLATFORM_SITE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "base/result.h"
#include "net/http_client.h"
#include "process.h"
#include "support/loopback_server.h"
#include "support/store_standin.h"

namespace coltsfootvane::testing {

/// A small deployment on the users' platform: the real daemon as a process, and
/// stand-ins of the store, an engine and a service on the test's event loop.
class PlatformSite {
 public:
  PlatformSite();

  /// Writes a configuration with one more route for each version.
  void PutConfig(int version);
  /// Announces the endpoints in this state.
  void Announce(const char* state = "ready");
  void Start();
  /// Writes the settings file; the daemon may run already.
  void WriteSettings(int stop_timeout_s);
  bool AwaitReady();

  /// Calls the daemon as a caller does.
  Result<net::WholeResponse> Call(const std::string& path,
                                  const net::Fields& fields = {});
  /// Returns the status of the health check, or 0 without an answer.
  int Ready();
  /// Returns the daemon's metrics, or an empty string without an answer.
  std::string Metrics();
  /// Returns what the daemon has logged so far.
  std::string Log() const;
  bool RunUntil(const std::function<bool()>& condition, int milliseconds);

  boost::asio::io_context io;
  std::string host;
  StoreStandin store;
  LoopbackServer engine;
  LoopbackServer service;
  net::HttpClient client;
  std::unique_ptr<Process> daemon;
  std::set<std::string> engine_models;  ///< And adapters, as `model/adapter`.
  std::int64_t engine_orders = 0;       ///< Accepted.
  int engine_requests = 0;
  int service_requests = 0;
  Milliseconds service_time{0};

 private:
  void OnEngineRequest(const ReceivedRequest& request,
                       const std::shared_ptr<net::TcpStream>& stream);
  void OnOrder(const nlohmann::json& order,
               const std::shared_ptr<net::TcpStream>& stream);
  void OnServiceRequest(const ReceivedRequest& request,
                        const std::shared_ptr<net::TcpStream>& stream);
  nlohmann::json EngineModels() const;
  std::optional<Result<net::WholeResponse>> Get(const std::string& path);
  std::optional<Result<net::WholeResponse>> CallAt(
      const net::tcp::endpoint& address,
      net::RequestHead head);

  net::tcp::endpoint callers;
  net::tcp::endpoint health;
  int peer_port = 0;
  std::string settings_path;
  std::string log_path;
  int calls = 0;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_PLATFORM_SITE_H_
