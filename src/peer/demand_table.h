#ifndef COLTSFOOTVANE_PEER_DEMAND_TABLE_H_
#define COLTSFOOTVANE_PEER_DEMAND_TABLE_H_

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "placement/demand.h"

namespace coltsfootvane::peer {

/// The demand per member and item, as reported to the planner. Thread safe.
class DemandTable {
 public:
  void Add(std::string_view sender,
           const std::vector<ItemDemand>& demand,
           TimePoint now);

  /// Returns the demand per item, summed over all reports that have not
  /// expired.
  std::vector<ItemDemand> Sum(TimePoint now);

 private:
  struct Entry {
    ItemDemand demand;
    TimePoint expiry;
  };

  std::mutex mutex;
  std::map<std::pair<std::string, std::string>, Entry> entries;
};

/// Returns the sum of `demand` and `more` per item.
std::vector<ItemDemand> AddDemand(const std::vector<ItemDemand>& demand,
                                  const std::vector<ItemDemand>& more);

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_DEMAND_TABLE_H_
