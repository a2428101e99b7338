#include "daemon/view_check.h"

#include <algorithm>

namespace coltsfootvane::daemon {
namespace {

// Shares of the time within which changes must be in force. What is left after
// the latest check is for the tick, the call and the news to the others.
constexpr double kWatchShare = 0.4;
constexpr double kEarliestCheckShare = 0.5;

Milliseconds Share(Milliseconds limit, double share) {
  return Milliseconds(
      static_cast<std::int64_t>(static_cast<double>(limit.count()) * share));
}

}  // namespace

Milliseconds LatestWatchWait(Milliseconds limit) {
  return std::max(Share(limit, kWatchShare), Milliseconds(1));
}

void RecordConfirmation(TimePoint at,
                        Milliseconds limit,
                        std::mt19937_64* random,
                        ViewCheck* check) {
  if (at <= check->confirmed_at)
    return;
  check->confirmed_at = at;
  std::uniform_real_distribution<double> share(kEarliestCheckShare,
                                               check->latest_share);
  check->check_at = at + Share(limit, share(*random));
}

}  // namespace coltsfootvane::daemon
