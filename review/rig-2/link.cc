#include "link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <string>
#include <thread>

#include "http.h"
#include "process.h"

namespace review {
namespace {

constexpr std::size_t kReadBytes = 16384;
constexpr int kPollMs = 2;
constexpr Milliseconds kConnectTime{1000};

void CloseByReset(int descriptor) {
  const linger at_once{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
  close(descriptor);
}

}  // namespace

Link::Link(int near_port, int far_port) : own_port(near_port), port(far_port) {}

void Link::Start() {
  const int listening = Listen(this->own_port);
  std::thread([this, listening] {
    while (true) {
      const int near = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
      if (near < 0)
        return;
      std::thread([this, near] { this->PassOn(near); }).detach();
    }
  }).detach();
}

void Link::AwaitHealing() const {
  while (this->is_cut)
    SleepMs(kPollMs);
}

bool Link::Pump(int from, int to) const {
  char bytes[kReadBytes];
  while (true) {
    const ssize_t count = recv(from, bytes, sizeof(bytes), 0);
    this->AwaitHealing();
    if (count <= 0)
      return count == 0;
    if (!Write(to, std::string(bytes, static_cast<std::size_t>(count))))
      return false;
  }
}

void Link::PassOn(int near) {
  this->AwaitHealing();
  const int far = Connect(this->port, kConnectTime);
  if (far < 0) {
    CloseByReset(near);
    return;
  }
  std::thread requests([this, near, far] {
    this->Pump(near, far);
    shutdown(far, SHUT_RDWR);
  });
  const bool closed = this->Pump(far, near);
  if (closed)
    shutdown(near, SHUT_WR);
  else
    shutdown(near, SHUT_RD);
  requests.join();
  close(far);
  if (closed)
    close(near);
  else
    CloseByReset(near);
}

}  // namespace review
