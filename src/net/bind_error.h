#ifndef COLTSFOOTVANE_NET_BIND_ERROR_H_
#define COLTSFOOTVANE_NET_BIND_ERROR_H_

#include <boost/system/error_code.hpp>
#include <sstream>

#include "base/result.h"

namespace coltsfootvane::net {

/// Returns the error of a socket that could not be bound to `address`, a TCP or
/// UDP endpoint.
template <class Endpoint>
Error BindError(const Endpoint& address, const boost::system::error_code& ec) {
  std::ostringstream text;
  text << "cannot listen on " << address << ": " << ec.message();
  return {ErrorCode::kInvalid, text.str()};
}

}  // namespace coltsfootvane::net

#endif  // COLTSFOOTVANE_NET_BIND_ERROR_H_
