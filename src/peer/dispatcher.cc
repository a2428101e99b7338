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
/// A waiting request is refused at most this long after its estimate worsened.
constexpr Milliseconds kRefusalPeriod{250};
/// A pool that another member dispatches is kept until its grants have ended.
constexpr Milliseconds kKeepTime{12000};

std::set<std::string> UsableIds(const MemberView& view) {
  std::set<std::string> ids;
  for (const membership::Member& member : view.members) {
    if (membership::IsUsable(member))
      ids.insert(member.id);
  }
  return ids;
}

/// Grant ids of different dispatchers, and of one before and after a restart,
/// must differ: reports adopt them by id.
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
  if (const auto* ask = std::get_if<dispatch::AskMessage>(&input.message))
    this->OnAsk(input, *ask, now);
  else if (const auto* give_back =
               std::get_if<dispatch::ReturnMessage>(&input.message))
    this->OnReturn(input, *give_back, now);
  else if (const auto* report =
               std::get_if<dispatch::ReportMessage>(&input.message))
    this->OnReport(input, *report, now);
}

void Dispatcher::OnAsk(const DispatchInput& input,
                       const dispatch::AskMessage& ask,
                       TimePoint now) {
  OwnedPool* owned = this->UsePool(ask.pool, now);
  if (owned == nullptr)
    return;
  const auto answer =
      dispatch::AskSlot(owned->state, input.entry_id, ask.request, now);
  dispatch::ReplyMessage reply;
  reply.pool = ask.pool;
  reply.request_id = ask.request.request_id;
  reply.queued = !answer;
  if (answer)
    reply.answer = *answer;
  reply.pool_load_percent = dispatch::LoadPercent(owned->state, now);
  this->Reply(input.entry_id, std::move(reply));
  if (!answer)
    this->SendPreemptions(*owned, now);
}

void Dispatcher::OnReturn(const DispatchInput& input,
                          const dispatch::ReturnMessage& give_back,
                          TimePoint now) {
  const auto found = this->pools.find(give_back.pool);
  if (found == this->pools.end())
    return;
  dispatch::PoolState& pool = found->second.state;
  if (give_back.withdrawn && give_back.grant_id == 0) {
    dispatch::WithdrawRequest(pool, input.entry_id, give_back.request_id);
  } else if (give_back.withdrawn) {
    dispatch::DropSlot(pool, give_back.grant_id);
  } else {
    if (give_back.outcome.endpoint_leaving) {
      const std::string endpoint =
          dispatch::FindSlotEndpoint(pool, give_back.grant_id);
      if (!endpoint.empty())
        this->outputs.endpoint_leaving(endpoint);
    }
    dispatch::ReturnSlot(pool, give_back.grant_id, give_back.outcome, now);
  }
  this->SendGrants(found->second, now);
}

void Dispatcher::OnReport(const DispatchInput& input,
                          const dispatch::ReportMessage& report,
                          TimePoint now) {
  // Every entry reports to the dispatcher that it sees. One without slots must
  // not make a daemon take or keep a pool that another one dispatches.
  if (report.held.empty() && this->pools.count(report.pool) == 0)
    return;
  OwnedPool* owned = this->UsePool(report.pool, now);
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
  dispatch::ReportGrants(owned->state, input.entry_id, partial.held, now);
  this->reports.erase(key);
  this->SendGrants(*owned, now);
}

Dispatcher::OwnedPool* Dispatcher::UsePool(const std::string& name,
                                           TimePoint now) {
  const auto found = this->pools.find(name);
  if (found != this->pools.end()) {
    found->second.last_used = now;
    this->NoteRole(found->second, now);
    return &found->second;
  }
  // An entry may see this daemon as dispatcher before it does itself.
  const auto routes = this->routes->Get();
  const dispatch::Pool* pool = dispatch::FindPool(*routes, name);
  if (pool == nullptr)
    return nullptr;
  OwnedPool& owned = this->pools[name];
  owned.last_used = now;
  owned.state.name = name;
  owned.state.next_grant_id = FirstGrantId();
  dispatch::StartCautiously(owned.state, UsableIds(*this->members->Get()), now);
  owned.has_role = this->HasRole(*pool);
  this->Sync(owned, routes, now);
  LogEvent(dispatch::kPoolTaken, "pool=" + name);
  return &owned;
}

bool Dispatcher::HasRole(const dispatch::Pool& pool) {
  const auto member = this->dispatchers.Get(pool);
  return member && member->id == this->self_id;
}

void Dispatcher::NoteRole(OwnedPool& owned, TimePoint now) {
  const auto routes = this->routes->Get();
  const dispatch::Pool* pool = dispatch::FindPool(*routes, owned.state.name);
  const bool has_role = pool != nullptr && this->HasRole(*pool);
  // A pool that was kept since an earlier time misses what others granted.
  if (has_role && !owned.has_role)
    dispatch::StartCautiously(owned.state, UsableIds(*this->members->Get()),
                              now);
  owned.has_role = has_role;
}

void Dispatcher::Sync(OwnedPool& owned,
                      const std::shared_ptr<const dispatch::Routes>& routes,
                      TimePoint now) {
  const dispatch::Pool* pool = dispatch::FindPool(*routes, owned.state.name);
  if (pool != nullptr)
    dispatch::SyncPool(owned.state, *pool, *routes->view,
                       this->members->Get()->leaving_endpoints, now);
  owned.synced = routes;
}

void Dispatcher::TakeOwnPools(const dispatch::Routes& routes, TimePoint now) {
  for (const dispatch::Pool& pool : routes.pools) {
    const auto found = this->pools.find(pool.name);
    if (this->HasRole(pool))
      this->UsePool(pool.name, now);
    else if (found != this->pools.end())
      found->second.has_role = false;
  }
}

void Dispatcher::DropUnusedPools(const dispatch::Routes& routes,
                                 TimePoint now) {
  for (auto it = this->pools.begin(); it != this->pools.end();) {
    const bool exists = dispatch::FindPool(routes, it->first) != nullptr;
    const bool used = it->second.last_used + kKeepTime > now;
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
    this->TakeOwnPools(*routes, now);
  this->DropUnusedPools(*routes, now);
  for (auto& [name, owned] : this->pools) {
    if (owned.synced != routes)
      this->Sync(owned, routes, now);
    const int expired = dispatch::ExpireSlots(owned.state, now);
    if (expired > 0)
      LogEvent(dispatch::kSlotsExpired,
               "pool=" + name + " slots=" + std::to_string(expired));
    dispatch::AdjustLimits(owned.state, now);
    this->SendGrants(owned, now);
    this->SendPreemptions(owned, now);
    if (now < owned.next_refusals)
      continue;
    owned.next_refusals = now + kRefusalPeriod;
    this->SendAnswers(owned, dispatch::RefuseLate(owned.state, now), now);
  }
}

void Dispatcher::SendAnswers(const OwnedPool& owned,
                             std::vector<dispatch::Grant> answers,
                             TimePoint now) {
  for (dispatch::Grant& one : answers) {
    dispatch::ReplyMessage reply;
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
                       dispatch::ReplyMessage reply) {
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
      for (const dispatch::Waiting& one : state.waiting) {
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
  // Ids come from other daemons and may not be UTF-8.
  return status.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace coltsfootvane::peer
