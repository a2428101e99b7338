#include "peer/demand_table.h"

namespace coltsfootvane::peer {
namespace {

/// Two report periods and a margin, so that demand survives one lost report.
constexpr Milliseconds kDemandLifetime{2500};
constexpr std::size_t kMaxEntries = 200000;

using ByItem = std::map<std::string, ItemDemand>;

void AddTo(ByItem& sum, const ItemDemand& one) {
  ItemDemand& total = sum[one.item];
  total.item = one.item;
  for (std::size_t i = 0; i < kPriorityCount; ++i)
    total.requests[i] += one.requests[i];
}

std::vector<ItemDemand> ToVector(ByItem&& sum) {
  std::vector<ItemDemand> result;
  result.reserve(sum.size());
  for (auto& [item, demand] : sum)
    result.push_back(std::move(demand));
  return result;
}

}  // namespace

void DemandTable::Add(std::string_view sender,
                      const std::vector<ItemDemand>& demand,
                      TimePoint now) {
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->entries.size() >= kMaxEntries)
    this->entries.clear();
  for (const ItemDemand& one : demand)
    this->entries[{std::string(sender), one.item}] = {one,
                                                      now + kDemandLifetime};
}

std::vector<ItemDemand> DemandTable::Sum(TimePoint now) {
  ByItem sum;
  std::lock_guard<std::mutex> lock(this->mutex);
  for (auto it = this->entries.begin(); it != this->entries.end();) {
    if (it->second.expiry <= now) {
      it = this->entries.erase(it);
      continue;
    }
    AddTo(sum, it->second.demand);
    ++it;
  }
  return ToVector(std::move(sum));
}

std::vector<ItemDemand> AddDemand(const std::vector<ItemDemand>& demand,
                                  const std::vector<ItemDemand>& more) {
  ByItem sum;
  for (const ItemDemand& one : demand)
    AddTo(sum, one);
  for (const ItemDemand& one : more)
    AddTo(sum, one);
  return ToVector(std::move(sum));
}

}  // namespace coltsfootvane::peer
