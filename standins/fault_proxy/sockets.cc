#include "standins/fault_proxy/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <utility>

namespace coltsfootvane::standin {
namespace {

constexpr int kBacklog = 256;

bool ToSocketAddress(const http::Address& address, sockaddr_in* result) {
  *result = {};
  result->sin_family = AF_INET;
  result->sin_port = htons(static_cast<std::uint16_t>(address.port));
  return ::inet_pton(AF_INET, address.host.c_str(), &result->sin_addr) == 1;
}

const sockaddr* AsGeneric(const sockaddr_in& address) {
  return reinterpret_cast<const sockaddr*>(&address);
}

}  // namespace

Socket& Socket::operator=(Socket&& other) noexcept {
  if (this == &other)
    return *this;
  this->Close();
  this->fd = other.Release();
  return *this;
}

int Socket::Release() {
  return std::exchange(this->fd, -1);
}

void Socket::Close() {
  if (this->fd >= 0)
    ::close(this->Release());
}

Socket Listen(const http::Address& address) {
  Socket socket(
      ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
  sockaddr_in raw{};
  const int on = 1;
  ::setsockopt(socket.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  if (!ToSocketAddress(address, &raw) ||
      ::bind(socket.Get(), AsGeneric(raw), sizeof(raw)) != 0 ||
      ::listen(socket.Get(), kBacklog) != 0)
    return Socket();
  return socket;
}

Socket Connect(const http::Address& address) {
  Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  sockaddr_in raw{};
  const int on = 1;
  ::setsockopt(socket.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  if (!ToSocketAddress(address, &raw) ||
      ::connect(socket.Get(), AsGeneric(raw), sizeof(raw)) != 0)
    return Socket();
  return socket;
}

bool SendAll(const Socket& socket, std::string_view data) {
  while (!data.empty()) {
    const ssize_t count =
        ::send(socket.Get(), data.data(), data.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    data.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

}  // namespace coltsfootvane::standin
