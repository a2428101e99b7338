#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "net/tcp_stream.h"
#include "net/timer.h"

namespace coltsfootvane::net {
namespace {

using BoostError = boost::system::error_code;

/// Of connections to endpoints. The kernel doubles it.
constexpr int kReceiveBufferBytes = 64 * 1024;
/// Keep-alive probes that stay unanswered before a silent connection fails. One
/// may be lost or late although the peer is sound.
constexpr int kLostProbes = 2;

void SetOption(int descriptor, int level, int name, int value) {
  // A kernel without the option detects failures later, which is no error.
  (void)setsockopt(descriptor, level, name, &value, sizeof(value));
}

struct PendingConnect {
  PendingConnect(boost::asio::io_context* io, ConnectHandler connect_handler)
      : socket(*io), timer(io), handler(std::move(connect_handler)) {}

  void Finish(bool connected) {
    if (!this->handler)
      return;
    this->timer.Cancel();
    const ConnectHandler done = std::exchange(this->handler, nullptr);
    if (connected) {
      done(std::make_shared<TcpStream>(std::move(this->socket)));
      return;
    }
    BoostError ignored;
    this->socket.close(ignored);
    done(nullptr);
  }

  tcp::socket socket;
  Timer timer;
  ConnectHandler handler;
};

}  // namespace

void LimitReceiveBuffer(int descriptor, int bytes) {
  SetOption(descriptor, SOL_SOCKET, SO_RCVBUF, bytes);
}

void SetFailureDetection(tcp::socket* socket, Milliseconds limit) {
  const int descriptor = socket->native_handle();
  // With a user timeout the kernel does not count probes: the connection fails
  // at the first probe that is due after the timeout if the one before it has
  // no answer. So all probes but the last must be due before the timeout.
  constexpr std::chrono::seconds kShortest{1};
  const auto interval = std::chrono::duration_cast<std::chrono::seconds>(
      limit / (kLostProbes + 1));
  const auto seconds = static_cast<int>(std::max(kShortest, interval).count());
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kLostProbes);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(limit.count()));
}

void Connect(boost::asio::io_context* io,
             const tcp::endpoint& address,
             Milliseconds timeout,
             Milliseconds failure_detection,
             ConnectHandler handler) {
  auto pending = std::make_shared<PendingConnect>(io, std::move(handler));
  pending->timer.Set(timeout, [pending] { pending->Finish(false); });
  BoostError ignored;
  pending->socket.open(address.protocol(), ignored);
  if (!ignored)
    LimitReceiveBuffer(pending->socket.native_handle(), kReceiveBufferBytes);
  pending->socket.async_connect(
      address, [pending, failure_detection](const BoostError& ec) {
        if (!ec && pending->handler)
          SetFailureDetection(&pending->socket, failure_detection);
        pending->Finish(!ec);
      });
}

void CheckListening(boost::asio::io_context* io,
                    const tcp::endpoint& address,
                    Milliseconds timeout,
                    std::function<void(ListenState)> done) {
  struct PendingCheck {
    explicit PendingCheck(boost::asio::io_context* owner)
        : socket(*owner), timer(owner) {}
    tcp::socket socket;
    Timer timer;
  };
  auto pending = std::make_shared<PendingCheck>(io);
  pending->timer.Set(timeout, [pending] {
    BoostError ignored;
    pending->socket.close(ignored);
  });
  pending->socket.async_connect(
      address, [pending, done = std::move(done)](const BoostError& ec) {
        pending->timer.Cancel();
        if (!ec)
          done(ListenState::kListening);
        else if (ec == boost::asio::error::connection_refused)
          done(ListenState::kRefused);
        else
          done(ListenState::kUnreachable);
      });
}

}  // namespace coltsfootvane::net
