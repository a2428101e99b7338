#include "gateway/route_set.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "base/digest.h"
#include "net/message.h"

namespace coltsfootvane::gateway {
namespace {

/// So many that a shard of 10,000 routes has some ten.
constexpr std::size_t kShards = 1024;

std::string LowerCase(std::string_view text) {
  std::string lower(text);
  for (char& c : lower)
    c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
  return lower;
}

std::size_t ShardOf(std::string_view lower_host, std::string_view prefix) {
  return Hash64(prefix, Hash64(lower_host)) % kShards;
}

bool HasPlace(const Route& route,
              std::string_view host,
              std::string_view prefix) {
  return route.path_prefix == prefix &&
         net::EqualsIgnoringCase(route.host, host);
}

RouteSet::Shard::iterator Find(const Route& route, RouteSet::Shard* shard) {
  return std::find_if(shard->begin(), shard->end(),
                      [&route](const std::shared_ptr<const Route>& one) {
                        return one->name == route.name &&
                               HasPlace(*one, route.host, route.path_prefix);
                      });
}

}  // namespace

RouteSet::RouteSet(std::initializer_list<Route> routes) {
  for (const Route& route : routes)
    PutRoute(route, this);
}

void PutRoute(Route route, RouteSet* set) {
  set->shards.resize(kShards);
  RouteSet::Shard& shard =
      set->shards[ShardOf(LowerCase(route.host), route.path_prefix)].Edit();
  const auto found = Find(route, &shard);
  const std::size_t length = route.path_prefix.size();
  auto added = std::make_shared<const Route>(std::move(route));
  if (found != shard.end()) {
    *found = std::move(added);
    return;
  }
  shard.push_back(std::move(added));
  ++set->prefix_lengths[length];
  ++set->size;
}

void RemoveRoute(const Route& route, RouteSet* set) {
  if (set->shards.empty())
    return;
  RouteSet::Shard& shard =
      set->shards[ShardOf(LowerCase(route.host), route.path_prefix)].Edit();
  const auto found = Find(route, &shard);
  if (found == shard.end())
    return;
  const auto length = set->prefix_lengths.find(route.path_prefix.size());
  if (--length->second == 0)
    set->prefix_lengths.erase(length);
  shard.erase(found);
  --set->size;
}

const Route* FindRoute(const RouteSet& set,
                       std::string_view host,
                       std::string_view path) {
  const std::string lower_host = LowerCase(host);
  for (const auto& [length, count] : set.prefix_lengths) {
    if (length > path.size())
      continue;
    const std::string_view prefix = path.substr(0, length);
    const Route* first = nullptr;
    for (const auto& route : *set.shards[ShardOf(lower_host, prefix)]) {
      const bool matches = HasPlace(*route, lower_host, prefix);
      if (matches && (first == nullptr || route->name < first->name))
        first = route.get();
    }
    if (first != nullptr)
      return first;
  }
  return nullptr;
}

void VisitRoutes(const RouteSet& set,
                 const std::function<void(const Route&)>& visit) {
  for (const CopyOnWrite<RouteSet::Shard>& shard : set.shards) {
    for (const auto& route : *shard)
      visit(*route);
  }
}

}  // namespace coltsfootvane::gateway
