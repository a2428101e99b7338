#ifndef COLTSFOOTVANE_GATEWAY_HEALTH_LISTENER_H_
#define COLTSFOOTVANE_GATEWAY_HEALTH_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "gateway/listener.h"
#include "net/message_parser.h"

namespace coltsfootvane::gateway {

struct HealthAnswer {
  int status = 404;
  std::string body;
};

/// Serves readiness checks and metrics over HTTP on an address of its own.
class HealthListener {
 public:
  using Answer = std::function<HealthAnswer(std::string_view path)>;

  HealthListener(boost::asio::io_context* io, Answer answer);

  /// Errors: the address cannot be bound.
  Result<bool> Open(const net::tcp::endpoint& address);
  void Close() { this->listener.Close(); }
  bool IsOpen() const { return this->listener.IsOpen(); }

 private:
  void Serve(const std::shared_ptr<net::TcpStream>& stream);

  Listener listener;
  Answer answer;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_HEALTH_LISTENER_H_
