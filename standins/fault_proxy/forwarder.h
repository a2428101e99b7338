#ifndef COLTSFOOTVANE_STANDINS_FAULT_PROXY_FORWARDER_H_
#define COLTSFOOTVANE_STANDINS_FAULT_PROXY_FORWARDER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "http/message.h"
#include "standins/fault_proxy/faults.h"
#include "standins/fault_proxy/sockets.h"

namespace coltsfootvane::standin {

/// Counts over all connections.
struct ProxyCounters {
  std::atomic<std::int64_t> accepted{0};
  std::atomic<std::int64_t> cut{0};
  std::atomic<std::int64_t> dropped_responses{0};
  std::atomic<std::int64_t> request_bytes{0};   ///< Forwarded.
  std::atomic<std::int64_t> response_bytes{0};  ///< Forwarded.
};

/// What all connections share.
struct ProxyHooks {
  std::function<ProxyFaults()> current_faults;
  /// Returns the rule that holds a request with these first bytes.
  std::function<std::optional<HoldRule>(std::string_view)> take_hold;
  /// The whole request has been received.
  std::function<void(const HoldRule&)> on_held;
};

/// Forwards one connection. The target is connected when the client has sent
/// its first bytes.
class Forwarder {
 public:
  Forwarder(Socket client,
            const http::Address& target,
            bool drops_response,
            ProxyHooks hooks,
            ProxyCounters* counters);

  /// Returns when either side has closed, or after `stopping` was set.
  void Run(const std::atomic<bool>& stopping);

 private:
  // Each returns false at the end of the connection.
  bool Step(const std::atomic<bool>& stopping);
  bool WaitInBlackhole() const;
  bool ForwardRequest(const ProxyFaults& faults,
                      const std::atomic<bool>& stopping);
  bool ForwardResponse(const ProxyFaults& faults);
  bool Hold(const HoldRule& rule,
            std::string_view first,
            const std::atomic<bool>& stopping);

  Socket client;
  Socket server;
  http::Address target;
  bool drops_response;
  ProxyHooks hooks;
  ProxyCounters* counters;
  bool client_ended = false;
  std::int64_t answered_bytes = 0;
  TimePoint quiet_deadline = TimePoint::max();
};

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_FAULT_PROXY_FORWARDER_H_
