#include <algorithm>

#include "dispatch/limits.h"
#include "dispatch/outliers.h"
#include "dispatch/pool_state.h"
#include "dispatch/service_rate.h"

namespace coltsfootvane::dispatch {
namespace {

constexpr int kMissingReportsToFree = 2;
constexpr std::size_t kMaxResumable = 1024;

/// Returns the shortest token gap target of all classes. Limits follow it even
/// while only other classes use the endpoint, so that an urgent request meets
/// its target as soon as it arrives.
Milliseconds StrictestTokenGap(const PoolState& pool) {
  const auto strictest = std::min_element(
      pool.classes.begin(), pool.classes.end(),
      [](const ClassState& a, const ClassState& b) {
        return a.settings.token_gap_ms < b.settings.token_gap_ms;
      });
  return Milliseconds{strictest->settings.token_gap_ms};
}

void RecordRelease(PoolState& pool,
                   EndpointState& endpoint,
                   const Slot& slot,
                   const SlotOutcome& outcome,
                   TimePoint now) {
  ClassState& state = pool.classes[static_cast<std::size_t>(slot.priority)];
  if (outcome.endpoint_leaving)
    SetLeaving(endpoint, true, now);
  const bool ejected =
      RecordOutcome(endpoint.outlier, outcome.endpoint_failed, now);
  if (ejected)
    ShortenEjectionsOfLastHolders(pool, endpoint.id, now);
  if (ejected && endpoint.outlier.ejections == 1)
    endpoint.disrupted_until = endpoint.outlier.ejected_until + kRecoveryTime;
  RecordTokenTime(endpoint.limit, outcome.time_per_token,
                  StrictestTokenGap(pool));
  if (slot.preempted && pool.resumable.size() < kMaxResumable)
    pool.resumable.emplace(CallerRequestId(slot.request_id));
  RecordFirstToken(state, slot.item, outcome.time_to_first_token);
  if (!slot.preempted && !outcome.endpoint_failed)
    RecordHoldTime(state, slot.item, slot.start, now);
}

Slot MakeAdoptedSlot(const HeldSlot& held,
                     std::string_view entry_id,
                     TimePoint now) {
  Slot slot;
  slot.grant_id = held.grant_id;
  slot.request_id = held.request_id;
  slot.entry_id = entry_id;
  slot.item = held.item;
  slot.caller = held.caller;
  slot.priority = held.priority;
  slot.start = now - held.age;
  slot.deadline = now + kGrantLifetime;
  return slot;
}

bool IsPreemptable(const Slot& slot) {
  return slot.priority == Priority::kOvernight && !slot.preempted;
}

int CountUnpreemptedOvernight(const PoolState& pool) {
  int count = 0;
  for (const auto& [id, endpoint] : pool.endpoints) {
    for (const Slot& slot : endpoint.granted)
      count += IsPreemptable(slot) ? 1 : 0;
  }
  return count;
}

int MinimumOvernightSlots(const PoolState& pool, TimePoint now) {
  double limits = 0;
  for (const auto& [id, endpoint] : pool.endpoints)
    limits += CurrentLimit(pool, endpoint, now);
  const auto overnight = static_cast<std::size_t>(Priority::kOvernight);
  const double share = pool.classes[overnight].settings.minimum_share;
  return static_cast<int>(share * limits);
}

/// Returns the number of preempted slots that have not been released yet, by
/// endpoint id. Each will serve one waiting request.
std::map<std::string, int> CountPreempted(const PoolState& pool) {
  std::map<std::string, int> preempted_slots;
  for (const auto& [id, endpoint] : pool.endpoints) {
    for (const Slot& slot : endpoint.granted)
      preempted_slots[id] += slot.preempted ? 1 : 0;
  }
  return preempted_slots;
}

/// Returns the most recently started overnight slot at a usable holder of the
/// item that has not been preempted yet, or null.
Slot* FindLatestOvernight(PoolState& pool,
                          const SlotRequest& request,
                          TimePoint now) {
  Slot* latest = nullptr;
  for (const std::string& id : pool.holders[request.item]) {
    const auto endpoint = pool.endpoints.find(id);
    if (endpoint == pool.endpoints.end() || endpoint->second.leaving ||
        IsEjected(endpoint->second.outlier, now))
      continue;
    for (Slot& slot : endpoint->second.granted) {
      if (!IsPreemptable(slot))
        continue;
      if (latest == nullptr || slot.start > latest->start)
        latest = &slot;
    }
  }
  return latest;
}

/// Subtracts one preempted slot at a holder of the item from the counts.
/// Returns whether there was one.
bool ConsumePreempted(const PoolState& pool,
                      const std::string& item,
                      std::map<std::string, int>* preempted_slots) {
  const auto holders = pool.holders.find(item);
  if (holders == pool.holders.end())
    return false;
  for (const std::string& id : holders->second) {
    const auto found = preempted_slots->find(id);
    if (found == preempted_slots->end() || found->second == 0)
      continue;
    --found->second;
    return true;
  }
  return false;
}

}  // namespace

std::string_view CallerRequestId(std::string_view request_id) {
  const std::size_t last = request_id.find_last_not_of("0123456789");
  const bool numbered = last != std::string_view::npos &&
                        last + 1 < request_id.size() && request_id[last] == '-';
  return numbered ? request_id.substr(0, last) : request_id;
}

void ReleaseSlot(PoolState& pool,
                 std::uint64_t grant_id,
                 const SlotOutcome& outcome,
                 TimePoint now) {
  for (auto& [id, endpoint] : pool.endpoints) {
    const auto slot =
        std::find_if(endpoint.granted.begin(), endpoint.granted.end(),
                     [grant_id](const Slot& candidate) {
                       return candidate.grant_id == grant_id;
                     });
    if (slot == endpoint.granted.end())
      continue;
    const Slot released = *slot;
    endpoint.granted.erase(slot);
    RecordRelease(pool, endpoint, released, outcome, now);
    return;
  }
}

void SetLeaving(EndpointState& endpoint, bool leaving, TimePoint now) {
  if (leaving && !endpoint.leaving)
    endpoint.disrupted_until = now + kReplacementTime + kRecoveryTime;
  endpoint.leaving = leaving;
}

void DiscardSlot(PoolState& pool, std::uint64_t grant_id) {
  for (auto& [id, endpoint] : pool.endpoints) {
    auto& granted = endpoint.granted;
    granted.erase(std::remove_if(granted.begin(), granted.end(),
                                 [grant_id](const Slot& candidate) {
                                   return candidate.grant_id == grant_id;
                                 }),
                  granted.end());
  }
}

std::string FindSlotEndpoint(const PoolState& pool, std::uint64_t grant_id) {
  for (const auto& [id, endpoint] : pool.endpoints) {
    for (const Slot& slot : endpoint.granted) {
      if (slot.grant_id == grant_id)
        return id;
    }
  }
  return {};
}

int ExpireSlots(PoolState& pool, TimePoint now) {
  std::size_t freed = 0;
  for (auto& [id, endpoint] : pool.endpoints) {
    auto& granted = endpoint.granted;
    const std::size_t before = granted.size();
    granted.erase(std::remove_if(granted.begin(), granted.end(),
                                 [now](const Slot& candidate) {
                                   return candidate.deadline <= now;
                                 }),
                  granted.end());
    freed += before - granted.size();
  }
  for (ClassState& state : pool.classes) {
    auto& waiting = state.waiting;
    waiting.erase(std::remove_if(
                      waiting.begin(), waiting.end(),
                      [now](const WaitingRequest& queued) {
                        return queued.request.deadline <= now ||
                               queued.last_repeated_at + kWaitingTimeout <= now;
                      }),
                  waiting.end());
  }
  return static_cast<int>(freed);
}

void ReconcileSlots(PoolState& pool,
                    std::string_view entry_id,
                    gsl::span<const HeldSlot> held,
                    TimePoint now) {
  const bool awaited = pool.awaited_reports.erase(std::string(entry_id)) > 0;
  if (awaited && pool.awaited_reports.empty())
    pool.disrupted_until = std::min(pool.disrupted_until, now + kRecoveryTime);
  std::map<std::uint64_t, const HeldSlot*> unknown;
  for (const HeldSlot& held_slot : held)
    unknown[held_slot.grant_id] = &held_slot;
  for (auto& [id, endpoint] : pool.endpoints) {
    auto& granted = endpoint.granted;
    for (Slot& slot : granted) {
      if (slot.entry_id != entry_id)
        continue;
      if (unknown.erase(slot.grant_id) == 0) {
        ++slot.missing_reports;
        continue;
      }
      slot.missing_reports = 0;
      slot.deadline = now + kGrantLifetime;
    }
    granted.erase(std::remove_if(granted.begin(), granted.end(),
                                 [](const Slot& slot) {
                                   return slot.missing_reports >=
                                          kMissingReportsToFree;
                                 }),
                  granted.end());
  }
  for (const auto& [grant_id, held_slot] : unknown) {
    const auto endpoint = pool.endpoints.find(held_slot->endpoint_id);
    if (endpoint != pool.endpoints.end())
      endpoint->second.granted.push_back(
          MakeAdoptedSlot(*held_slot, entry_id, now));
  }
}

int CountPreemptable(const PoolState& pool,
                     std::string_view item,
                     TimePoint now) {
  const auto holders = pool.holders.find(item);
  if (holders == pool.holders.end())
    return 0;
  int count = 0;
  for (const std::string& id : holders->second) {
    const auto endpoint = pool.endpoints.find(id);
    if (endpoint == pool.endpoints.end() || endpoint->second.leaving ||
        IsEjected(endpoint->second.outlier, now))
      continue;
    for (const Slot& slot : endpoint->second.granted)
      count += slot.priority == Priority::kOvernight ? 1 : 0;
  }
  const int spare =
      CountUnpreemptedOvernight(pool) - MinimumOvernightSlots(pool, now);
  return std::clamp(spare, 0, count);
}

std::vector<PreemptionNotice> ChoosePreemption(PoolState& pool, TimePoint now) {
  std::vector<PreemptionNotice> notices;
  const auto interactive = static_cast<std::size_t>(Priority::kInteractive);
  int spare =
      CountUnpreemptedOvernight(pool) - MinimumOvernightSlots(pool, now);
  std::map<std::string, int> preempted_slots = CountPreempted(pool);
  for (const WaitingRequest& queued : pool.classes[interactive].waiting) {
    if (ConsumePreempted(pool, queued.request.item, &preempted_slots))
      continue;
    if (spare <= 0)
      break;
    Slot* slot = FindLatestOvernight(pool, queued.request, now);
    if (slot == nullptr)
      continue;
    slot->preempted = true;
    --spare;
    notices.push_back({slot->entry_id, slot->request_id, slot->grant_id});
  }
  return notices;
}

}  // namespace coltsfootvane::dispatch
