#ifndef COLTSFOOTVANE_TESTS_SUPPORT_LOOPBACK_SERVER_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_LOOPBACK_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "net/message.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::testing {

/// A request as a stand-in received it.
struct ReceivedRequest {
  net::RequestHead head;
  std::string body;
};

/// A small HTTP server for stand-ins, on the event loop of the test.
class LoopbackServer {
 public:
  /// Answers a request now or later, by Reply() or by writing to the stream.
  using Handler = std::function<void(const ReceivedRequest&,
                                     std::shared_ptr<net::TcpStream>)>;

  LoopbackServer(boost::asio::io_context* io,
                 const std::string& host,
                 Handler handler);

  const net::tcp::endpoint& Address() const { return this->address; }
  /// Returns `IP:PORT`.
  std::string AddressText() const;
  /// Ends as a process does: listens no more and closes all connections.
  void Stop();

 private:
  void Accept();

  net::tcp::endpoint address;
  net::tcp::acceptor acceptor;
  Handler handler;
  std::vector<std::shared_ptr<net::TcpStream>> streams;
};

/// Writes a whole answer.
void Reply(const std::shared_ptr<net::TcpStream>& stream,
           int status,
           const std::string& body,
           const net::Fields& fields = {});

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_LOOPBACK_SERVER_H_
