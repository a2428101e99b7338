#ifndef COLTSFOOTVANE_BASE_TIME_SLICE_H_
#define COLTSFOOTVANE_BASE_TIME_SLICE_H_

#include "base/clock.h"

namespace coltsfootvane {

/// Bounds how long one turn of an event loop works at something long. What
/// waits in the loop has its turn between two slices.
struct TimeSlice {
  TimePoint ends;
  int steps = 0;  ///< Since the clock was read last.
};

inline constexpr Milliseconds kTimeSlice{5};

inline TimeSlice BeginSlice(TimePoint now) {
  return {now + kTimeSlice, 0};
}

/// Records a short step of the work. Returns whether the slice is used up.
inline bool IsUsedUp(TimeSlice* slice) {
  constexpr int kStepsBetweenReadings = 8;
  if (++slice->steps < kStepsBetweenReadings)
    return false;
  slice->steps = 0;
  return BootNow() >= slice->ends;
}

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_BASE_TIME_SLICE_H_
