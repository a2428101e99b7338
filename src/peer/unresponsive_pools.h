#ifndef COLTSFOOTVANE_PEER_UNRESPONSIVE_POOLS_H_
#define COLTSFOOTVANE_PEER_UNRESPONSIVE_POOLS_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace coltsfootvane::peer {

/// A pool whose dispatcher has left a request unanswered. The dispatcher is
/// probed until it replies.
struct UnresponsivePool {
  std::string dispatcher;
  TimePoint next_probe;
};

/// Pools with an unresponsive dispatcher, by pool name.
using UnresponsivePools = std::map<std::string, UnresponsivePool, std::less<>>;

/// Records that `dispatcher` has left a request for `pool` unanswered. Returns
/// false if it was already marked as unresponsive.
bool MarkUnresponsive(UnresponsivePools& pools,
                      std::string_view pool,
                      std::string_view dispatcher,
                      TimePoint now);

/// Records a reply for `pool`, which ends its unresponsive state.
void RecordReply(UnresponsivePools& pools, std::string_view pool);

/// Returns whether `dispatcher`, the current dispatcher of `pool`, is
/// unresponsive. The mark does not apply to a new dispatcher of the pool.
bool IsUnresponsive(const UnresponsivePools& pools,
                    std::string_view pool,
                    std::string_view dispatcher);

/// Returns true, and starts the next probe period, if a request may probe the
/// unresponsive `dispatcher` now.
bool StartProbe(UnresponsivePools& pools,
                std::string_view pool,
                std::string_view dispatcher,
                TimePoint now);

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_UNRESPONSIVE_POOLS_H_
