#ifndef COLTSFOOTVANE_HTTP_SOCKET_RESET_H_
#define COLTSFOOTVANE_HTTP_SOCKET_RESET_H_

#include <cstdint>

namespace coltsfootvane::http {

/// Returns the number that the kernel gives to one socket only, or 0. A
/// descriptor number is given to another socket at once.
std::uint64_t SocketCookie(int fd);

/// Resets the connection. After shutdown() the library would go on reading what
/// is in the receive buffer, and the kernel would go on filling it.
bool ResetSocket(int fd);

/// Resets the connection if `fd` is still the socket with `cookie`.
bool ResetSocketOf(int fd, std::uint64_t cookie);

}  // namespace coltsfootvane::http

#endif  // COLTSFOOTVANE_HTTP_SOCKET_RESET_H_
