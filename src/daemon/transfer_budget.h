#ifndef COLTSFOOTVANE_DAEMON_TRANSFER_BUDGET_H_
#define COLTSFOOTVANE_DAEMON_TRANSFER_BUDGET_H_

#include <cstddef>

#include "base/clock.h"

namespace coltsfootvane::daemon {

/// Bounds what a daemon hands to others, so that its link stays free for
/// requests.
struct TransferBudget {
  double bytes = 0;  ///< Handed out and not yet paid off.
  TimePoint updated;
};

/// Records a transfer. Returns false if too many are in progress.
bool TryTransfer(std::size_t bytes, TimePoint now, TransferBudget* budget);

}  // namespace coltsfootvane::daemon

#endif  // COLTSFOOTVANE_DAEMON_TRANSFER_BUDGET_H_
