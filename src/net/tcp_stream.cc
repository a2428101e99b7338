#include "net/tcp_stream.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>
#include <vector>

namespace coltsfootvane::net {
namespace {

using BoostError = boost::system::error_code;

constexpr std::size_t kReadBytes = 16UL * 1024;
/// Reads of one stream in a row, so that a fast sender does not keep the loop
/// from the others.
constexpr int kReadsInARow = 4;
constexpr std::chrono::milliseconds kLinger{500};
/// Blocks of a chain that are handed to the kernel in one call.
constexpr std::size_t kBlocksPerWrite = 16;
/// A larger buffer is freed once it is empty, since connections are kept.
constexpr std::size_t kMaxKeptBytes = 4UL * 1024;

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

}  // namespace

TcpStream::TcpStream(tcp::socket connected)
    : socket(std::move(connected)), linger(this->socket.get_executor()) {
  BoostError ignored;
  this->socket.non_blocking(true, ignored);
  this->socket.set_option(tcp::no_delay(true), ignored);
}

TcpStream::~TcpStream() {
  this->CloseSocket();
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
  if (!this->HasUnsent()) {
    BoostError ec;
    const std::size_t sent = this->socket.write_some(
        boost::asio::buffer(bytes.data(), bytes.size()), ec);
    if (!ec) {
      this->sent_bytes += sent;
      bytes.remove_prefix(sent);
    } else if (!MustWait(ec)) {
      // The read side reports the failure.
      return;
    }
  }
  if (bytes.empty())
    return;
  // Rare: an owner writes again before the peer has taken a chain.
  for (; this->chain && this->chain_block < this->chain->BlockCount();
       ++this->chain_block, this->chain_offset = 0)
    this->unsent.append(
        this->chain->Block(this->chain_block).substr(this->chain_offset));
  this->chain = nullptr;
  this->unsent.append(bytes);
  this->Flush();
}

void TcpStream::Write(std::shared_ptr<const ByteChain> bytes) {
  if (!this->IsOpen() || this->shut_down || bytes->IsEmpty())
    return;
  if (this->chain) {
    for (std::size_t i = 0; i < bytes->BlockCount(); ++i)
      this->Write(bytes->Block(i));
    return;
  }
  this->chain_block = 0;
  this->chain_offset = 0;
  this->chain_left = bytes->Size();
  this->chain = std::move(bytes);
  if (this->unsent.empty() && !this->SendChain()) {
    this->chain = nullptr;  // The read side reports the failure.
    return;
  }
  if (this->chain)
    this->Flush();
}

/// Hands bytes of the chain to the kernel, and drops the chain after the last.
/// Returns whether the connection still works.
bool TcpStream::SendChain() {
  std::vector<boost::asio::const_buffer> buffers;
  for (std::size_t i = this->chain_block;
       i < this->chain->BlockCount() && buffers.size() < kBlocksPerWrite; ++i) {
    const std::string_view block = this->chain->Block(i);
    const std::size_t from = i == this->chain_block ? this->chain_offset : 0;
    buffers.emplace_back(block.data() + from, block.size() - from);
  }
  BoostError ec;
  std::size_t sent = this->socket.write_some(buffers, ec);
  if (ec)
    return MustWait(ec);
  this->sent_bytes += sent;
  this->chain_left -= sent;
  while (sent > 0) {
    const std::size_t left =
        this->chain->Block(this->chain_block).size() - this->chain_offset;
    const std::size_t step = std::min(left, sent);
    sent -= step;
    this->chain_offset += step;
    if (step == left) {
      ++this->chain_block;
      this->chain_offset = 0;
    }
  }
  if (this->chain_left == 0)
    this->chain = nullptr;
  return true;
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
  if (!this->unsent.empty()) {
    const std::size_t sent =
        this->socket.write_some(boost::asio::buffer(this->unsent), ec);
    if (!ec) {
      this->sent_bytes += sent;
      this->unsent.erase(0, sent);
    }
    if (this->unsent.empty() && this->unsent.capacity() > kMaxKeptBytes)
      std::string().swap(this->unsent);
  }
  const bool works = !ec || MustWait(ec);
  if (!works || (this->unsent.empty() && this->chain && !this->SendChain())) {
    this->End(StreamEnd::kFailed);
    return;
  }
  if (this->HasUnsent()) {
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

std::size_t TcpStream::UnsentBytes() const {
  return this->unsent.size() + (this->chain ? this->chain_left : 0);
}

std::size_t TcpStream::HeldBytes() const {
  BoostError ec;
  const std::size_t unread =
      this->paused && this->IsOpen() ? this->socket.available(ec) : 0;
  return this->unsent.capacity() + (ec ? 0 : unread);
}

void TcpStream::DropUnsent() {
  std::string().swap(this->unsent);
  this->chain = nullptr;
}

std::size_t TcpStream::UnreadBytes() const {
  if (!this->IsOpen())
    return 0;
  BoostError ec;
  const std::size_t unread = this->socket.available(ec);
  return ec ? 0 : unread;
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
  this->ResumeReading();
  if (this->HasUnsent())
    this->StartLinger();
  else
    this->FinishClosing();
}

/// Closes the connection after `kLinger`, or later as long as the peer takes
/// unsent bytes.
void TcpStream::StartLinger() {
  this->sent_before_linger = this->sent_bytes;
  this->linger.Set(kLinger, [self = shared_from_this()] {
    if (self->HasUnsent() && self->sent_bytes != self->sent_before_linger)
      self->StartLinger();
    else
      self->Close();
  });
}

void TcpStream::FinishClosing() {
  BoostError ignored;
  this->shut_down = true;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  this->StartLinger();
}

void TcpStream::Close() {
  this->events = nullptr;
  this->ended = true;
  this->linger.Cancel();
  this->CloseSocket();
}

/// The only place that closes the socket. Resets the connection if bytes are
/// unsent, so that the peer does not take a part of them as complete.
void TcpStream::CloseSocket() {
  if (!this->socket.is_open())
    return;
  BoostError ignored;
  if (this->HasUnsent())
    this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  this->DropUnsent();
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
  this->linger.Cancel();
  this->CloseSocket();
  if (current && current->on_end)
    current->on_end(end);
}

}  // namespace coltsfootvane::net
