#ifndef COLTSFOOTVANE_FLEET_SPREAD_TREE_H_
#define COLTSFOOTVANE_FLEET_SPREAD_TREE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "base/clock.h"

namespace coltsfootvane::fleet {

/// A daemon that a datagram is sent to, and those that it passes it on to.
struct SpreadGroup {
  std::uint32_t relay = 0;
  std::vector<std::uint32_t> others;
};

/// Returns to how many daemons each sends a datagram that reaches `daemons`
/// over at most three hops. With one hop the sender's link would carry all
/// copies.
std::size_t FanOut(std::size_t daemons);

/// Splits the addresses into at most `fan_out` groups of about the same size.
/// The relay of each is the one that was heard last, since a daemon that is
/// lost without notice would keep the datagram from its group.
std::vector<SpreadGroup> SplitForSpread(
    const std::vector<std::uint32_t>& addresses,
    std::size_t fan_out,
    const std::function<TimePoint(std::uint32_t)>& heard_at);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_SPREAD_TREE_H_
