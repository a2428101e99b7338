#include "fleet/placement_news.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace coltsfootvane::fleet {
namespace {

/// Engines, models and adapters in a datagram, which stays below the size at
/// which packets are split.
constexpr std::size_t kMaxItemsPerDatagram = 200;
/// A change is sent this often before it waits for its turn like the others.
constexpr int kSendsOfChange = 2;
/// Bound on what a holder sends to all daemons together.
constexpr double kMaxBytesPerS = 200'000;
/// Fewer are not worth a datagram to each daemon.
constexpr double kMinItemsPerDatagram = 40;
constexpr double kBytesPerItem = 4;

/// Drops the engines that are no longer listed, and marks those that differ
/// from what was published.
void Record(gsl::span<const EnginePlacement> current, PlacementNews* news) {
  std::map<std::uint32_t, PlacementNews::Published> engines;
  for (const EnginePlacement& placement : current) {
    PlacementNews::Published& now = engines[placement.endpoint];
    const auto known = news->engines.find(placement.endpoint);
    if (known != news->engines.end())
      now = known->second;
    if (known != news->engines.end() && now.placement == placement)
      continue;
    now.urgent = now.placement.retiring != placement.retiring;
    now.sends_left = known == news->engines.end() ? 1 : kSendsOfChange;
    now.placement = placement;
  }
  news->engines = std::move(engines);
}

/// Appends the placement and takes its room.
void Take(const EnginePlacement& placement,
          PlacementNews* news,
          std::vector<EnginePlacement>* taken) {
  news->room -= static_cast<double>(CountItems(placement));
  taken->push_back(placement);
}

bool IsTaken(const std::vector<EnginePlacement>& taken,
             std::uint32_t endpoint) {
  return std::any_of(taken.begin(), taken.end(),
                     [endpoint](const EnginePlacement& placement) {
                       return placement.endpoint == endpoint;
                     });
}

/// Takes placements in turn while there is room: those that have changed, or
/// the others.
void TakeInTurn(bool changed,
                PlacementNews* news,
                std::vector<EnginePlacement>* taken) {
  auto next = news->engines.upper_bound(news->last_in_turn);
  for (std::size_t i = 0; i < news->engines.size(); ++i, ++next) {
    if (next == news->engines.end())
      next = news->engines.begin();
    PlacementNews::Published& published = next->second;
    if ((published.sends_left > 0) != changed || IsTaken(*taken, next->first))
      continue;
    if (news->room < static_cast<double>(CountItems(published.placement)))
      return;
    published.sends_left = std::max(0, published.sends_left - 1);
    Take(published.placement, news, taken);
    news->last_in_turn = next->first;
  }
}

}  // namespace

bool operator==(const EnginePlacement& a, const EnginePlacement& b) {
  return a.endpoint == b.endpoint && a.retiring == b.retiring &&
         a.adapters == b.adapters;
}

bool operator<(const PlacementVersion& a, const PlacementVersion& b) {
  return std::tie(a.lease_epoch, a.sequence) <
         std::tie(b.lease_epoch, b.sequence);
}

std::size_t CountItems(const EnginePlacement& placement) {
  return 2 + placement.retiring.size() + placement.adapters.size();
}

void AddRoom(std::size_t daemons, TimePoint now, PlacementNews* news) {
  const std::chrono::duration<double> elapsed = now - news->room_updated;
  const double items_per_s =
      kMaxBytesPerS / kBytesPerItem /
      static_cast<double>(std::max<std::size_t>(1, daemons));
  news->room_updated = now;
  news->room = std::min(static_cast<double>(kMaxItemsPerDatagram),
                        news->room + items_per_s * elapsed.count());
}

std::vector<EnginePlacement> TakeNews(gsl::span<const EnginePlacement> current,
                                      PlacementNews* news) {
  Record(current, news);
  std::vector<EnginePlacement> taken;
  for (auto& [endpoint, published] : news->engines) {
    if (!published.urgent)
      continue;
    Take(published.placement, news, &taken);
    --published.sends_left;
    published.urgent = published.sends_left > 0;
  }
  if (taken.empty() && news->room < kMinItemsPerDatagram)
    return taken;
  TakeInTurn(true, news, &taken);
  TakeInTurn(false, news, &taken);
  return taken;
}

std::vector<std::vector<EnginePlacement>> SplitIntoDatagrams(
    std::vector<EnginePlacement> placements) {
  std::vector<std::vector<EnginePlacement>> datagrams;
  std::size_t items = 0;
  for (EnginePlacement& placement : placements) {
    const std::size_t more = CountItems(placement);
    if (datagrams.empty() || items + more > kMaxItemsPerDatagram) {
      datagrams.emplace_back();
      items = 0;
    }
    items += more;
    datagrams.back().push_back(std::move(placement));
  }
  return datagrams;
}

bool TryApply(std::uint32_t endpoint,
              const PlacementVersion& version,
              AppliedPlacements* applied) {
  const auto [known, inserted] = applied->emplace(endpoint, version);
  if (inserted)
    return true;
  if (!(known->second < version))
    return false;
  known->second = version;
  return true;
}

void ForgetGone(gsl::span<const gateway::EndpointPtr> endpoints,
                AppliedPlacements* applied) {
  if (applied->size() <= 2 * endpoints.size())
    return;
  AppliedPlacements kept;
  for (const gateway::EndpointPtr& endpoint : endpoints) {
    const auto known = applied->find(endpoint->key);
    if (known != applied->end())
      kept.insert(*known);
  }
  *applied = std::move(kept);
}

}  // namespace coltsfootvane::fleet
