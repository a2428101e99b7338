#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_PLATFORM_SITE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_PLATFORM_SITE_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

#include "base/result.h"
#include "gateway_process.h"
#include "net/http_client.h"
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

  /// Calls the daemon as a caller does.
  Result<net::WholeResponse> Call(const std::string& path,
                                  const net::Fields& fields = {});
  bool RunUntil(const std::function<bool()>& condition, int milliseconds) {
    return this->daemon.RunUntil(condition, milliseconds);
  }

  boost::asio::io_context io;
  std::string host;
  StoreStandin store;
  LoopbackServer engine;
  LoopbackServer service;
  GatewayProcess daemon;
  std::set<std::string> engine_models;  ///< And adapters, as `model/adapter`.
  std::int64_t engine_orders = 0;       ///< Accepted.
  std::int64_t last_fencing_token = 0;  ///< Of the order accepted last.
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

  int calls = 0;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_PLATFORM_SITE_H_
