#ifndef COLTSFOOTVANE_GATEWAY_ENDPOINT_CONNECTIONS_H_
#define COLTSFOOTVANE_GATEWAY_ENDPOINT_CONNECTIONS_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "net/message.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::gateway {

/// Kept connections to endpoints. Each serves one request at a time.
class EndpointConnections {
 public:
  explicit EndpointConnections(boost::asio::io_context* io_context)
      : io(io_context) {}

  /// Returns a kept connection to the endpoint, or nullptr. With `careful`
  /// only one that was used a moment ago, since a request on a connection that
  /// the peer has closed meanwhile has an unknown outcome.
  std::shared_ptr<net::TcpStream> Take(const std::string& endpoint_id,
                                       bool careful);
  void Open(const net::tcp::endpoint& address, net::ConnectHandler handler);

  /// Keeps a connection whose last answer was complete, as long as the answer
  /// `head` allows.
  void Keep(const std::string& endpoint_id,
            std::shared_ptr<net::TcpStream> stream,
            const net::ResponseHead& head);
  void DropEndpoint(const std::string& endpoint_id);
  /// Closes what was idle for too long.
  void DropExpired();

 private:
  struct Kept {
    std::shared_ptr<net::TcpStream> stream;
    TimePoint careful_until;
    TimePoint usable_until;
  };

  boost::asio::io_context* io;
  std::map<std::string, std::vector<Kept>, std::less<>> kept;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_ENDPOINT_CONNECTIONS_H_
