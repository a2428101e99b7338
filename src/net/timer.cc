#include "net/timer.h"

#include <utility>

namespace coltsfootvane::net {

using BoostError = boost::system::error_code;

Timer::Timer(boost::asio::io_context* io) : timer(*io) {}

Timer::Timer(const boost::asio::any_io_executor& executor) : timer(executor) {}

void Timer::Set(Milliseconds delay, std::function<void()> handler) {
  this->timer.expires_after(delay);
  const std::uint64_t own = ++*this->setting;
  std::weak_ptr<std::uint64_t> weak = this->setting;
  this->timer.async_wait([own, weak = std::move(weak),
                          handler = std::move(handler)](const BoostError& ec) {
    const auto current = weak.lock();
    if (!ec && current && *current == own)
      handler();
  });
}

void Timer::Cancel() {
  ++*this->setting;
  this->timer.cancel();
}

}  // namespace coltsfootvane::net
