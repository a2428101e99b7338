#include "standins/fault_proxy/forwarder.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>
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

/// Returns whether `request` has its header and as many body bytes as that
/// says.
bool IsWhole(std::string_view request) {
  constexpr std::string_view kEnd = "\r\n\r\n";
  constexpr std::string_view kLength = "Content-Length: ";
  const std::size_t end = request.find(kEnd);
  if (end == std::string_view::npos)
    return false;
  const std::size_t length = request.find(kLength);
  std::size_t body = 0;
  if (length < end) {
    const std::string_view digits = request.substr(length + kLength.size());
    std::from_chars(digits.data(), digits.data() + digits.size(), body);
  }
  return request.size() >= end + kEnd.size() + body;
}

bool HasRule(const ProxyFaults& faults, std::string_view match) {
  return std::any_of(
      faults.holds.begin(), faults.holds.end(),
      [match](const HoldRule& rule) { return rule.match == match; });
}

}  // namespace

Forwarder::Forwarder(Socket client,
                     const http::Address& target,
                     bool drops_response,
                     ProxyHooks hooks,
                     ProxyCounters* counters)
    : client(std::move(client)),
      target(target),
      drops_response(drops_response),
      hooks(std::move(hooks)),
      counters(counters) {}

void Forwarder::Run(const std::atomic<bool>& stopping) {
  const int on = 1;
  ::setsockopt(this->client.Get(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  while (!stopping && this->Step(stopping)) {
  }
  if (this->drops_response)
    ++this->counters->dropped_responses;
  this->client.Close();
  this->server.Close();
}

bool Forwarder::Step(const std::atomic<bool>& stopping) {
  if (Clock::now() >= this->quiet_deadline)
    return false;
  const ProxyFaults faults = this->hooks.current_faults();
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
  return polled[0].revents == 0 || this->ForwardRequest(faults, stopping);
}

bool Forwarder::WaitInBlackhole() const {
  pollfd polled{this->client.Get(), POLLRDHUP, 0};
  return ::poll(&polled, 1, kPollMs) <= 0;
}

bool Forwarder::Hold(const HoldRule& rule,
                     std::string_view first,
                     const std::atomic<bool>& stopping) {
  std::string request(first);
  Buffer buffer;
  while (!IsWhole(request)) {
    const std::string_view more = Receive(this->client, &buffer);
    if (more.empty())
      return false;
    request += more;
  }
  this->hooks.on_held(rule);
  if (rule.cut)
    this->client.Close();
  while (!stopping && HasRule(this->hooks.current_faults(), rule.match))
    std::this_thread::sleep_for(Milliseconds{kPollMs});
  this->server = Connect(this->target);
  this->counters->request_bytes += static_cast<std::int64_t>(request.size());
  return !stopping && this->server.IsOpen() && SendAll(this->server, request);
}

bool Forwarder::ForwardRequest(const ProxyFaults& faults,
                               const std::atomic<bool>& stopping) {
  Buffer buffer;
  const std::string_view data = Receive(this->client, &buffer);
  if (data.empty()) {
    this->client_ended = true;
    return this->server.IsOpen() &&
           ::shutdown(this->server.Get(), SHUT_WR) == 0;
  }
  if (!this->server.IsOpen()) {
    if (const auto rule = this->hooks.take_hold(data))
      return this->Hold(*rule, data, stopping);
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
