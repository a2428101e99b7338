#include "peer/dispatcher.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/digest.h"
#include "dispatch/events.h"
#include "membership/member_table.h"

namespace coltsfootvane::peer {
namespace {

constexpr std::size_t kMaxInputs = 8192;
constexpr std::size_t kMaxEntries = 4096;
constexpr Milliseconds kTickPeriod{50};
/// Period of checking the estimated waits; bounds the time between a worse
/// estimate and the refusal of a waiting request.
constexpr Milliseconds kRefusalPeriod{250};
/// A pool that another member dispatches is kept for this long after its last
/// use, so that its grants can end.
constexpr Milliseconds kPoolRetention{12000};

std::set<std::string> UsableIds(const MemberView& view) {
  std::set<std::string> ids;
  for (const membership::Member& member : view.members) {
    if (membership::IsUsable(member))
      ids.insert(member.id);
  }
  return ids;
}

/// Returns a random start, because grant ids must be unique across dispatchers
/// and restarts: a new dispatcher adopts reported grants by id.
std::uint64_t FirstGrantId() {
  constexpr std::uint64_t kMask = 0x7fffffff;
  return (Hash64(RandomId()) & kMask) << 32 | 1;
}

}  // namespace

Dispatcher::Dispatcher(std::string self_id,
                       RouteCache* routes,
                       const MemberViewHolder* members,
                       DispatcherOutputs outputs)
    : self_id(std::move(self_id)),
      routes(routes),
      members(members),
      dispatchers(members),
      outputs(std::move(outputs)),
      inputs(kMaxInputs) {}

Dispatcher::~Dispatcher() {
  this->Stop();
}

void Dispatcher::Start() {
  this->thread = std::thread([this] { this->Run(); });
}

void Dispatcher::Stop() {
  this->inputs.Close();
  if (this->thread.joinable())
    this->thread.join();
}

bool Dispatcher::Push(DispatchInput input) {
  return this->inputs.Push(std::move(input));
}

void Dispatcher::Run() {
  TimePoint next_tick = Clock::now();
  while (!this->inputs.IsClosed()) {
    const auto input = this->inputs.PopUntil(next_tick);
    const TimePoint now = Clock::now();
    std::lock_guard<std::mutex> lock(this->mutex);
    if (input)
      this->Handle(*input, now);
    if (now < next_tick)
      continue;
    this->Tick(now);
    next_tick = now + kTickPeriod;
  }
}

void Dispatcher::Handle(const DispatchInput& input, TimePoint now) {
  if (this->leaving)
    return;
  if (this->entries.size() >= kMaxEntries)
    this->entries.clear();
  this->entries[input.entry_id] = input.entry_address;
  if (const auto* request =
          std::get_if<dispatch::SlotRequestMessage>(&input.message))
    this->OnSlotRequest(input, *request, now);
  else if (const auto* release =
               std::get_if<dispatch::SlotReleaseMessage>(&input.message))
    this->OnSlotRelease(input, *release, now);
  else if (const auto* report =
               std::get_if<dispatch::HeldSlotsMessage>(&input.message))
    this->OnHeldSlots(input, *report, now);
}

void Dispatcher::OnSlotRequest(const DispatchInput& input,
                               const dispatch::SlotRequestMessage& request,
                               TimePoint now) {
  OwnedPool* owned = this->GetOrCreatePool(request.pool, now);
  if (owned == nullptr)
    return;
  const auto answer =
      dispatch::RequestSlot(owned->state, input.entry_id, request.request, now);
  dispatch::SlotReplyMessage reply;
  reply.pool = request.pool;
  reply.request_id = request.request.request_id;
  reply.queued = !answer;
  if (answer)
    reply.answer = *answer;
  reply.pool_load_percent = dispatch::LoadPercent(owned->state, now);
  this->Reply(input.entry_id, std::move(reply));
  if (!answer)
    this->SendPreemptions(*owned, now);
}

void Dispatcher::OnSlotRelease(const DispatchInput& input,
                               const dispatch::SlotReleaseMessage& release,
                               TimePoint now) {
  const auto found = this->pools.find(release.pool);
  if (found == this->pools.end())
    return;
  dispatch::PoolState& pool = found->second.state;
  if (release.withdrawn && release.grant_id == 0) {
    dispatch::WithdrawRequest(pool, input.entry_id, release.request_id);
  } else if (release.withdrawn) {
    dispatch::DiscardSlot(pool, release.grant_id);
  } else {
    if (release.outcome.endpoint_leaving) {
      const std::string endpoint =
          dispatch::FindSlotEndpoint(pool, release.grant_id);
      if (!endpoint.empty())
        this->outputs.endpoint_leaving(endpoint);
    }
    dispatch::ReleaseSlot(pool, release.grant_id, release.outcome, now);
  }
  this->SendGrants(found->second, now);
}

void Dispatcher::OnHeldSlots(const DispatchInput& input,
                             const dispatch::HeldSlotsMessage& report,
                             TimePoint now) {
  // Entries also send empty reports, to the dispatcher in their own view. An
  // empty report must not make this daemon take over a pool or extend its
  // retention.
  if (report.held.empty() && this->pools.count(report.pool) == 0)
    return;
  OwnedPool* owned = this->GetOrCreatePool(report.pool, now);
  if (owned == nullptr)
    return;
  const std::pair<std::string, std::string> key{report.pool, input.entry_id};
  if (this->reports.size() >= kMaxEntries && this->reports.count(key) == 0)
    this->reports.clear();
  PartialReport& partial = this->reports[key];
  if (partial.round != report.round)
    partial = PartialReport{report.round, {}, {}};
  if (!partial.chunks.insert(report.chunk).second)
    return;
  partial.held.insert(partial.held.end(), report.held.begin(),
                      report.held.end());
  if (partial.chunks.size() < static_cast<std::size_t>(report.chunks))
    return;
  dispatch::ReconcileSlots(owned->state, input.entry_id, partial.held, now);
  this->reports.erase(key);
  this->SendGrants(*owned, now);
}

Dispatcher::OwnedPool* Dispatcher::GetOrCreatePool(const std::string& name,
                                                   TimePoint now) {
  const auto found = this->pools.find(name);
  if (found != this->pools.end()) {
    found->second.last_used = now;
    this->UpdateRole(found->second, now);
    return &found->second;
  }
  // An entry's view may make this daemon the dispatcher before its own view
  // does.
  const auto routes = this->routes->Get();
  const dispatch::Pool* pool = dispatch::FindPool(*routes, name);
  if (pool == nullptr)
    return nullptr;
  OwnedPool& owned = this->pools[name];
  owned.last_used = now;
  owned.state.name = name;
  owned.state.next_grant_id = FirstGrantId();
  dispatch::StartTakeover(owned.state, UsableIds(*this->members->Get()), now);
  owned.is_dispatcher = this->IsDispatcherOf(*pool);
  this->Sync(owned, routes, now);
  LogEvent(dispatch::kPoolTaken, "pool=" + name);
  return &owned;
}

bool Dispatcher::IsDispatcherOf(const dispatch::Pool& pool) {
  const auto member = this->dispatchers.Get(pool);
  return member && member->id == this->self_id;
}

void Dispatcher::UpdateRole(OwnedPool& owned, TimePoint now) {
  const auto routes = this->routes->Get();
  const dispatch::Pool* pool = dispatch::FindPool(*routes, owned.state.name);
  const bool is_dispatcher = pool != nullptr && this->IsDispatcherOf(*pool);
  // A pool that is kept from an earlier time as its dispatcher lacks the grants
  // that other dispatchers have made since.
  if (is_dispatcher && !owned.is_dispatcher)
    dispatch::StartTakeover(owned.state, UsableIds(*this->members->Get()), now);
  owned.is_dispatcher = is_dispatcher;
}

void Dispatcher::Sync(OwnedPool& owned,
                      const std::shared_ptr<const dispatch::Routes>& routes,
                      TimePoint now) {
  const dispatch::Pool* pool = dispatch::FindPool(*routes, owned.state.name);
  if (pool != nullptr)
    dispatch::SyncPool(owned.state, *pool, *routes->view,
                       this->members->Get()->leaving_endpoints, now);
  owned.synced_routes = routes;
}

void Dispatcher::UpdateRoles(const dispatch::Routes& routes, TimePoint now) {
  for (const dispatch::Pool& pool : routes.pools) {
    const auto found = this->pools.find(pool.name);
    if (this->IsDispatcherOf(pool))
      this->GetOrCreatePool(pool.name, now);
    else if (found != this->pools.end())
      found->second.is_dispatcher = false;
  }
}

void Dispatcher::DropUnusedPools(const dispatch::Routes& routes,
                                 TimePoint now) {
  for (auto it = this->pools.begin(); it != this->pools.end();) {
    const bool exists = dispatch::FindPool(routes, it->first) != nullptr;
    const bool used = it->second.last_used + kPoolRetention > now;
    if (exists && used && !this->leaving) {
      ++it;
      continue;
    }
    LogEvent(dispatch::kPoolLeft, "pool=" + it->first);
    it = this->pools.erase(it);
  }
}

void Dispatcher::Tick(TimePoint now) {
  const auto routes = this->routes->Get();
  if (!this->leaving)
    this->UpdateRoles(*routes, now);
  this->DropUnusedPools(*routes, now);
  for (auto& [name, owned] : this->pools) {
    if (owned.synced_routes != routes)
      this->Sync(owned, routes, now);
    const int expired = dispatch::ExpireSlots(owned.state, now);
    if (expired > 0)
      LogEvent(dispatch::kSlotsExpired,
               "pool=" + name + " slots=" + std::to_string(expired));
    dispatch::AdjustLimits(owned.state, now);
    this->SendGrants(owned, now);
    this->SendPreemptions(owned, now);
    if (now < owned.next_refusal_check)
      continue;
    owned.next_refusal_check = now + kRefusalPeriod;
    this->SendAnswers(owned, dispatch::RefuseLateRequests(owned.state, now),
                      now);
  }
}

void Dispatcher::SendAnswers(const OwnedPool& owned,
                             std::vector<dispatch::QueuedAnswer> answers,
                             TimePoint now) {
  for (dispatch::QueuedAnswer& one : answers) {
    dispatch::SlotReplyMessage reply;
    reply.pool = owned.state.name;
    reply.request_id = std::move(one.request_id);
    reply.answer = std::move(one.answer);
    reply.pool_load_percent = dispatch::LoadPercent(owned.state, now);
    this->Reply(one.entry_id, std::move(reply));
  }
}

void Dispatcher::SendGrants(OwnedPool& owned, TimePoint now) {
  this->SendAnswers(owned, dispatch::NextGrants(owned.state, now), now);
}

void Dispatcher::SendPreemptions(OwnedPool& owned, TimePoint now) {
  for (const dispatch::PreemptionNotice& notice :
       dispatch::ChoosePreemption(owned.state, now)) {
    PeerMessage message;
    message.preemption =
        dispatch::PreemptionMessage{notice.request_id, notice.grant_id};
    this->outputs.send(notice.entry_id, this->entries[notice.entry_id],
                       std::move(message));
  }
}

void Dispatcher::Reply(const std::string& entry_id,
                       dispatch::SlotReplyMessage reply) {
  PeerMessage message;
  message.reply = std::move(reply);
  this->outputs.send(entry_id, this->entries[entry_id], std::move(message));
}

std::vector<ItemDemand> Dispatcher::Demand() const {
  std::map<std::string, ItemDemand> demand;
  const auto add = [&demand](const std::string& item, Priority priority) {
    ItemDemand& one = demand[item];
    one.item = item;
    one.requests[static_cast<std::size_t>(priority)] += 1;
  };
  std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [name, owned] : this->pools) {
    for (const auto& [id, endpoint] : owned.state.endpoints) {
      if (endpoint.kind != EndpointKind::kEngine)
        continue;
      for (const dispatch::Slot& slot : endpoint.granted)
        add(slot.item, slot.priority);
    }
    for (const dispatch::ClassState& state : owned.state.classes) {
      for (const dispatch::WaitingRequest& one : state.waiting) {
        if (one.request.kind == EndpointKind::kEngine)
          add(one.request.item, one.request.priority);
      }
    }
  }
  std::vector<ItemDemand> result;
  result.reserve(demand.size());
  for (auto& [item, one] : demand)
    result.push_back(std::move(one));
  return result;
}

std::string Dispatcher::StatusJson() const {
  nlohmann::json status = nlohmann::json::array();
  const TimePoint now = Clock::now();
  std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [name, owned] : this->pools) {
    nlohmann::json pool{{"name", name}, {"endpoints", nlohmann::json::array()}};
    for (const auto& [id, endpoint] : owned.state.endpoints) {
      pool["endpoints"].push_back(
          {{"id", id},
           {"granted", endpoint.granted.size()},
           {"limit", dispatch::CurrentLimit(owned.state, endpoint, now)},
           {"leaving", endpoint.leaving},
           {"ejected", now < endpoint.outlier.ejected_until}});
    }
    for (std::size_t i = 0; i < kPriorityCount; ++i)
      pool["waiting"].push_back(owned.state.classes[i].waiting.size());
    status.push_back(std::move(pool));
  }
  // Ids received from other daemons may not be valid UTF-8.
  return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace coltsfootvane::peer
