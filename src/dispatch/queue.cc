#include <algorithm>
#include <tuple>

#include "dispatch/lateness.h"
#include "dispatch/outliers.h"
#include "dispatch/pool_state.h"
#include "dispatch/service_rate.h"

namespace coltsfootvane::dispatch {
namespace {

/// Bounds the deficit that a class accumulates while it cannot be served.
constexpr double kMaxDeficit = 8;
constexpr std::size_t kMaxRecordedTurns = 4096;
constexpr std::size_t kNoIndex = static_cast<std::size_t>(-1);

std::uint64_t LastTurn(const std::map<std::string, std::uint64_t>& last_turns,
                       const std::string& key) {
  const auto found = last_turns.find(key);
  return found == last_turns.end() ? 0 : found->second;
}

auto QueueOrderKey(const ClassState& state, const WaitingRequest& queued) {
  const SlotRequest& request = queued.request;
  return std::make_tuple(
      !queued.resumed, LastTurn(state.last_turn_by_item, request.item),
      LastTurn(state.last_turn_by_caller, request.caller), queued.arrival);
}

/// Items without a free holder. Grants never free slots, so an item stays
/// blocked for the rest of the round of grants.
using BlockedItems = std::set<std::string, std::less<>>;

bool CanBeGranted(PoolState& pool,
                  const SlotRequest& request,
                  TimePoint now,
                  BlockedItems& blocked) {
  if (blocked.count(request.item) > 0)
    return false;
  if (ChooseEndpoint(pool, request, now) != nullptr)
    return true;
  if (request.excluded.empty())
    blocked.insert(request.item);
  return false;
}

/// Returns whether the request is skipped until RefuseLateRequests() refuses
/// it: a grant would take the slot of a request that can still meet its target.
bool HasMissedStartDeadline(const WaitingRequest& queued, TimePoint now) {
  return !queued.resumed && queued.start_deadline_enforced &&
         now > queued.start_deadline;
}

/// Returns the index of the waiting request that is served next, or kNoIndex.
std::size_t FindNextInClass(PoolState& pool,
                            const ClassState& state,
                            TimePoint now,
                            BlockedItems& blocked) {
  std::size_t best = kNoIndex;
  for (std::size_t i = 0; i < state.waiting.size(); ++i) {
    const WaitingRequest& queued = state.waiting[i];
    if (blocked.count(queued.request.item) > 0 ||
        HasMissedStartDeadline(queued, now))
      continue;
    if (best != kNoIndex && QueueOrderKey(state, state.waiting[best]) <=
                                QueueOrderKey(state, queued))
      continue;
    if (CanBeGranted(pool, queued.request, now, blocked))
      best = i;
  }
  return best;
}

void RecordTurn(std::map<std::string, std::uint64_t>& last_turns,
                const std::string& key,
                std::uint64_t turn) {
  if (last_turns.size() >= kMaxRecordedTurns && last_turns.count(key) == 0)
    last_turns.clear();
  last_turns[key] = turn;
}

/// Charges a grant to its class and credits each class that has waiting
/// requests with its minimum share of the grant. Other classes lose their
/// deficit.
void UpdateDeficits(PoolState& pool, std::size_t granted_class) {
  for (std::size_t i = 0; i < kPriorityCount; ++i) {
    ClassState& state = pool.classes[i];
    if (i == granted_class)
      state.deficit -= 1;
    if (state.waiting.empty())
      state.deficit = 0;
    else
      state.deficit += state.settings.minimum_share;
    state.deficit = std::clamp(state.deficit, 0.0, kMaxDeficit);
  }
}

SlotAnswer GrantSlot(PoolState& pool,
                     EndpointState& endpoint,
                     std::string_view entry_id,
                     const SlotRequest& request,
                     TimePoint now) {
  Slot slot;
  slot.grant_id = pool.next_grant_id++;
  slot.request_id = request.request_id;
  slot.entry_id = entry_id;
  slot.item = request.item;
  slot.caller = request.caller;
  slot.priority = request.priority;
  slot.start = now;
  slot.deadline = now + kGrantLifetime;
  endpoint.granted.push_back(slot);
  endpoint.limit.peak_in_use = std::max(
      endpoint.limit.peak_in_use, static_cast<int>(endpoint.granted.size()));
  const auto class_index = static_cast<std::size_t>(request.priority);
  ClassState& state = pool.classes[class_index];
  const std::uint64_t turn = ++pool.turn;
  RecordTurn(state.last_turn_by_item, request.item, turn);
  RecordTurn(state.last_turn_by_caller, request.caller, turn);
  RecordGrant(state, request.item, now);
  UpdateDeficits(pool, class_index);
  const auto resumed = pool.resumable.find(CallerRequestId(request.request_id));
  if (resumed != pool.resumable.end())
    pool.resumable.erase(resumed);
  return {SlotVerdict::kGranted, endpoint.id, slot.grant_id, 0};
}

/// Returns the most urgent class that is owed a grant and can be served, or
/// else the most urgent class that can be served, or kNoIndex. `index` receives
/// the index of the request to serve.
std::size_t FindNextClass(PoolState& pool,
                          TimePoint now,
                          BlockedItems& blocked,
                          std::size_t* index) {
  for (const bool only_owed : {true, false}) {
    for (std::size_t i = 0; i < kPriorityCount; ++i) {
      const ClassState& state = pool.classes[i];
      if (only_owed && state.deficit < 1)
        continue;
      *index = FindNextInClass(pool, state, now, blocked);
      if (*index != kNoIndex)
        return i;
    }
  }
  return kNoIndex;
}

bool HasFreeEndpoint(const PoolState& pool, TimePoint now) {
  return std::any_of(
      pool.endpoints.begin(), pool.endpoints.end(),
      [&](const auto& entry) { return IsFree(pool, entry.second, now); });
}

std::optional<SlotAnswer> FindGrant(const PoolState& pool,
                                    std::string_view entry_id,
                                    std::string_view request_id) {
  for (const auto& [id, endpoint] : pool.endpoints) {
    for (const Slot& slot : endpoint.granted) {
      if (slot.request_id == request_id && slot.entry_id == entry_id)
        return SlotAnswer{SlotVerdict::kGranted, id, slot.grant_id, 0};
    }
  }
  return std::nullopt;
}

WaitingRequest* FindWaiting(ClassState& state,
                            std::string_view entry_id,
                            std::string_view request_id) {
  for (WaitingRequest& queued : state.waiting) {
    if (queued.request.request_id == request_id && queued.entry_id == entry_id)
      return &queued;
  }
  return nullptr;
}

/// Refuses the requests of a class that no copy in this pool can serve. Resumed
/// streams stay while the pool has no copy at all, and wait for a new one.
void RefuseWithoutCopy(PoolState& pool,
                       ClassState& state,
                       TimePoint now,
                       std::vector<QueuedAnswer>* refusals) {
  std::vector<WaitingRequest> kept;
  for (WaitingRequest& queued : state.waiting) {
    const SlotRequest& request = queued.request;
    const bool copies_gone =
        !queued.resumed && !HasEligibleHolder(pool, request);
    if (!copies_gone && !HasOnlyIneligibleHolders(pool, request)) {
      kept.push_back(std::move(queued));
      continue;
    }
    refusals->push_back(
        {queued.entry_id,
         request.request_id,
         {SlotVerdict::kNoCopy, "", 0, RetryAfterMs(pool, request, now)}});
  }
  state.waiting = std::move(kept);
}

/// Returns the verdict for a late request. If all copies in this pool fail
/// there is none to wait for, so the entry should try the next pool, however
/// long the request has waited in this one.
SlotVerdict LateVerdict(const PoolState& pool,
                        const SlotRequest& request,
                        TimePoint now) {
  return AllHoldersFailedProbe(pool, request.item, now)
             ? SlotVerdict::kNoCopy
             : SlotVerdict::kDeadline;
}

/// Refuses the requests of a class that are late.
void RefuseLateInClass(PoolState& pool,
                       ClassState& state,
                       TimePoint now,
                       std::vector<QueuedAnswer>* refusals) {
  const std::vector<bool> refused = FindRequestsToRefuse(pool, state, now);
  std::vector<WaitingRequest> kept;
  for (std::size_t i = 0; i < refused.size(); ++i) {
    WaitingRequest& queued = state.waiting[i];
    if (!refused[i]) {
      kept.push_back(std::move(queued));
      continue;
    }
    refusals->push_back({queued.entry_id,
                         queued.request.request_id,
                         {LateVerdict(pool, queued.request, now), "", 0,
                          RetryAfterMs(pool, queued.request, now)}});
  }
  state.waiting = std::move(kept);
}

}  // namespace

std::optional<SlotAnswer> RequestSlot(PoolState& pool,
                                      std::string_view entry_id,
                                      const SlotRequest& request,
                                      TimePoint now) {
  auto existing = FindGrant(pool, entry_id, request.request_id);
  if (existing)
    return existing;
  ClassState& state = pool.classes[static_cast<std::size_t>(request.priority)];
  WaitingRequest* waiting = FindWaiting(state, entry_id, request.request_id);
  if (waiting != nullptr) {
    waiting->last_repeated_at = now;
    return std::nullopt;
  }
  if (!HasEligibleHolder(pool, request))
    return SlotAnswer{SlotVerdict::kNoCopy, "", 0,
                      RetryAfterMs(pool, request, now)};
  // NextGrants() runs after every change of the pool, so no waiting request can
  // use a slot that is free here.
  EndpointState* endpoint = ChooseEndpoint(pool, request, now);
  if (endpoint != nullptr)
    return GrantSlot(pool, *endpoint, entry_id, request, now);
  const bool resumed =
      pool.resumable.count(CallerRequestId(request.request_id)) > 0;
  const auto max_waiting =
      static_cast<std::size_t>(state.settings.queue_length);
  if (!resumed && state.waiting.size() >= max_waiting)
    return SlotAnswer{SlotVerdict::kQueueFull, "", 0,
                      RetryAfterMs(pool, request, now)};
  const TimePoint start_deadline = StartDeadline(pool, request, now);
  if (!resumed && IsTooLateToQueue(pool, state, request, start_deadline, now))
    return SlotAnswer{LateVerdict(pool, request, now), "", 0,
                      RetryAfterMs(pool, request, now)};
  state.waiting.push_back({request, std::string(entry_id), ++pool.turn, resumed,
                           now, now, start_deadline,
                           IsOverloaded(state, request.item, now)});
  return std::nullopt;
}

std::vector<QueuedAnswer> NextGrants(PoolState& pool, TimePoint now) {
  std::vector<QueuedAnswer> grants;
  BlockedItems blocked;
  while (HasFreeEndpoint(pool, now)) {
    std::size_t index = kNoIndex;
    const std::size_t chosen = FindNextClass(pool, now, blocked, &index);
    if (chosen == kNoIndex)
      return grants;
    ClassState& state = pool.classes[chosen];
    const WaitingRequest queued = std::move(state.waiting[index]);
    state.waiting.erase(state.waiting.begin() +
                        static_cast<std::ptrdiff_t>(index));
    EndpointState* endpoint = ChooseEndpoint(pool, queued.request, now);
    if (endpoint == nullptr)
      return grants;
    grants.push_back(
        {queued.entry_id, queued.request.request_id,
         GrantSlot(pool, *endpoint, queued.entry_id, queued.request, now)});
  }
  return grants;
}

std::vector<QueuedAnswer> RefuseLateRequests(PoolState& pool, TimePoint now) {
  std::vector<QueuedAnswer> refusals;
  for (ClassState& state : pool.classes) {
    RefuseWithoutCopy(pool, state, now, &refusals);
    RefuseLateInClass(pool, state, now, &refusals);
  }
  return refusals;
}

void WithdrawRequest(PoolState& pool,
                     std::string_view entry_id,
                     std::string_view request_id) {
  for (ClassState& state : pool.classes) {
    auto& waiting = state.waiting;
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                 [&](const WaitingRequest& queued) {
                                   return queued.entry_id == entry_id &&
                                          queued.request.request_id ==
                                              request_id;
                                 }),
                  waiting.end());
  }
  for (auto& [id, endpoint] : pool.endpoints) {
    auto& granted = endpoint.granted;
    granted.erase(std::remove_if(granted.begin(), granted.end(),
                                 [&](const Slot& slot) {
                                   return slot.entry_id == entry_id &&
                                          slot.request_id == request_id;
                                 }),
                  granted.end());
  }
}

}  // namespace coltsfootvane::dispatch
