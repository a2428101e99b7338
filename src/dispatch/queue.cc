#include <algorithm>
#include <tuple>

#include "dispatch/drain.h"
#include "dispatch/outliers.h"
#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {
namespace {

/// Bounds what a class that cannot be served for a while accumulates.
constexpr double kMaxDeficit = 8;
constexpr std::size_t kMaxServedEntries = 4096;
/// An admitted request whose estimate is just met would be refused, late, by
/// any later rise of the estimate.
constexpr double kAdmissionMargin = 1.5;
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

/// Returns the index of the waiting request that is served next, or kNone.
std::size_t NextOfClass(PoolState& pool,
                        const ClassState& state,
                        TimePoint now,
                        BlockedItems& blocked) {
  std::size_t best = kNone;
  for (std::size_t i = 0; i < state.waiting.size(); ++i) {
    const Waiting& one = state.waiting[i];
    if (blocked.count(one.request.item) > 0)
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
  pool.resumable.erase(request.request_id);
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

bool HasHolder(const PoolState& pool, const SlotRequest& request) {
  const auto holders = pool.holders.find(request.item);
  if (holders == pool.holders.end())
    return false;
  for (const std::string& id : holders->second) {
    const auto endpoint = pool.endpoints.find(id);
    if (endpoint == pool.endpoints.end() || endpoint->second.leaving)
      continue;
    if (std::find(request.excluded.begin(), request.excluded.end(), id) ==
        request.excluded.end())
      return true;
  }
  return false;
}

bool MissesDeadline(const SlotRequest& request,
                    double wait_s,
                    double hold_s,
                    TimePoint now) {
  const double left_s =
      std::chrono::duration<double>(request.deadline - now).count();
  return wait_s + hold_s > left_s;
}

/// Returns whether every holder is ejected and has failed on trial since its
/// first ejection: the failure lasts, and more trials are not waited for.
bool AllFailedTrial(const PoolState& pool,
                    const std::string& item,
                    TimePoint now) {
  const auto holders = pool.holders.find(item);
  if (holders == pool.holders.end())
    return false;
  return std::all_of(holders->second.begin(), holders->second.end(),
                     [&pool, now](const std::string& id) {
                       const auto found = pool.endpoints.find(id);
                       if (found == pool.endpoints.end())
                         return true;
                       const OutlierState& outlier = found->second.outlier;
                       return IsEjected(outlier, now) && outlier.ejections > 1;
                     });
}

bool IsTooLate(const PoolState& pool,
               const ClassState& state,
               const SlotRequest& request,
               TimePoint now) {
  if (AllFailedTrial(pool, request.item, now))
    return true;
  const auto rate = ServiceRate(pool, request.priority, request.item, now);
  const std::size_t ahead = CountWaiting(state, request.item);
  return MissesDeadline(
      request, kAdmissionMargin * ExpectedWaitSeconds(rate, ahead),
      HoldSeconds(pool, request.priority, request.item, now), now);
}

/// Returns which waiting requests would miss their deadlines; requests for
/// `tight_items` need the margin of admission.
std::vector<bool> FindLate(const PoolState& pool,
                           const ClassState& state,
                           const std::set<std::string>& tight_items,
                           TimePoint now) {
  struct Estimate {
    std::optional<double> rate;
    double hold_s = 0;
    std::size_t ahead = 0;
    bool all_failed = false;
  };
  std::map<std::string, Estimate> estimates;
  std::vector<bool> late;
  late.reserve(state.waiting.size());
  for (const Waiting& one : state.waiting) {
    const SlotRequest& request = one.request;
    const auto [found, is_new] = estimates.try_emplace(request.item);
    Estimate& estimate = found->second;
    if (is_new) {
      estimate.rate = ServiceRate(pool, request.priority, request.item, now);
      estimate.hold_s = HoldSeconds(pool, request.priority, request.item, now);
      estimate.all_failed = AllFailedTrial(pool, request.item, now);
    }
    const double margin =
        tight_items.count(request.item) > 0 ? kAdmissionMargin : 1;
    const double wait_s =
        margin * ExpectedWaitSeconds(estimate.rate, estimate.ahead);
    const bool missed = estimate.all_failed || !HasHolder(pool, request) ||
                        MissesDeadline(request, wait_s, estimate.hold_s, now);
    late.push_back(!one.resumed && missed);
    estimate.ahead += late.back() ? 0 : 1;
  }
  return late;
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
  const bool resumed = pool.resumable.count(request.request_id) > 0;
  const auto bound = static_cast<std::size_t>(state.settings.queue_length);
  if (!resumed && state.waiting.size() >= bound)
    return SlotAnswer{SlotVerdict::kQueueFull, "", 0,
                      RetryAfterMs(pool, request, now)};
  if (!resumed && IsTooLate(pool, state, request, now))
    return SlotAnswer{SlotVerdict::kDeadline, "", 0,
                      RetryAfterMs(pool, request, now)};
  state.waiting.push_back(
      {request, std::string(entry_id), ++pool.turn, resumed, now});
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
    // Where one request is late, those that would be next are refused as well
    // and not one by one, close to their deadlines.
    const std::vector<bool> late = FindLate(pool, state, {}, now);
    std::set<std::string> late_items;
    for (std::size_t i = 0; i < late.size(); ++i) {
      if (late[i])
        late_items.insert(state.waiting[i].request.item);
    }
    if (late_items.empty())
      continue;
    const std::vector<bool> refused = FindLate(pool, state, late_items, now);
    std::vector<Waiting> kept;
    for (std::size_t i = 0; i < refused.size(); ++i) {
      Waiting& one = state.waiting[i];
      if (!refused[i]) {
        kept.push_back(std::move(one));
        continue;
      }
      const SlotVerdict verdict = HasHolder(pool, one.request)
                                      ? SlotVerdict::kDeadline
                                      : SlotVerdict::kNoCopy;
      refusals.push_back(
          {one.entry_id,
           one.request.request_id,
           {verdict, "", 0, RetryAfterMs(pool, one.request, now)}});
    }
    state.waiting = std::move(kept);
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
