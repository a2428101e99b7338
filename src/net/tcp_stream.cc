#include "net/tcp_stream.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

namespace coltsfootvane::net {
namespace {

using BoostError = boost::system::error_code;

constexpr std::size_t kReadBytes = 16UL * 1024;
/// Reads of one stream in a row, so that a fast sender does not keep the loop
/// from the others.
constexpr int kReadsInARow = 4;
constexpr std::chrono::milliseconds kLinger{500};

/// One buffer serves all streams: the loop has one thread, and received bytes
/// are consumed during the call that delivers them.
std::array<char, kReadBytes>& ReadBuffer() {
  static std::array<char, kReadBytes> buffer;
  return buffer;
}

bool MustWait(const BoostError& ec) {
  return ec == boost::asio::error::would_block ||
         ec == boost::asio::error::try_again;
}

void SetOption(int descriptor, int level, int name, int value) {
  // A kernel without the option detects failures later, which is no error.
  (void)setsockopt(descriptor, level, name, &value, sizeof(value));
}

struct PendingConnect {
  PendingConnect(boost::asio::io_context* io, ConnectHandler connect_handler)
      : socket(*io), timer(*io), handler(std::move(connect_handler)) {}

  void Finish(bool connected) {
    if (!this->handler)
      return;
    this->timer.cancel();
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
  boost::asio::steady_timer timer;
  ConnectHandler handler;
};

}  // namespace

TcpStream::TcpStream(tcp::socket connected)
    : socket(std::move(connected)), linger(this->socket.get_executor()) {
  BoostError ignored;
  this->socket.non_blocking(true, ignored);
  this->socket.set_option(tcp::no_delay(true), ignored);
}

void TcpStream::Start(StreamEvents stream_events) {
  this->events = std::make_shared<const StreamEvents>(std::move(stream_events));
  this->WaitForData();
}

void TcpStream::WaitForData() {
  if (this->reading || this->paused || this->ended || !this->socket.is_open())
    return;
  this->reading = true;
  this->socket.async_wait(tcp::socket::wait_read,
                          [self = shared_from_this()](const BoostError& ec) {
                            self->reading = false;
                            self->OnReadable(ec);
                          });
}

void TcpStream::OnReadable(const BoostError& wait_error) {
  if (wait_error == boost::asio::error::operation_aborted || this->ended)
    return;
  for (int i = 0; i < kReadsInARow && !this->paused; ++i) {
    BoostError ec;
    auto& buffer = ReadBuffer();
    const std::size_t count =
        this->socket.read_some(boost::asio::buffer(buffer), ec);
    if (MustWait(ec))
      break;
    if (ec) {
      this->End(ec == boost::asio::error::eof ? StreamEnd::kClosed
                                              : StreamEnd::kFailed);
      return;
    }
    if (!this->Deliver(std::string_view(buffer.data(), count)))
      return;
    if (count < buffer.size())
      break;
  }
  this->WaitForData();
}

/// Returns whether the stream is still open.
bool TcpStream::Deliver(std::string_view bytes) {
  const auto current = this->events;
  if (current && current->on_data)
    current->on_data(bytes);
  return this->IsOpen();
}

void TcpStream::Write(std::string_view bytes) {
  if (!this->IsOpen() || this->shut_down)
    return;
  if (this->unsent.empty()) {
    BoostError ec;
    const std::size_t sent = this->socket.write_some(
        boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (!ec) {
      bytes.remove_prefix(sent);
    } else if (!MustWait(ec)) {
      // The read side reports the failure.
      return;
    }
  }
  if (bytes.empty())
    return;
  this->unsent.append(bytes);
  this->Flush();
}

void TcpStream::Flush() {
  if (this->writing || !this->IsOpen())
    return;
  this->writing = true;
  this->socket.async_wait(tcp::socket::wait_write,
                          [self = shared_from_this()](const BoostError& ec) {
                            self->writing = false;
                            self->OnWritable(ec);
                          });
}

void TcpStream::OnWritable(const BoostError& wait_error) {
  if (wait_error || !this->IsOpen())
    return;
  BoostError ec;
  const std::size_t sent =
      this->socket.write_some(boost::asio::buffer(this->unsent), ec);
  if (ec && !MustWait(ec)) {
    this->End(StreamEnd::kFailed);
    return;
  }
  if (!ec)
    this->unsent.erase(0, sent);
  if (!this->unsent.empty()) {
    this->Flush();
    return;
  }
  if (this->closing) {
    this->FinishClosing();
    return;
  }
  const auto current = this->events;
  if (current && current->on_drained)
    current->on_drained();
}

bool TcpStream::HasUnreadBytes() const {
  BoostError ec;
  return this->IsOpen() && this->socket.available(ec) > 0 && !ec;
}

bool TcpStream::HasPeerEnded() {
  if (!this->IsOpen())
    return true;
  char byte = 0;
  BoostError ec;
  const std::size_t count =
      this->socket.receive(boost::asio::buffer(&byte, 1),
                           boost::asio::socket_base::message_peek, ec);
  return ec ? !MustWait(ec) : count == 0;
}

void TcpStream::PauseReading() {
  this->paused = true;
}

void TcpStream::ResumeReading() {
  this->paused = false;
  this->WaitForData();
}

void TcpStream::CloseAfterWrite() {
  this->events = nullptr;
  if (!this->IsOpen())
    return;
  this->closing = true;
  this->linger.expires_after(kLinger);
  this->linger.async_wait([self = shared_from_this()](const BoostError& ec) {
    if (!ec)
      self->Close();
  });
  this->ResumeReading();
  if (this->unsent.empty())
    this->FinishClosing();
}

void TcpStream::FinishClosing() {
  BoostError ignored;
  this->shut_down = true;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

void TcpStream::Close() {
  this->events = nullptr;
  this->ended = true;
  this->linger.cancel();
  BoostError ignored;
  this->socket.close(ignored);
}

void TcpStream::Reset() {
  BoostError ignored;
  this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  this->Close();
}

void TcpStream::End(StreamEnd end) {
  if (this->ended)
    return;
  this->ended = true;
  const auto current = std::exchange(this->events, nullptr);
  this->linger.cancel();
  BoostError ignored;
  this->socket.close(ignored);
  if (current && current->on_end)
    current->on_end(end);
}

void SetFailureDetection(tcp::socket* socket, Milliseconds limit) {
  const int descriptor = socket->native_handle();
  const int seconds = std::max(1, static_cast<int>(limit.count() / 2000));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, seconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, seconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, 2);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(limit.count()));
}

void Connect(boost::asio::io_context* io,
             const tcp::endpoint& address,
             Milliseconds timeout,
             Milliseconds failure_detection,
             ConnectHandler handler) {
  auto pending = std::make_shared<PendingConnect>(io, std::move(handler));
  pending->timer.expires_after(timeout);
  pending->timer.async_wait([pending](const BoostError& ec) {
    if (!ec)
      pending->Finish(false);
  });
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
    tcp::socket socket;
    boost::asio::steady_timer timer;
  };
  auto pending = std::make_shared<PendingCheck>(
      PendingCheck{tcp::socket(*io), boost::asio::steady_timer(*io)});
  pending->timer.expires_after(timeout);
  pending->timer.async_wait([pending](const BoostError& ec) {
    BoostError ignored;
    if (!ec)
      pending->socket.close(ignored);
  });
  pending->socket.async_connect(
      address, [pending, done = std::move(done)](const BoostError& ec) {
        pending->timer.cancel();
        if (!ec)
          done(ListenState::kListening);
        else if (ec == boost::asio::error::connection_refused)
          done(ListenState::kRefused);
        else
          done(ListenState::kUnreachable);
      });
}

}  // namespace coltsfootvane::net
