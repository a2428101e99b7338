#ifndef COLTSFOOTVANE_HTTP_CLIENT_H_
#define COLTSFOOTVANE_HTTP_CLIENT_H_

#include <functional>
#include <string_view>

#include "base/clock.h"
#include "base/result.h"
#include "http/message.h"

namespace coltsfootvane::http {

struct CallOptions {
  Address peer;
  TimePoint connect_deadline;
  /// The whole answer must have arrived by then.
  TimePoint deadline;
  std::size_t max_body_bytes = 64U * 1024 * 1024;
  /// Of the bodies of all whole answers that the process is reading.
  std::size_t max_held_bytes = 256U * 1024 * 1024;
};

/// Sends `request` once on a new connection and reads the whole answer.
/// Connections are never reused: a client that finds a kept-alive connection
/// closed sends the request again, and left-over bytes of one response would be
/// read as the next.
/// `on_idle` is as in StreamHandler. The answers that a process is reading have
/// a common limit, whatever their number: one that passes it is given up.
/// Errors: kNotSent if the connection failed before the first byte; kUnknown
/// for every later failure, including an answer that was cut or is too long;
/// kRefused if `on_idle` cancelled.
Result<Response> Call(const CallOptions& options,
                      const Request& request,
                      const std::function<bool()>& on_idle = {});

/// Receives the parts of a streamed answer. A handler returns false to cancel.
struct StreamHandler {
  std::function<bool(int status, gsl::span<const Header> headers)> on_header;
  std::function<bool(std::string_view data)> on_data;
  /// Called at least every 100 ms, so that a caller who has gone is noticed.
  std::function<bool()> on_idle;
};

/// Sends `request` once on a new connection and hands over the answer as it
/// arrives. Returns the status once the whole answer has arrived.
/// Errors as Call(); kRefused if a handler cancelled.
Result<int> StreamCall(const CallOptions& options,
                       const Request& request,
                       const StreamHandler& handler);

}  // namespace coltsfootvane::http

#endif  // COLTSFOOTVANE_HTTP_CLIENT_H_
