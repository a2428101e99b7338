#include "replication/comparison.h"

#include <utility>

namespace coltsfootvane::replication {

void Meet(std::string key,
          std::string_view text,
          Document* document,
          Comparison* comparison) {
  const std::uint64_t digest = DigestOf(key, text);
  comparison->digest += digest;
  const auto found = document->items.find(key);
  if (found == document->items.end()) {
    comparison->changes.push_back({std::move(key), std::string(text), digest});
    return;
  }
  found->second.met_in = comparison->number;
  ++comparison->met;
  if (found->second.digest != digest)
    comparison->changes.push_back({std::move(key), std::string(text), digest});
}

bool FindRemovals(const Document& document, Comparison* comparison) {
  constexpr int kItemsAtOnce = 16;
  if (comparison->met == document.items.size())
    return true;
  auto item = document.items.lower_bound(comparison->removal_from);
  for (int i = 0; i < kItemsAtOnce; ++i, ++item) {
    if (item == document.items.end())
      return true;
    if (item->second.met_in != comparison->number)
      comparison->changes.push_back(MakeChange(item->first, std::nullopt));
  }
  if (item == document.items.end())
    return true;
  comparison->removal_from = item->first;
  return false;
}

}  // namespace coltsfootvane::replication
