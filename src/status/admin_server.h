#ifndef COLTSFOOTVANE_STATUS_ADMIN_SERVER_H_
#define COLTSFOOTVANE_STATUS_ADMIN_SERVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include "base/result.h"
#include "distribution/in_force.h"
#include "http/server.h"
#include "metrics/metrics.h"

namespace coltsfootvane {

enum class HealthState { kStarting, kReady, kLeaving };

struct AdminOptions {
  http::Address listen;
  /// With 4 threads, 200 senders of single bytes kept every health check
  /// waiting for 2 s; with 32 none.
  unsigned threads = 32;
  Metrics* metrics = nullptr;
  const InForceHolder* in_force = nullptr;
  /// Returns the JSON of /status. May be empty.
  std::function<std::string()> status;
};

/// Answers health checks, metrics and status on a listener of its own, so that
/// these are answered while the entry listener is full.
class AdminServer {
 public:
  explicit AdminServer(AdminOptions options);
  ~AdminServer();

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /// Errors: kInvalid if the address cannot be bound.
  Result<bool> Start();

  /// The state at first is kStarting.
  void SetHealth(HealthState state) { this->health.store(state); }

  void Stop();

 private:
  void Handle(const http::Request& request, http::ReplyStream& reply) const;
  http::Response Respond(const http::Request& request) const;
  http::Response Health() const;
  http::Response Config() const;

  AdminOptions options;
  std::atomic<HealthState> health{HealthState::kStarting};
  std::unique_ptr<http::Server> server;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_STATUS_ADMIN_SERVER_H_
