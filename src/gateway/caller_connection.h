#ifndef COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_
#define COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_

#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "net/message.h"
#include "net/message_parser.h"
#include "net/tcp_stream.h"

namespace coltsfootvane::gateway {

class Exchange;
struct Gateway;

/// A connection of a caller: reads one request at a time and writes its answer.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  CallerConnection(Gateway* gateway, std::shared_ptr<net::TcpStream> stream);

  void Start();

  /// Starts an answer. Without a length the body is sent in chunks, or up to
  /// the end of the connection for callers of HTTP/1.0.
  void BeginAnswer(net::ResponseHead head, std::optional<std::size_t> length);
  void SendBody(std::string_view bytes);
  void FinishAnswer();
  /// Ends an answer so that it does not look complete.
  void BreakAnswer();
  /// More is waiting for the caller than should be kept.
  bool Congested() const;

  /// Closes the connection if no request is in progress.
  void CloseIfIdle();

 private:
  enum class Phase { kIdle, kReceiving, kServing, kClosed };

  void OnData(std::string_view bytes);
  void OnEnd();
  void OnDrained();
  void ReadRequest();
  void Serve();
  void Reject(net::ParseFault fault);
  void RejectWith(int status, std::string_view reason);
  void AwaitRequest();
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
  TimePoint received;  ///< First byte of the request.
  std::shared_ptr<Exchange> exchange;
  bool keep = true;        ///< Another request may follow.
  bool continued = false;  ///< The caller has been asked for the body.
  bool caller_speaks_1_1 = true;
  bool head_only = false;  ///< The request is a HEAD.
  bool chunked = false;    ///< Of the answer in progress.
};

}  // namespace coltsfootvane::gateway

#endif  // COLTSFOOTVANE_GATEWAY_CALLER_CONNECTION_H_
