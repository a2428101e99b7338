#ifndef COLTSFOOTVANE_HTTP_SERVER_H_
#define COLTSFOOTVANE_HTTP_SERVER_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "base/result.h"
#include "http/message.h"
#include "intake/policy.h"

namespace coltsfootvane::http {

namespace detail {
class ReplyChannel;
class ServerState;
}  // namespace detail

/// The answer to one request: either one whole response, or a stream of chunks
/// that ends the connection. Used only on the thread of the handler.
class ReplyStream {
 public:
  explicit ReplyStream(detail::ReplyChannel& channel);

  /// Answers with `response` and a Content-Length.
  void Send(const Response& response);

  /// Starts a chunked answer. Returns false if the caller has gone.
  bool Begin(int status, gsl::span<const Header> headers);

  /// Sends `data` as one chunk. Returns false if the caller has gone.
  bool Write(std::string_view data);

  /// Sends the last chunk and ends the connection. A stream without End() is
  /// seen by the caller as cut.
  bool End();

  /// Closes the connection without an answer, or cuts a stream in progress.
  void Abort();

  /// Returns whether the caller has closed or reset the connection.
  bool CallerGone() const;

 private:
  detail::ReplyChannel* channel;
};

/// Called for each request on a server thread.
using Handler = std::function<void(const Request&, ReplyStream&)>;

struct ServerOptions {
  Address listen;
  unsigned threads = 64;  ///< Bounds the requests in progress.
  /// Of one request. The bodies above 64 KB of all requests in progress have at
  /// most this times `threads`, or `bounds.large_bytes` if that is less; a
  /// request beyond that is answered with 503.
  std::size_t max_body_bytes = 1024 * 1024;
  int read_timeout_ms = 10000;
  int write_timeout_ms = 10000;
  int keep_alive_timeout_ms = 15000;
  /// For what callers hold; without limits by default.
  intake::Bounds bounds;
  /// Told how many connections were closed for the size of their headers, on a
  /// thread of the server. May be empty.
  std::function<void(int count)> on_headers_cut;
  /// The same for `bounds`.
  std::function<void(int count)> on_callers_ended;
};

/// An HTTP/1.1 server on cxxtools. A body above the cap is answered with 413; a
/// connection with a header above 64 KB is closed, see HeaderWatch.
class Server {
 public:
  /// Returns kInvalid if the address cannot be bound.
  static Result<std::unique_ptr<Server>> Start(const ServerOptions& options,
                                               Handler handler);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Stops listening and waits for the requests in progress.
  void Stop();

 private:
  explicit Server(std::unique_ptr<detail::ServerState> state);

  std::unique_ptr<detail::ServerState> state;
};

}  // namespace coltsfootvane::http

#endif  // COLTSFOOTVANE_HTTP_SERVER_H_
