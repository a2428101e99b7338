#include "dispatch/outliers.h"

#include <algorithm>
#include <string>
#include <vector>

namespace coltsfootvane::dispatch {
namespace {

constexpr int kFailuresToEject = 3;
constexpr Milliseconds kFirstEjectionTime{2000};
constexpr Milliseconds kMaxEjectionTime{60000};
constexpr int kMaxDoublings = 5;
/// Ejection time of the last usable holder of an item. These short ejections do
/// not count for the exponential back-off.
constexpr Milliseconds kLastHolderEjectionTime{500};
constexpr int kMaxShortEjections = 4;

Milliseconds EjectionTime(const OutlierState& outlier) {
  const int doublings =
      std::min(outlier.ejections - outlier.short_ejections, kMaxDoublings);
  return std::min(kMaxEjectionTime, kFirstEjectionTime * (1 << doublings));
}

bool Contains(const std::vector<std::string>& ids, const std::string& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

bool IsUsable(const PoolState& pool, const std::string& id, TimePoint now) {
  const auto found = pool.endpoints.find(id);
  return found != pool.endpoints.end() && !found->second.leaving &&
         !IsEjected(found->second.outlier, now);
}

void ShortenEjection(OutlierState& outlier) {
  const TimePoint probe_at = outlier.ejected_at + kLastHolderEjectionTime;
  if (outlier.short_ejections >= kMaxShortEjections ||
      outlier.ejected_until <= probe_at)
    return;
  outlier.ejected_until = probe_at;
  ++outlier.short_ejections;
}

}  // namespace

bool RecordOutcome(OutlierState& outlier, bool failed, TimePoint now) {
  if (!failed) {
    // A success of a call that began before the ejection does not end it.
    if (!IsEjected(outlier, now))
      outlier = OutlierState{};
    return false;
  }
  ++outlier.consecutive_failures;
  if (IsEjected(outlier, now))
    return false;
  if (!outlier.probing && outlier.consecutive_failures < kFailuresToEject)
    return false;
  outlier.ejected_at = now;
  outlier.ejected_until = now + EjectionTime(outlier);
  ++outlier.ejections;
  outlier.probing = true;
  return true;
}

void ShortenEjectionsOfLastHolders(PoolState& pool,
                                   const std::string& endpoint_id,
                                   TimePoint now) {
  for (const auto& [item, ids] : pool.holders) {
    if (!Contains(ids, endpoint_id))
      continue;
    const bool any_usable = std::any_of(
        ids.begin(), ids.end(),
        [&pool, now](const auto& id) { return IsUsable(pool, id, now); });
    if (any_usable)
      continue;
    for (const std::string& id : ids) {
      const auto found = pool.endpoints.find(id);
      if (found != pool.endpoints.end())
        ShortenEjection(found->second.outlier);
    }
  }
}

bool HasFailedProbe(const OutlierState& outlier, TimePoint now) {
  return outlier.ejections > 1 &&
         outlier.ejected_until > now + kLastHolderEjectionTime;
}

}  // namespace coltsfootvane::dispatch
