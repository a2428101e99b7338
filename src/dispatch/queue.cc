#include <algorithm>
#include <tuple>

#include "dispatch/drain.h"
#include "dispatch/lateness.h"
#include "dispatch/outliers.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {
namespace {

/// Bounds what a class that cannot be served for a while accumulates.
constexpr double kMaxDeficit = 8;
constexpr std::size_t kMaxServedEntries = 4096;
constexpr std::size_t kNone = static_cast<std::size_t>(-1);

std::uint64_t LastTurn(const std::map<std::string, std::uint64_t>& served,
                       const std::string& key) {
  const auto found = served.find(key);
  return found == served.end() ? 0 : found->second;
}

auto OrderKey(const ClassState& state, const Waiting& one) {
  const SlotRequest& request = one.request;
  return std::make_tuple(
      !one.resumed, LastTurn(state.item_served, request.item),
      LastTurn(state.caller_served, request.caller), one.arrival);
}

/// Items without a free holder. Grants only take slots, so an item stays
/// blocked until the next change of the pool.
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

/// Such a request would take the slot of one that can still meet its target; it
/// is refused by RefuseLate().
bool MissedStart(const Waiting& one, TimePoint now) {
  return !one.resumed && one.held_to_start && now > one.start_deadline;
}

/// Returns the index of the waiting request that is served next, or kNone.
std::size_t NextOfClass(PoolState& pool,
                        const ClassState& state,
                        TimePoint now,
                        BlockedItems& blocked) {
  std::size_t best = kNone;
  for (std::size_t i = 0; i < state.waiting.size(); ++i) {
    const Waiting& one = state.waiting[i];
    if (blocked.count(one.request.item) > 0 || MissedStart(one, now))
      continue;
    if (best != kNone &&
        OrderKey(state, state.waiting[best]) <= OrderKey(state, one))
      continue;
    if (CanBeGranted(pool, one.request, now, blocked))
      best = i;
  }
  return best;
}

void RememberTurn(std::map<std::string, std::uint64_t>& served,
                  const std::string& key,
                  std::uint64_t turn) {
  if (served.size() >= kMaxServedEntries && served.count(key) == 0)
    served.clear();
  served[key] = turn;
}

/// Owes every other class that waits its share of this grant.
void CountShares(PoolState& pool, std::size_t granted_class) {
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

SlotAnswer AddSlot(PoolState& pool,
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
  slot.deadline = now + kGrantTime;
  endpoint.granted.push_back(slot);
  endpoint.limit.peak_in_use = std::max(
      endpoint.limit.peak_in_use, static_cast<int>(endpoint.granted.size()));
  const auto class_index = static_cast<std::size_t>(request.priority);
  ClassState& state = pool.classes[class_index];
  const std::uint64_t turn = ++pool.turn;
  RememberTurn(state.item_served, request.item, turn);
  RememberTurn(state.caller_served, request.caller, turn);
  ObserveGrant(state, request.item, now);
  CountShares(pool, class_index);
  const auto resumed = pool.resumable.find(CallerRequestId(request.request_id));
  if (resumed != pool.resumable.end())
    pool.resumable.erase(resumed);
  return {SlotVerdict::kGranted, endpoint.id, slot.grant_id, 0};
}

/// Returns the class that is owed a grant and can be served, then the most
/// urgent one that can be served. `index` receives the request.
std::size_t NextClass(PoolState& pool,
                      TimePoint now,
                      BlockedItems& blocked,
                      std::size_t* index) {
  for (const bool owed : {true, false}) {
    for (std::size_t i = 0; i < kPriorityCount; ++i) {
      const ClassState& state = pool.classes[i];
      if (owed && state.deficit < 1)
        continue;
      *index = NextOfClass(pool, state, now, blocked);
      if (*index != kNone)
        return i;
    }
  }
  return kNone;
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

Waiting* FindWaiting(ClassState& state,
                     std::string_view entry_id,
                     std::string_view request_id) {
  for (Waiting& one : state.waiting) {
    if (one.request.request_id == request_id && one.entry_id == entry_id)
      return &one;
  }
  return nullptr;
}

/// Removes the requests that no copy in this pool can serve.
void RefuseWithoutCopy(PoolState& pool,
                       ClassState& state,
                       TimePoint now,
                       std::vector<Grant>* refusals) {
  std::vector<Waiting> kept;
  for (Waiting& one : state.waiting) {
    const SlotRequest& request = one.request;
    const bool copies_gone = !one.resumed && !HasHolder(pool, request);
    if (!copies_gone && !CannotUseCopies(pool, request)) {
      kept.push_back(std::move(one));
      continue;
    }
    refusals->push_back(
        {one.entry_id,
         request.request_id,
         {SlotVerdict::kNoCopy, "", 0, RetryAfterMs(pool, request, now)}});
  }
  state.waiting = std::move(kept);
}

/// A pool whose copies all fail has no copy to wait for, so the caller asks the
/// next pool however long it has waited in this one.
SlotVerdict LateVerdict(const PoolState& pool,
                        const SlotRequest& request,
                        TimePoint now) {
  return AllFailedTrial(pool, request.item, now) ? SlotVerdict::kNoCopy
                                                 : SlotVerdict::kDeadline;
}

/// Removes the requests of a class that are late.
void RefuseLateOf(PoolState& pool,
                  ClassState& state,
                  TimePoint now,
                  std::vector<Grant>* refusals) {
  const std::vector<bool> refused = FindRefused(pool, state, now);
  std::vector<Waiting> kept;
  for (std::size_t i = 0; i < refused.size(); ++i) {
    Waiting& one = state.waiting[i];
    if (!refused[i]) {
      kept.push_back(std::move(one));
      continue;
    }
    refusals->push_back({one.entry_id,
                         one.request.request_id,
                         {LateVerdict(pool, one.request, now), "", 0,
                          RetryAfterMs(pool, one.request, now)}});
  }
  state.waiting = std::move(kept);
}

}  // namespace

std::optional<SlotAnswer> AskSlot(PoolState& pool,
                                  std::string_view entry_id,
                                  const SlotRequest& request,
                                  TimePoint now) {
  auto known = FindGrant(pool, entry_id, request.request_id);
  if (known)
    return known;
  ClassState& state = pool.classes[static_cast<std::size_t>(request.priority)];
  Waiting* waiting = FindWaiting(state, entry_id, request.request_id);
  if (waiting != nullptr) {
    waiting->heard = now;
    return std::nullopt;
  }
  if (!HasHolder(pool, request))
    return SlotAnswer{SlotVerdict::kNoCopy, "", 0,
                      RetryAfterMs(pool, request, now)};
  // Callers grant free slots with NextGrants() after every change, so a free
  // slot here is one that no waiting request can use.
  EndpointState* endpoint = ChooseEndpoint(pool, request, now);
  if (endpoint != nullptr)
    return AddSlot(pool, *endpoint, entry_id, request, now);
  const bool resumed =
      pool.resumable.count(CallerRequestId(request.request_id)) > 0;
  const auto bound = static_cast<std::size_t>(state.settings.queue_length);
  if (!resumed && state.waiting.size() >= bound)
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

std::vector<Grant> NextGrants(PoolState& pool, TimePoint now) {
  std::vector<Grant> grants;
  BlockedItems blocked;
  while (HasFreeEndpoint(pool, now)) {
    std::size_t index = kNone;
    const std::size_t chosen = NextClass(pool, now, blocked, &index);
    if (chosen == kNone)
      return grants;
    ClassState& state = pool.classes[chosen];
    const Waiting one = std::move(state.waiting[index]);
    state.waiting.erase(state.waiting.begin() +
                        static_cast<std::ptrdiff_t>(index));
    EndpointState* endpoint = ChooseEndpoint(pool, one.request, now);
    if (endpoint == nullptr)
      return grants;
    grants.push_back(
        {one.entry_id, one.request.request_id,
         AddSlot(pool, *endpoint, one.entry_id, one.request, now)});
  }
  return grants;
}

std::vector<Grant> RefuseLate(PoolState& pool, TimePoint now) {
  std::vector<Grant> refusals;
  for (ClassState& state : pool.classes) {
    RefuseWithoutCopy(pool, state, now, &refusals);
    RefuseLateOf(pool, state, now, &refusals);
  }
  return refusals;
}

void WithdrawRequest(PoolState& pool,
                     std::string_view entry_id,
                     std::string_view request_id) {
  for (ClassState& state : pool.classes) {
    auto& waiting = state.waiting;
    waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                                 [&](const Waiting& one) {
                                   return one.entry_id == entry_id &&
                                          one.request.request_id == request_id;
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
