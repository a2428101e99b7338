#ifndef COLTSFOOTVANE_HTTP_MESSAGE_H_
#define COLTSFOOTVANE_HTTP_MESSAGE_H_

#include <gsl/span>
#include <string>
#include <string_view>
#include <vector>

namespace coltsfootvane::http {

struct Header {
  std::string name;
  std::string value;
};

struct Request {
  std::string method;
  std::string path;   ///< Without the query.
  std::string query;  ///< Without the question mark.
  std::vector<Header> headers;
  std::string body;
};

struct Response {
  int status = 0;
  std::vector<Header> headers;
  std::string body;
};

/// An IP number and a port.
struct Address {
  std::string host;
  int port = 0;
};

/// Returns the value of the first header `name`, compared without case, or an
/// empty view.
std::string_view FindHeader(gsl::span<const Header> headers,
                            std::string_view name);

/// Returns the standard reason phrase of `status`.
std::string_view ReasonPhrase(int status);

/// Parses `host:port`. Returns port 0 if `text` is malformed.
Address ParseAddress(std::string_view text);

std::string FormatAddress(const Address& address);

}  // namespace coltsfootvane::http

#endif  // COLTSFOOTVANE_HTTP_MESSAGE_H_
