#ifndef COLTSFOOTVANE_DAEMON_VIEW_CHECK_H_
#define COLTSFOOTVANE_DAEMON_VIEW_CHECK_H_

#include <random>

#include "base/clock.h"

namespace coltsfootvane::daemon {

/// Decides when a daemon that relies on others for changes in the store has to
/// read the latest state itself, because nobody has shown for too long that its
/// view is complete. It does not depend on who the others are and whether their
/// loss has been noticed.
struct ViewCheck {
  /// Shares of the time for changes within which a check is due. One that meets
  /// a silent connection takes 350 ms longer, which a large fleet, whose views
  /// are confirmed more often, leaves room for.
  static constexpr double kUsualShare = 0.7;
  static constexpr double kLargeFleetShare = 0.6;

  TimePoint confirmed_at;  ///< The view is known to be complete up to here.
  TimePoint check_at;      ///< Read the latest state from then on.
  double latest_share = kUsualShare;
};

/// How often those daemons read the latest state that do so for the others.
/// `limit` is the time within which changes must be in force.
Milliseconds LatestWatchWait(Milliseconds limit);

/// Records that the view is complete up to `at`. The daemons of a fleet check
/// at different times, so that the first one can spare the others the call.
void RecordConfirmation(TimePoint at,
                        Milliseconds limit,
                        std::mt19937_64* random,
                        ViewCheck* check);

inline bool IsCheckDue(const ViewCheck& check, TimePoint now) {
  return now >= check.check_at;
}

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_VIEW_CHECK_H_
