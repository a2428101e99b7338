#ifndef COLTSFOOTVANE_STANDINS_FAULT_PROXY_FORWARDER_H_
#define COLTSFOOTVANE_STANDINS_FAULT_PROXY_FORWARDER_H_

#include <atomic>
#include <cstdint>
#include <functional>

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

/// Forwards one connection. The target is connected when the client has sent
/// its first bytes.
class Forwarder {
 public:
  Forwarder(Socket client,
            const http::Address& target,
            bool drops_response,
            std::function<ProxyFaults()> current_faults,
            ProxyCounters* counters);

  /// Returns when either side has closed, or after `stopping` was set.
  void Run(const std::atomic<bool>& stopping);

 private:
  // Each returns false at the end of the connection.
  bool Step();
  bool WaitInBlackhole() const;
  bool ForwardRequest(const ProxyFaults& faults);
  bool ForwardResponse(const ProxyFaults& faults);

  Socket client;
  Socket server;
  http::Address target;
  bool drops_response;
  std::function<ProxyFaults()> current_faults;
  ProxyCounters* counters;
  bool client_ended = false;
  std::int64_t answered_bytes = 0;
  TimePoint quiet_deadline = TimePoint::max();
};

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_FAULT_PROXY_FORWARDER_H_
