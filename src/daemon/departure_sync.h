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

/// Fetches from other daemons which endpoints have left before: from one after
/// the start, and from two each time the store has come back. The copy may call
/// such endpoints ready, and nothing in it shows that they had left to a daemon
/// that has started since, was cut off or stood still.
class DepartureSync {
 public:
  DepartureSync(fleet::Fleet* fleet,
                net::HttpClient* client,
                unsigned short peer_port,
                DecisionLog* log,
                DepartureTarget target);

  /// Asks another daemon if that is due.
  void Tick(TimePoint now);
  /// The store has come back. This daemon may lack what was told before, and
  /// need not know that.
  void AskAgain(TimePoint now);
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
  bool has_learned = false;  ///< What was known at the start.
  bool is_done = false;
  bool is_asking = false;
  std::uint32_t asked = 0;  ///< The last daemon that was asked.
  int asks_left;
  int answers_wanted = 1;
  TimePoint next_at;
};

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_DEPARTURE_SYNC_H_
