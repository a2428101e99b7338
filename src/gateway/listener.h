#ifndef COLTSFOOTVANE_GATEWAY_LISTENER_H_
#define COLTSFOOTVANE_GATEWAY_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "base/result.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::gateway {

/// Accepts connections on one address.
class Listener {
 public:
  using Accepted = std::function<void(std::shared_ptr<net::TcpStream>)>;

  explicit Listener(boost::asio::io_context* io);

  /// Errors: the address cannot be bound.
  Result<bool> Open(const net::tcp::endpoint& address, Accepted on_accepted);
  void Close();
  bool IsOpen() const { return this->acceptor.is_open(); }
  /// Accepts the connections that callers have already made, without waiting.
  /// Returns how many there were.
  std::size_t AcceptPending();

 private:
  void AcceptNext();
  void RetryAcceptLater();

  net::tcp::acceptor acceptor;
  boost::asio::steady_timer retry_timer;
  Accepted on_accepted;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_LISTENER_H_
