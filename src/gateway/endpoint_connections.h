#ifndef COLTSFOOTVANE_GATEWAY_ENDPOINT_CONNECTIONS_H_
#define COLTSFOOTVANE_GATEWAY_ENDPOINT_CONNECTIONS_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/message.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::gateway {

/// Pool of idle connections to endpoints. A connection serves one request at a
/// time.
class EndpointConnections {
 public:
  explicit EndpointConnections(boost::asio::io_context* io_context)
      : io(io_context) {}

  /// Returns an idle connection to the endpoint, or nullptr. With
  /// `require_fresh` it returns only one that was used recently: a request that
  /// is written to a connection that the peer has just closed has an unknown
  /// outcome.
  std::shared_ptr<net::TcpStream> Take(const std::string& endpoint_id,
                                       bool require_fresh);
  void Open(const net::tcp::endpoint& address, net::ConnectHandler handler);

  /// Adds a connection whose last answer was complete to the pool. The
  /// `Keep-Alive` field of the answer's `head` limits its idle time.
  void Keep(const std::string& endpoint_id,
            std::shared_ptr<net::TcpStream> stream,
            const net::ResponseHead& head);
  void DropEndpoint(const std::string& endpoint_id);
  /// Closes connections that have been idle for too long.
  void DropExpired();
  /// Closes all idle connections and returns how many they were.
  std::size_t DropIdle();

 private:
  struct IdleConnection {
    std::shared_ptr<net::TcpStream> stream;
    TimePoint fresh_until;
    TimePoint usable_until;
  };

  boost::asio::io_context* io;
  std::map<std::string, std::vector<IdleConnection>, std::less<>>
      idle_connections;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ENDPOINT_CONNECTIONS_H_
