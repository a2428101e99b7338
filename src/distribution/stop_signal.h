#ifndef COLTSFOOTVANE_DISTRIBUTION_STOP_SIGNAL_H_
#define COLTSFOOTVANE_DISTRIBUTION_STOP_SIGNAL_H_

#include <condition_variable>
#include <mutex>

#include "base/clock.h"

namespace coltsfootvane {

/// Tells threads to stop and ends their waits.
class StopSignal {
 public:
  void Stop() {
    {
      std::lock_guard<std::mutex> lock(this->mutex);
      this->stopped = true;
    }
    this->changed.notify_all();
  }

  bool IsStopped() const {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->stopped;
  }

  /// Waits for `delay`, or less if it is stopped.
  void Wait(Milliseconds delay) {
    std::unique_lock<std::mutex> lock(this->mutex);
    this->changed.wait_for(lock, delay, [this] { return this->stopped; });
  }

 private:
  mutable std::mutex mutex;
  std::condition_variable changed;
  bool stopped = false;
};

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_DISTRIBUTION_STOP_SIGNAL_H_
