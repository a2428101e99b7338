#include "gateway/listener.h"

#include <utility>

#include "intake/policy.h"
#include "net/bind_error.h"

namespace coltsfootvane::gateway {
namespace {

using BoostError = boost::system::error_code;

constexpr int kBacklog = 1024;
/// Delay after a failed accept, such as for lack of file descriptors.
constexpr Milliseconds kAcceptRetryDelay{50};
/// A caller that does not acknowledge data for this long counts as
/// disconnected.
constexpr Milliseconds kCallerFailureDetection{6000};

}  // namespace

Listener::Listener(boost::asio::io_context* io_context)
    : acceptor(*io_context), retry_timer(*io_context) {}

Result<bool> Listener::Open(const net::tcp::endpoint& address,
                            Accepted handler) {
  this->on_accepted = std::move(handler);
  BoostError ec;
  this->acceptor.open(address.protocol(), ec);
  if (!ec)
    this->acceptor.set_option(net::tcp::acceptor::reuse_address(true), ec);
  // Accepted connections inherit it.
  if (!ec)
    net::LimitReceiveBuffer(this->acceptor.native_handle(),
                            intake::kReceiveBufferBytes);
  if (!ec)
    this->acceptor.bind(address, ec);
  if (!ec)
    this->acceptor.listen(kBacklog, ec);
  if (ec) {
    this->Close();
    return net::BindError(address, ec);
  }
  this->AcceptNext();
  return true;
}

void Listener::Close() {
  BoostError ignored;
  this->retry_timer.cancel();
  this->acceptor.close(ignored);
}

std::size_t Listener::AcceptPending() {
  BoostError ec;
  this->acceptor.non_blocking(true, ec);
  std::size_t count = 0;
  while (!ec) {
    net::tcp::socket socket(this->acceptor.get_executor());
    this->acceptor.accept(socket, ec);
    if (ec)
      break;
    ++count;
    net::SetFailureDetection(&socket, kCallerFailureDetection);
    this->on_accepted(std::make_shared<net::TcpStream>(std::move(socket)));
  }
  return count;
}

void Listener::AcceptNext() {
  this->acceptor.async_accept(
      [this](const BoostError& ec, net::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
          return;
        if (ec) {
          this->RetryAcceptLater();
          return;
        }
        net::SetFailureDetection(&socket, kCallerFailureDetection);
        this->on_accepted(std::make_shared<net::TcpStream>(std::move(socket)));
        this->AcceptNext();
      });
}

void Listener::RetryAcceptLater() {
  this->retry_timer.expires_after(kAcceptRetryDelay);
  this->retry_timer.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->AcceptNext();
  });
}

}  // namespace coltsfootvane::gateway
