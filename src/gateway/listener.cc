#include "gateway/listener.h"

#include <utility>

namespace coltsfootvane::gateway {
namespace {

using BoostError = boost::system::error_code;

constexpr int kBacklog = 1024;
/// After a failed accept, such as without free descriptors.
constexpr Milliseconds kAcceptPause{50};
/// A caller that has been silent on unacknowledged data this long has gone.
constexpr Milliseconds kCallerFailureDetection{6000};

}  // namespace

Listener::Listener(boost::asio::io_context* io_context)
    : acceptor(*io_context), pause(*io_context) {}

Result<bool> Listener::Open(const net::tcp::endpoint& address,
                            Accepted handler) {
  this->accepted = std::move(handler);
  BoostError ec;
  this->acceptor.open(address.protocol(), ec);
  if (!ec)
    this->acceptor.set_option(net::tcp::acceptor::reuse_address(true), ec);
  if (!ec)
    this->acceptor.bind(address, ec);
  if (!ec)
    this->acceptor.listen(kBacklog, ec);
  if (ec)
    return Error{ErrorCode::kInvalid, ec.message()};
  this->AcceptNext();
  return true;
}

void Listener::Close() {
  BoostError ignored;
  this->pause.cancel();
  this->acceptor.close(ignored);
}

void Listener::AcceptNext() {
  this->acceptor.async_accept(
      [this](const BoostError& ec, net::tcp::socket socket) {
        if (ec == boost::asio::error::operation_aborted)
          return;
        if (ec) {
          this->PauseAccepting();
          return;
        }
        net::SetFailureDetection(&socket, kCallerFailureDetection);
        this->accepted(std::make_shared<net::TcpStream>(std::move(socket)));
        this->AcceptNext();
      });
}

void Listener::PauseAccepting() {
  this->pause.expires_after(kAcceptPause);
  this->pause.async_wait([this](const BoostError& ec) {
    if (!ec)
      this->AcceptNext();
  });
}

}  // namespace coltsfootvane::gateway
