#include "dispatch/outliers.h"

#include <algorithm>

namespace coltsfootvane::dispatch {
namespace {

constexpr int kFailuresToEject = 3;
constexpr Milliseconds kFirstEjection{2000};
constexpr Milliseconds kLongestEjection{60000};
constexpr int kMaxDoublings = 5;

Milliseconds EjectionTime(int ejections) {
  const int doublings = std::min(ejections, kMaxDoublings);
  return std::min(kLongestEjection, kFirstEjection * (1 << doublings));
}

}  // namespace

bool ObserveOutcome(OutlierState& outlier, bool failed, TimePoint now) {
  if (!failed) {
    // A late success of an older call does not end an ejection.
    if (!IsEjected(outlier, now))
      outlier = OutlierState{};
    return false;
  }
  ++outlier.consecutive_failures;
  if (IsEjected(outlier, now))
    return false;
  if (!outlier.on_trial && outlier.consecutive_failures < kFailuresToEject)
    return false;
  outlier.ejected_until = now + EjectionTime(outlier.ejections);
  ++outlier.ejections;
  outlier.on_trial = true;
  return true;
}

}  // namespace coltsfootvane::dispatch
