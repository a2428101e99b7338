#ifndef COLTSFOOTVANE_PEER_SILENCE_H_
#define COLTSFOOTVANE_PEER_SILENCE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace coltsfootvane::peer {

/// A pool whose dispatcher has left a request unanswered.
struct SilentPool {
  std::string dispatcher;
  TimePoint next_probe;
};

/// The silent pools, by name.
using SilentPools = std::map<std::string, SilentPool, std::less<>>;

/// Notes that `dispatcher` has left a request for `pool` unanswered. Returns
/// whether this is news.
bool NoteSilence(SilentPools& pools,
                 std::string_view pool,
                 std::string_view dispatcher,
                 TimePoint now);

/// Notes an answer for `pool`.
void NoteAnswer(SilentPools& pools, std::string_view pool);

/// Returns whether `dispatcher`, which dispatches `pool` now, is silent. It is
/// not once the role has moved.
bool IsSilent(const SilentPools& pools,
              std::string_view pool,
              std::string_view dispatcher);

/// Returns whether a request may probe the silent `dispatcher` now: one at a
/// time.
bool TakeProbe(SilentPools& pools,
               std::string_view pool,
               std::string_view dispatcher,
               TimePoint now);

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_SILENCE_H_
