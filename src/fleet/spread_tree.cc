#include "fleet/spread_tree.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace coltsfootvane::fleet {

std::size_t FanOut(std::size_t daemons) {
  constexpr std::size_t kOneHop = 8;
  constexpr std::size_t kTwoHops = kOneHop * kOneHop;
  if (daemons <= kOneHop)
    return daemons;
  const auto count = static_cast<double>(daemons);
  return static_cast<std::size_t>(
      std::ceil(daemons <= kTwoHops ? std::sqrt(count) : std::cbrt(count)));
}

std::vector<SpreadGroup> SplitForSpread(
    const std::vector<std::uint32_t>& addresses,
    std::size_t fan_out,
    const std::function<TimePoint(std::uint32_t)>& heard_at) {
  std::vector<SpreadGroup> groups(
      std::min(std::max<std::size_t>(fan_out, 1), addresses.size()));
  std::vector<TimePoint> relay_heard_at(groups.size());
  for (std::size_t i = 0; i < addresses.size(); ++i) {
    const std::size_t number = i % groups.size();
    SpreadGroup& group = groups[number];
    const TimePoint heard = heard_at(addresses[i]);
    if (group.relay == 0) {
      group.relay = addresses[i];
      relay_heard_at[number] = heard;
    } else if (heard > relay_heard_at[number]) {
      group.others.push_back(std::exchange(group.relay, addresses[i]));
      relay_heard_at[number] = heard;
    } else {
      group.others.push_back(addresses[i]);
    }
  }
  return groups;
}

}  // namespace coltsfootvane::fleet
