#ifndef COLTSFOOTVANE_NET_TCP_STREAM_H_
#define COLTSFOOTVANE_NET_TCP_STREAM_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "net/byte_chain.h"
#include "net/timer.h"

namespace coltsfootvane::net {

using boost::asio::ip::tcp;

/// How a connection ended.
enum class StreamEnd {
  kClosed,  ///< The peer closed its side.
  kFailed,  ///< Reset, or unreachable for longer than the system allows.
};

/// What the owner of a stream wants to hear. Called from the event loop only.
struct StreamEvents {
  /// Bytes arrived; the view is valid during the call.
  std::function<void(std::string_view)> on_data;
  /// Nothing more will arrive. Called once.
  std::function<void(StreamEnd)> on_end;
  /// All bytes that were written have been handed to the kernel.
  std::function<void()> on_drained;
};

/// A TCP connection on the event loop. Writing never blocks: what the kernel
/// does not take at once is kept and sent later.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  explicit TcpStream(tcp::socket socket);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// Starts reading, or replaces the events of a stream that already reads.
  void Start(StreamEvents events);
  void Write(std::string_view bytes);
  /// Sends bytes that the stream shares with others and does not copy. They
  /// must not change any more.
  void Write(std::shared_ptr<const ByteChain> bytes);
  /// Stops reading, so that the peer is slowed down by the window of TCP.
  void PauseReading();
  void ResumeReading();

  /// Drops the owner and closes once everything is written, or resets the
  /// connection if the peer takes nothing for a short time. Then reads and
  /// discards for a short time, since closing with unread bytes would reset the
  /// connection before the peer has read the last answer.
  void CloseAfterWrite();
  /// Drops the owner and closes at once. Resets the connection if bytes are
  /// unsent, so that a part of them cannot look complete.
  void Close();
  /// As Close(), but always resets the connection, so that the peer does not
  /// take what it has received as complete.
  void Reset();

  bool IsOpen() const { return this->socket.is_open() && !this->ended; }
  /// Returns whether bytes have arrived that the owner has not seen yet.
  bool HasUnreadBytes() const { return this->UnreadBytes() > 0; }
  std::size_t UnreadBytes() const;
  /// Returns whether the peer has ended the connection, though the loop has not
  /// come to read that yet. Unread bytes before the end hide it.
  bool HasPeerEnded();
  std::size_t UnsentBytes() const;
  /// Returns the bytes that the kernel has taken so far.
  std::uint64_t SentBytes() const { return this->sent_bytes; }
  /// Returns the memory that the stream holds: its copies of what is unsent
  /// and, while reading is paused, what has arrived in the kernel.
  std::size_t HeldBytes() const;
  int Descriptor() { return this->socket.native_handle(); }

 private:
  void WaitForData();
  void OnReadable(const boost::system::error_code& ec);
  bool Deliver(std::string_view bytes);
  void Flush();
  void OnWritable(const boost::system::error_code& ec);
  void End(StreamEnd end);
  void FinishClosing();
  void StartLinger();
  void CloseSocket();
  bool SendChain();
  bool HasUnsent() const { return !this->unsent.empty() || this->chain; }
  void DropUnsent();

  tcp::socket socket;
  std::shared_ptr<const StreamEvents> events;
  std::string unsent;
  std::shared_ptr<const ByteChain> chain;  ///< To be sent after `unsent`.
  std::size_t chain_block = 0;             ///< The first that is unsent.
  std::size_t chain_offset = 0;            ///< Within that block.
  std::size_t chain_left = 0;              ///< Unsent bytes of the chain.
  std::uint64_t sent_bytes = 0;
  Timer linger;
  std::uint64_t sent_before_linger = 0;
  bool reading = false;  ///< A wait for data is pending.
  bool paused = false;
  bool writing = false;  ///< A wait for room is pending.
  bool closing = false;
  bool shut_down = false;
  bool ended = false;
};

/// Limits how long a peer that is gone goes unnoticed, silent or with data
/// unacknowledged. With 3 s or more, one lost keep-alive probe ends nothing.
void SetFailureDetection(tcp::socket* socket, Milliseconds limit);

using ConnectHandler = std::function<void(std::shared_ptr<TcpStream>)>;

/// Limits what the kernel keeps of unread bytes. Must be called before the
/// socket is connected or, for accepted ones, on the listening socket.
void LimitReceiveBuffer(int descriptor, int bytes);

/// Connects within `timeout`. The handler gets nullptr if the connection was
/// not established; nothing has been sent then.
void Connect(boost::asio::io_context* io,
             const tcp::endpoint& address,
             Milliseconds timeout,
             Milliseconds failure_detection,
             ConnectHandler handler);

enum class ListenState {
  kListening,
  kRefused,      ///< The host runs, and no process listens at the address.
  kUnreachable,  ///< No answer within the time allowed.
};

/// Finds out whether a process listens at the address. Nothing is sent.
void CheckListening(boost::asio::io_context* io,
                    const tcp::endpoint& address,
                    Milliseconds timeout,
                    std::function<void(ListenState)> done);

}  // namespace coltsfootvane::net

#endif  // COLTSFOOTVANE_NET_TCP_STREAM_H_
