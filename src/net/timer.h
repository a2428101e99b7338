#ifndef COLTSFOOTVANE_NET_TIMER_H_
#define COLTSFOOTVANE_NET_TIMER_H_

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "base/clock.h"

namespace coltsfootvane::net {

/// A timer on the event loop. A steady_timer that has expired queues its
/// handler, which neither cancelling nor setting the timer again takes back;
/// with this timer only the handler that was set last is called, and none after
/// Cancel() or the end of the timer.
class Timer {
 public:
  explicit Timer(boost::asio::io_context* io);
  explicit Timer(const boost::asio::any_io_executor& executor);
  ~Timer() = default;
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// Calls `handler` once, after `delay`, in place of an earlier one.
  void Set(Milliseconds delay, std::function<void()> handler);
  void Cancel();

 private:
  boost::asio::steady_timer timer;
  /// Number of the current setting. Handlers of others are not called.
  std::shared_ptr<std::uint64_t> setting = std::make_shared<std::uint64_t>(0);
};

}  // namespace coltsfootvane::net

#endif  // COLTSFOOTVANE_NET_TIMER_H_
