#ifndef COLTSFOOTVANE_BASE_CLOCK_H_
#define COLTSFOOTVANE_BASE_CLOCK_H_

#include <time.h>

#include <chrono>

namespace coltsfootvane {

using Clock = std::chrono::steady_clock;
/// A point on the process's monotonic clock. Never sent to another process.
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Returns the time since boot. Unlike Clock::now() it goes on while the
/// machine is suspended, so that a deadline that passed meanwhile has passed.
/// The two are not compared with each other.
inline TimePoint BootNow() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::duration_cast<TimePoint::duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec)));
}

/// Returns the whole milliseconds from `now` to `deadline`, at least 0.
inline Milliseconds TimeLeft(TimePoint deadline, TimePoint now) {
  if (deadline <= now)
    return Milliseconds{0};
  return std::chrono::duration_cast<Milliseconds>(deadline - now);
}

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_CLOCK_H_
