#ifndef COLTSFOOTVANE_STANDINS_FAULT_PROXY_PROXY_H_
#define COLTSFOOTVANE_STANDINS_FAULT_PROXY_PROXY_H_

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>

#include "http/message.h"
#include "standins/fault_proxy/faults.h"
#include "standins/fault_proxy/forwarder.h"
#include "standins/fault_proxy/sockets.h"

namespace coltsfootvane::standin {

/// Forwards TCP connections, one thread for each, with faults.
class Proxy {
 public:
  Proxy(const http::Address& listen, const http::Address& target);
  ~Proxy();

  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  /// Returns false if the address cannot be bound.
  bool Start();

  /// In force for new and open connections when it returns. Returns false if
  /// the address cannot be bound again.
  bool SetFaults(const ProxyFaults& next);

  std::string FormatStats() const;

 private:
  void Accept();
  Socket AcceptOne();
  void StartForwarding(Socket client);
  ProxyFaults CurrentFaults() const;
  std::optional<HoldRule> TakeHold(std::string_view request);
  /// Returns whether the response of a new connection is to be dropped.
  bool TakeDroppedResponse();

  http::Address listen;
  http::Address target;
  mutable std::mutex mutex;
  ProxyFaults faults;
  // Requests by the match of their rule, so far.
  std::map<std::string, int> taken;  ///< At least the first bytes received.
  std::map<std::string, int> held;   ///< Received as a whole.
  Socket listener;
  std::thread accepting;
  std::atomic<bool> stopping{false};
  std::atomic<int> open{0};
  ProxyCounters counters;
};

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_FAULT_PROXY_PROXY_H_
