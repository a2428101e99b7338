#ifndef COLTSFOOTVANE_BASE_RING_H_
#define COLTSFOOTVANE_BASE_RING_H_

#include <boost/circular_buffer.hpp>
#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <utility>

#include "base/clock.h"

namespace coltsfootvane {

/// A bounded queue between threads. A full ring refuses a message; it never
/// blocks the sender, so that one slow duty cannot stop another.
template <class T>
class Ring {
 public:
  explicit Ring(std::size_t capacity) : items(capacity) {}

  /// Returns false if the ring is full or closed.
  bool Push(T item) {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      if (this->closed || this->items.full())
        return false;
      this->items.push_back(std::move(item));
    }
    this->ready.notify_one();
    return true;
  }

  /// Waits for a message until `deadline`. Returns nothing at the deadline, or
  /// once the ring is closed and empty.
  std::optional<T> PopUntil(TimePoint deadline) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->ready.wait_until(lock, deadline, [this] {
      return this->closed || !this->items.empty();
    });
    if (this->items.empty())
      return std::nullopt;
    T item = std::move(this->items.front());
    this->items.pop_front();
    return item;
  }

  /// Wakes every waiter; later pushes are refused.
  void Close() {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->closed = true;
    }
    this->ready.notify_all();
  }

  bool IsClosed() const {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->closed;
  }

 private:
  mutable std::mutex mutex;
  std::condition_variable ready;
  boost::circular_buffer<T> items;
  bool closed = false;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_RING_H_
