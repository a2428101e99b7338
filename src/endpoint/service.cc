#include "endpoint/service.h"

#include <algorithm>

#include "endpoint/events.h"
#include "http/client.h"
#include "log/event.h"

namespace coltsfootvane::endpoint {
namespace {

// A TCP connect inside a region takes a few ms; a SYN is repeated after 1 s.
constexpr Milliseconds kConnectTimeout{1500};

}  // namespace

Result<http::Response> CallService(const http::Address& service,
                                   const http::Request& request,
                                   TimePoint deadline) {
  http::CallOptions options;
  options.peer = service;
  options.connect_deadline = std::min(deadline, Clock::now() + kConnectTimeout);
  options.deadline = deadline;
  Result<http::Response> response = http::Call(options, request);
  if (!response)
    return response;
  const std::string_view sent =
      http::FindHeader(request.headers, "X-Request-Id");
  const std::string_view echoed =
      http::FindHeader(response.assume_value().headers, "X-Request-Id");
  if (sent == echoed)
    return response;
  LogEvent(kForeignResponse, "service=" + http::FormatAddress(service) +
                                 " sent=" + std::string(sent) +
                                 " echoed=" + std::string(echoed));
  return Error{ErrorCode::kUnknown, "response has another request id"};
}

}  // namespace coltsfootvane::endpoint
