#include "standins/fault_proxy/forwarder.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <thread>
#include <utility>

namespace coltsfootvane::standin {
namespace {

/// Changed faults are noticed within this time.
constexpr int kPollMs = 20;
/// A dropped response is over when the target has sent nothing for this long.
constexpr Milliseconds kDropQuietTime{200};

using Buffer = std::array<char, 16384>;

/// Returns the bytes received; nothing at the end of the stream.
std::string_view Receive(const Socket& socket, Buffer* buffer) {
  const ssize_t count = ::recv(socket.Get(), buffer->data(), buffer->size(), 0);
  if (count <= 0)
    return {};
  return {buffer->data(), static_cast<std::size_t>(count)};
}

}  // namespace

Forwarder::Forwarder(Socket client,
                     const http::Address& target,
                     bool drops_response,
                     std::function<ProxyFaults()> current_faults,
                     ProxyCounters* counters)
    : client(std::move(client)),
      target(target),
      drops_response(drops_response),
      current_faults(std::move(current_faults)),
      counters(counters) {}

void Forwarder::Run(const std::atomic<bool>& stopping) {
  const int on = 1;
  ::setsockopt(this->client.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  while (!stopping && this->Step()) {
  }
  if (this->drops_response)
    ++this->counters->dropped_responses;
  this->client.Close();
  this->server.Close();
}

bool Forwarder::Step() {
  if (Clock::now() >= this->quiet_deadline)
    return false;
  const ProxyFaults faults = this->current_faults();
  if (faults.blackhole)
    return this->WaitInBlackhole();
  // Negative descriptors are ignored by poll().
  std::array<pollfd, 2> polled{
      {{this->client_ended ? -1 : this->client.Get(), POLLIN, 0},
       {this->server.Get(), POLLIN, 0}}};
  if (::poll(polled.data(), polled.size(), kPollMs) <= 0)
    return true;
  if (polled[1].revents != 0 && !this->ForwardResponse(faults))
    return false;
  return polled[0].revents == 0 || this->ForwardRequest(faults);
}

bool Forwarder::WaitInBlackhole() const {
  pollfd polled{this->client.Get(), POLLRDHUP, 0};
  return ::poll(&polled, 1, kPollMs) <= 0;
}

bool Forwarder::ForwardRequest(const ProxyFaults& faults) {
  Buffer buffer;
  const std::string_view data = Receive(this->client, &buffer);
  if (data.empty()) {
    this->client_ended = true;
    return this->server.IsOpen() &&
           ::shutdown(this->server.Get(), SHUT_WR) == 0;
  }
  if (!this->server.IsOpen()) {
    std::this_thread::sleep_for(faults.delay);
    this->server = Connect(this->target);
  }
  this->counters->request_bytes += static_cast<std::int64_t>(data.size());
  return this->server.IsOpen() && SendAll(this->server, data);
}

bool Forwarder::ForwardResponse(const ProxyFaults& faults) {
  Buffer buffer;
  std::string_view data = Receive(this->server, &buffer);
  if (data.empty())
    return false;
  if (this->drops_response) {
    this->quiet_deadline = Clock::now() + kDropQuietTime;
    return true;
  }
  const bool limited = faults.cut_after_bytes > 0;
  const std::int64_t left =
      std::max<std::int64_t>(0, faults.cut_after_bytes - this->answered_bytes);
  if (limited)
    data = data.substr(0, static_cast<std::size_t>(left));
  if (!SendAll(this->client, data))
    return false;
  this->answered_bytes += static_cast<std::int64_t>(data.size());
  this->counters->response_bytes += static_cast<std::int64_t>(data.size());
  if (!limited || this->answered_bytes < faults.cut_after_bytes)
    return true;
  ++this->counters->cut;
  return false;
}

}  // namespace coltsfootvane::standin
