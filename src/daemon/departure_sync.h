#ifndef COLTSFOOTVANE_DAEMON_DEPARTURE_SYNC_H_
#define COLTSFOOTVANE_DAEMON_DEPARTURE_SYNC_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "daemon/transfer_budget.h"
#include "fleet/fleet.h"
#include "gateway/health_listener.h"
#include "log/decision_log.h"
#include "net/http_client.h"

namespace coltsfootvane::daemon {

/// Access to the departures that the view remembers.
struct DepartureTarget {
  std::function<fleet::gen::Departures()> remembered;
  std::function<void(const fleet::gen::Departures&)> learn;
};

/// Fetches from another daemon, once after the start, which endpoints have left
/// before. The store may come back from a copy in which they are ready, and
/// does not show a daemon that has started since that they had left.
class DepartureSync {
 public:
  DepartureSync(fleet::Fleet* fleet,
                net::HttpClient* client,
                unsigned short peer_port,
                DecisionLog* log,
                DepartureTarget target);

  /// Asks another daemon if that is due.
  void Tick(TimePoint now);
  /// Answers another daemon that has started, with status 503 as long as this
  /// one does not know itself.
  gateway::HealthAnswer Answer(std::string_view path);
  /// Returns whether this daemon need not ask any more.
  bool IsDone() const { return this->is_done; }

 private:
  void OnFetched(std::uint32_t from, const std::string* body);

  fleet::Fleet* fleet;
  net::HttpClient* client;
  unsigned short peer_port;
  DecisionLog* log;
  DepartureTarget target;
  TransferBudget transfers;
  bool is_done = false;
  bool is_asking = false;
  std::uint32_t asked = 0;  ///< The last daemon that was asked.
  int asks_left;
  TimePoint next_at;
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_DEPARTURE_SYNC_H_
