#ifndef COLTSFOOTVANE_ENDPOINT_SERVICE_H_
#define COLTSFOOTVANE_ENDPOINT_SERVICE_H_

#include "base/clock.h"
#include "base/result.h"
#include "http/message.h"

namespace coltsfootvane::endpoint {

/// Sends `request` to a plain service, once. The request id in `X-Request-Id`
/// must be echoed. Errors: kNotSent, kUnknown.
Result<http::Response> CallService(const http::Address& service,
                                   const http::Request& request,
                                   TimePoint deadline);

}  // namespace coltsfootvane::endpoint

#endif  // COLTSFOOTVANE_ENDPOINT_SERVICE_H_
