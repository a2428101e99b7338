#ifndef COLTSFOOTVANE_BASE_CLOCK_H_
#define COLTSFOOTVANE_BASE_CLOCK_H_

#include <chrono>

namespace coltsfootvane {

using Clock = std::chrono::steady_clock;
/// A point on the process's monotonic clock. Never sent to another process.
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/// Returns the whole milliseconds from `now` to `deadline`, at least 0.
inline Milliseconds TimeLeft(TimePoint deadline, TimePoint now) {
  if (deadline <= now)
    return Milliseconds{0};
  return std::chrono::duration_cast<Milliseconds>(deadline - now);
}

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_CLOCK_H_
