#ifndef COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_
#define COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "net/byte_account.h"
#include "net/message.h"
#include "net/message_parser.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::gateway {

class Exchange;
struct Gateway;

/// An HTTP connection from a caller. Reads one request at a time and writes its
/// answer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(Gateway* gateway, std::shared_ptr<net::TcpStream> stream);

  void Start();

  /// Writes the head of an answer. Without a length the body is sent in chunks
  /// or, to HTTP/1.0 callers, delimited by the end of the connection.
  void BeginAnswer(net::ResponseHead head, std::optional<std::size_t> length);
  void SendBody(std::string_view bytes);
  void FinishAnswer();
  /// Closes the connection so that the caller sees the answer as incomplete.
  void AbortAnswer();
  /// Returns whether too many answer bytes are waiting to be sent.
  bool IsCongested() const;
  /// Ends the connection and its request if the caller has left, though its
  /// leaving has not been read yet. Returns whether it has left.
  bool EndIfCallerLeft();

  /// Closes the connection if no request is in progress or has arrived unread.
  void CloseIfIdle();

 private:
  enum class Phase { kIdle, kReceiving, kServing, kClosed };

  void OnData(std::string_view bytes);
  void OnEnd();
  void OnDrained();
  void Write(std::string_view bytes);
  void CountHeldBytes();
  void ReadRequest();
  void Serve();
  void Reject(net::ParseFault fault);
  void RejectWith(int status, std::string_view reason);
  void AwaitRequest();
  void ReadBufferedRequest();
  void SetTimer(Milliseconds timeout);
  void OnTimeout();
  void Close();

  Gateway* gateway;
  std::shared_ptr<net::TcpStream> stream;
  boost::asio::steady_timer timer;
  Phase phase = Phase::kIdle;
  std::string input;
  std::string body;
  net::MessageParser parser;
  TimePoint received;  ///< Arrival of the first byte of the request.
  std::shared_ptr<Exchange> exchange;
  bool keep_alive = true;      ///< Keep the connection after this answer.
  bool continue_sent = false;  ///< `100 Continue` has been sent.
  bool is_http_1_1 = true;
  bool is_head_request = false;  ///< The request method is HEAD.
  bool chunked = false;          ///< The current answer uses chunked coding.
  net::HeldBytes held_bytes;
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_
