#ifndef COLTSFOOTVANE_STANDINS_FAULT_PROXY_SOCKETS_H_
#define COLTSFOOTVANE_STANDINS_FAULT_PROXY_SOCKETS_H_

#include <string_view>

#include "http/message.h"

namespace coltsfootvane::standin {

/// Closes its descriptor.
class Socket {
 public:
  explicit Socket(int fd = -1) : fd(fd) {}
  ~Socket() { this->Close(); }
  Socket(Socket&& other) noexcept : fd(other.Release()) {}
  Socket& operator=(Socket&& other) noexcept;

  int Get() const { return this->fd; }
  bool IsOpen() const { return this->fd >= 0; }
  int Release();
  void Close();

 private:
  int fd;
};

/// Returns a closed socket on failure.
Socket Listen(const http::Address& address);
Socket Connect(const http::Address& address);

bool SendAll(const Socket& socket, std::string_view data);

}  // namespace coltsfootvane::standin

#endif  // COLTSFOOTVANE_STANDINS_FAULT_PROXY_SOCKETS_H_
