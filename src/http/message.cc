#include "http/message.h"

#include <strings.h>

#include <charconv>

namespace coltsfootvane::http {
namespace {

struct Reason {
  int status;
  std::string_view phrase;
};

constexpr Reason kReasons[] = {
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {409, "Conflict"},
    {410, "Gone"},
    {411, "Length Required"},
    {413, "Content Too Large"},
    {422, "Unprocessable Content"},
    {429, "Too Many Requests"},
    {500, "Internal Server Error"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
    {507, "Insufficient Storage"},
};

}  // namespace

std::string_view FindHeader(gsl::span<const Header> headers,
                            std::string_view name) {
  for (const Header& header : headers) {
    if (header.name.size() == name.size() &&
        strncasecmp(header.name.data(), name.data(), name.size()) == 0)
      return header.value;
  }
  return {};
}

std::string_view ReasonPhrase(int status) {
  for (const Reason& reason : kReasons) {
    if (reason.status == status)
      return reason.phrase;
  }
  return "Unknown";
}

Address ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0)
    return {};
  Address address;
  address.host = std::string(text.substr(0, colon));
  const std::string_view port = text.substr(colon + 1);
  const auto [end, error] =
      std::from_chars(port.data(), port.data() + port.size(), address.port);
  if (error != std::errc() || end != port.data() + port.size() ||
      address.port < 1 || address.port > 65535)
    return {};
  return address;
}

std::string FormatAddress(const Address& address) {
  return address.host + ":" + std::to_string(address.port);
}

}  // namespace coltsfootvane::http
