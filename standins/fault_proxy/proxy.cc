#include "standins/fault_proxy/proxy.h"

#include <poll.h>
#include <sys/socket.h>

#include <memory>
#include <nlohmann/json.hpp>
#include <utility>

namespace coltsfootvane::standin {
namespace {

/// Changed faults and the end of the process are noticed within this time.
constexpr int kPollMs = 20;

}  // namespace

Proxy::Proxy(const http::Address& listen, const http::Address& target)
    : listen(listen), target(target) {}

Proxy::~Proxy() {
  this->stopping = true;
  if (this->accepting.joinable())
    this->accepting.join();
  while (this->open > 0)
    std::this_thread::sleep_for(Milliseconds{kPollMs});
}

bool Proxy::Start() {
  this->listener = Listen(this->listen);
  if (!this->listener.IsOpen())
    return false;
  this->accepting = std::thread([this] { this->Accept(); });
  return true;
}

bool Proxy::SetFaults(const ProxyFaults& next) {
  std::lock_guard<std::mutex> lock(this->mutex);
  this->faults = next;
  if (next.refuse) {
    // A closed socket listens on while another thread polls it.
    ::shutdown(this->listener.Get(), SHUT_RDWR);
    this->listener.Close();
  } else if (!this->listener.IsOpen()) {
    this->listener = Listen(this->listen);
  }
  return next.refuse || this->listener.IsOpen();
}

std::string Proxy::FormatStats() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  const nlohmann::json value = {
      {"held", this->held},
      {"open", this->open.load()},
      {"accepted", this->counters.accepted.load()},
      {"cut", this->counters.cut.load()},
      {"dropped_responses", this->counters.dropped_responses.load()},
      {"request_bytes", this->counters.request_bytes.load()},
      {"response_bytes", this->counters.response_bytes.load()}};
  return value.dump();
}

ProxyFaults Proxy::CurrentFaults() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->faults;
}

std::optional<HoldRule> Proxy::TakeHold(std::string_view request) {
  std::lock_guard<std::mutex> lock(this->mutex);
  for (const HoldRule& rule : this->faults.holds) {
    int& count = this->taken[rule.match];
    if (request.find(rule.match) == std::string_view::npos ||
        count >= rule.count)
      continue;
    ++count;
    return rule;
  }
  return std::nullopt;
}

bool Proxy::TakeDroppedResponse() {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->faults.dropped_responses <= 0)
    return false;
  --this->faults.dropped_responses;
  return true;
}

Socket Proxy::AcceptOne() {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (!this->listener.IsOpen())
    return Socket();
  return Socket(
      ::accept4(this->listener.Get(), nullptr, nullptr, SOCK_CLOEXEC));
}

void Proxy::Accept() {
  while (!this->stopping) {
    int fd = -1;
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      fd = this->listener.Get();
    }
    // The descriptor may be closed meanwhile; AcceptOne() looks again.
    pollfd polled{fd, POLLIN, 0};
    ::poll(&polled, 1, kPollMs);
    Socket client = this->AcceptOne();
    if (client.IsOpen())
      this->StartForwarding(std::move(client));
  }
}

void Proxy::StartForwarding(Socket client) {
  ++this->counters.accepted;
  ++this->open;
  ProxyHooks hooks;
  hooks.current_faults = [this] { return this->CurrentFaults(); };
  hooks.on_held = [this](const HoldRule& rule) {
    std::lock_guard<std::mutex> lock(this->mutex);
    ++this->held[rule.match];
  };
  hooks.take_hold = [this](std::string_view request) {
    return this->TakeHold(request);
  };
  auto forwarder = std::make_shared<Forwarder>(
      std::move(client), this->target, this->TakeDroppedResponse(),
      std::move(hooks), &this->counters);
  std::thread([this, forwarder] {
    forwarder->Run(this->stopping);
    --this->open;
  }).detach();
}

}  // namespace coltsfootvane::standin
