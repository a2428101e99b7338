#include "http/socket_reset.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace coltsfootvane::http {

std::uint64_t SocketCookie(int fd) {
  std::uint64_t cookie = 0;
  socklen_t size = sizeof(cookie);
  return ::getsockopt(fd, SOL_SOCKET, SO_COOKIE, &cookie, &size) == 0 ? cookie
                                                                      : 0;
}

bool ResetSocket(int fd) {
  sockaddr nobody = {};
  nobody.sa_family = AF_UNSPEC;
  return ::connect(fd, &nobody, sizeof(nobody)) == 0;
}

bool ResetSocketOf(int fd, std::uint64_t cookie) {
  // The duplicate stays with this socket whatever becomes of the number.
  const int duplicate = ::fcntl(fd, F_DUPFD_CLOEXEC, 0);
  if (duplicate < 0)
    return false;
  const bool reset =
      SocketCookie(duplicate) == cookie && ResetSocket(duplicate);
  ::close(duplicate);
  return reset;
}

}  // namespace coltsfootvane::http
