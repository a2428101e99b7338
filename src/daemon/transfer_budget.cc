#include "daemon/transfer_budget.h"

#include <algorithm>

namespace coltsfootvane::daemon {
namespace {

/// Half of a link of 10 Mbit/s.
constexpr double kTransferBytesPerS = 600'000;
/// What may be on its way at once. A single transfer may be longer.
constexpr double kMaxTransferBacklog = 300'000;

}  // namespace

bool TryTransfer(std::size_t bytes, TimePoint now, TransferBudget* budget) {
  const std::chrono::duration<double> passed = now - budget->updated;
  budget->bytes =
      std::max(0.0, budget->bytes - passed.count() * kTransferBytesPerS);
  budget->updated = now;
  if (budget->bytes > kMaxTransferBacklog)
    return false;
  budget->bytes += static_cast<double>(bytes);
  return true;
}

}  // namespace coltsfootvane::daemon
