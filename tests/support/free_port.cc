#include "support/free_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdlib>
#include <mutex>
#include <set>

namespace coltsfootvane::testing {

int ListenOnFreePort(const std::string& host, int* port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  socklen_t size = sizeof(address);
  auto* const raw = reinterpret_cast<sockaddr*>(&address);
  if (fd < 0 || ::inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1 ||
      ::bind(fd, raw, size) != 0 || ::listen(fd, 64) != 0 ||
      ::getsockname(fd, raw, &size) != 0)
    std::abort();
  *port = ntohs(address.sin_port);
  return fd;
}

int FreePort(const std::string& host) {
  // The kernel may choose a port again that was closed but is not yet used.
  static std::mutex mutex;
  static std::set<int> chosen;
  for (;;) {
    int port = 0;
    ::close(ListenOnFreePort(host, &port));
    std::lock_guard<std::mutex> lock(mutex);
    if (chosen.insert(port).second)
      return port;
  }
}

namespace {

/// Returns the part of a loopback address that differs between processes.
std::string OwnNetwork() {
  const auto id = static_cast<unsigned>(::getpid());
  return std::to_string(1 + id / 250 % 250) + "." +
         std::to_string(1 + id % 250);
}

}  // namespace

std::string OwnLoopbackHost() {
  const auto id = static_cast<unsigned>(::getpid());
  return "127." + std::to_string(64 + id / 62500 % 64) + "." + OwnNetwork();
}

std::string MoreLoopbackHost(int number) {
  constexpr int kFirst = 128;
  constexpr int kLast = 247;
  constexpr int kMore = 180;
  if (kFirst + number > kLast) {
    // The second part is from 1 to 60: others have 0 (127.0.0.1) or 64 to 247.
    constexpr int kNetworks = 60;
    constexpr unsigned kShare = kMore / kNetworks;
    constexpr unsigned kHosts = 250;
    const int more = number - (kLast - kFirst + 1);
    if (more >= kMore)
      std::abort();
    const unsigned id =
        static_cast<unsigned>(::getpid()) % (kHosts * kHosts / kShare);
    const unsigned own = id * kShare + static_cast<unsigned>(more / kNetworks);
    return "127." + std::to_string(1 + more % kNetworks) + "." +
           std::to_string(1 + own / kHosts) + "." +
           std::to_string(1 + own % kHosts);
  }
  return "127." + std::to_string(kFirst + number) + "." + OwnNetwork();
}

}  // namespace coltsfootvane::testing
