#include "peer/slot_requester.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "base/digest.h"
#include "dispatch/events.h"
#include "membership/member_table.h"

namespace coltsfootvane::peer {
namespace {

constexpr Milliseconds kRepeatPeriod{50};
constexpr Milliseconds kQueuedRepeatPeriod{1000};
constexpr Milliseconds kHintLifetime{2000};
/// A request that has waited longer than this in one pool is not queued in the
/// next one, because the sum of the waits would exceed its first-token target.
constexpr Milliseconds kMaxWaitBeforeNextPool{150};
constexpr int kUnreadyRetryMs = 1000;
constexpr int kUnansweredRetryMs = 1000;
constexpr int kFullPercent = 100;
constexpr std::size_t kMaxUnreadyItems = 1024;

bool HasUsableEndpoint(const dispatch::PoolHolders& holders,
                       const SlotRequest& request) {
  for (const std::string& id : holders.endpoint_ids) {
    if (std::find(request.excluded.begin(), request.excluded.end(), id) ==
        request.excluded.end())
      return true;
  }
  return false;
}

bool ShouldTryNextPool(SlotVerdict verdict) {
  return verdict == SlotVerdict::kNoCopy ||
         verdict == SlotVerdict::kQueueFull ||
         verdict == SlotVerdict::kDeadline;
}

}  // namespace

SlotRequester::SlotRequester(std::string data_centre,
                             RouteCache* routes,
                             const MemberViewHolder* members,
                             Send send)
    : data_centre(std::move(data_centre)),
      routes(routes),
      members(members),
      dispatchers(members),
      send(std::move(send)),
      random(Hash64(RandomId())) {}

std::vector<const dispatch::PoolHolders*> SlotRequester::OrderPools(
    const dispatch::Routes& routes,
    const SlotRequest& request,
    TimePoint now) {
  using Key = std::tuple<bool, bool, bool, int, std::uint64_t>;
  std::vector<std::pair<Key, const dispatch::PoolHolders*>> keyed;
  for (const dispatch::PoolHolders& one :
       dispatch::FindHolders(routes, request.kind, request.item)) {
    if (!HasUsableEndpoint(one, request))
      continue;
    this->Probe(*one.pool, request, now);
    const bool unresponsive = this->IsPoolUnresponsive(*one.pool);
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto hint = this->hints.find(one.pool->name);
    const bool fresh = hint != this->hints.end() && hint->second.expiry > now;
    const int percent = fresh ? hint->second.percent : 0;
    const bool remote = one.pool->data_centre != this->data_centre;
    keyed.push_back({{unresponsive, percent >= kFullPercent, remote, percent,
                      this->random()},
                     &one});
  }
  std::sort(keyed.begin(), keyed.end());
  std::vector<const dispatch::PoolHolders*> ordered;
  ordered.reserve(keyed.size());
  for (const auto& [key, holders] : keyed)
    ordered.push_back(holders);
  return ordered;
}

SlotAnswer SlotRequester::Acquire(const SlotRequest& request,
                                  const std::function<bool()>& caller_gone) {
  SlotAnswer answer = this->AcquireFromPools(request, caller_gone);
  // When every daemon is leaving there is no dispatcher, and requests wait for
  // a fallback share of an endpoint: a planned stop must not refuse accepted
  // requests.
  while (answer.verdict == SlotVerdict::kQueueFull &&
         Clock::now() < request.deadline && this->HasNoUsableMember())
    answer = this->AcquireFromPools(request, caller_gone);
  return answer;
}

bool SlotRequester::HasNoUsableMember() const {
  const auto view = this->members->Get();
  return std::none_of(
      view->members.begin(), view->members.end(),
      [](const auto& member) { return membership::IsUsable(member); });
}

SlotAnswer SlotRequester::AcquireFromPools(
    const SlotRequest& request,
    const std::function<bool()>& caller_gone) {
  const auto routes = this->routes->Get();
  SlotAnswer refusal{SlotVerdict::kNoCopy, "", 0, kUnreadyRetryMs};
  bool has_refusal = false;
  const TimePoint start = Clock::now();
  for (const dispatch::PoolHolders* holders :
       this->OrderPools(*routes, request, start)) {
    SlotAnswer answer =
        this->AcquireFromPool(*routes, *holders, request, caller_gone);
    if (!ShouldTryNextPool(answer.verdict))
      return answer;
    if (!has_refusal || answer.retry_after_ms < refusal.retry_after_ms)
      refusal = answer;
    has_refusal = true;
    const TimePoint now = Clock::now();
    const bool waited = answer.verdict == SlotVerdict::kDeadline &&
                        now >= start + kMaxWaitBeforeNextPool;
    if (waited || now >= request.deadline)
      break;
  }
  if (refusal.verdict == SlotVerdict::kNoCopy)
    this->RecordUnready(request);
  return refusal;
}

std::optional<dispatch::SlotReplyMessage> SlotRequester::WaitForReply(
    Pending& pending,
    TimePoint until) {
  std::unique_lock<std::mutex> lock(this->mutex);
  pending.changed.wait_until(lock, until,
                             [&pending] { return pending.reply.has_value(); });
  return std::exchange(pending.reply, std::nullopt);
}

SlotAnswer SlotRequester::AcquireFromPool(
    const dispatch::Routes& routes,
    const dispatch::PoolHolders& holders,
    const SlotRequest& request,
    const std::function<bool()>& caller_gone) {
  const TimePoint now = Clock::now();
  PoolAttempt attempt{
      routes, holders, request, caller_gone, std::make_shared<Pending>(),
      {},     now,     now,     false};
  attempt.pending->pool = holders.pool->name;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->pending[request.request_id] = attempt.pending;
  }
  std::optional<SlotAnswer> answer;
  while (!answer)
    answer = this->ContinueAttempt(attempt);
  return this->FinishAttempt(attempt, *answer);
}

std::optional<SlotAnswer> SlotRequester::ContinueAttempt(PoolAttempt& attempt) {
  const TimePoint now = Clock::now();
  if (auto ended = this->CancelOrExpire(attempt, now))
    return ended;
  if (auto share = this->TakeShareIfUnresponsive(attempt))
    return share;
  this->SendRequest(attempt, now);
  const auto reply = this->WaitForReply(
      *attempt.pending,
      std::min(attempt.request.deadline, now + kRepeatPeriod));
  if (!reply)
    return this->OnMissingReply(attempt, Clock::now());
  if (!reply->queued)
    return reply->answer;
  attempt.queued = true;
  attempt.next_send = Clock::now() + kQueuedRepeatPeriod;
  attempt.reply_timeout_start = attempt.next_send;
  return std::nullopt;
}

std::optional<SlotAnswer> SlotRequester::CancelOrExpire(
    const PoolAttempt& attempt,
    TimePoint now) {
  const bool gone = attempt.caller_gone && attempt.caller_gone();
  if (!gone && now < attempt.request.deadline)
    return std::nullopt;
  this->Withdraw(*attempt.holders.pool, attempt.request);
  if (gone)
    return SlotAnswer{SlotVerdict::kCancelledWaiting, "", 0, 0};
  return SlotAnswer{SlotVerdict::kDeadline, "", 0, kUnansweredRetryMs};
}

void SlotRequester::SendRequest(PoolAttempt& attempt, TimePoint now) {
  const auto to = this->dispatchers.Get(*attempt.holders.pool);
  if (!to || (now < attempt.next_send && to->id == attempt.dispatcher))
    return;
  // A new dispatcher gets the full reply time. It has not queued the request
  // yet, and drops requests that arrive before it knows of its role.
  if (!attempt.dispatcher.empty() && attempt.dispatcher != to->id) {
    attempt.reply_timeout_start = now;
    attempt.queued = false;
  }
  attempt.dispatcher = to->id;
  attempt.next_send =
      now + (attempt.queued ? kQueuedRepeatPeriod : kRepeatPeriod);
  PeerMessage message;
  message.slot_request =
      dispatch::SlotRequestMessage{attempt.holders.pool->name, attempt.request};
  this->send(*to, std::move(message));
}

SlotAnswer SlotRequester::FinishAttempt(const PoolAttempt& attempt,
                                        SlotAnswer answer) {
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->pending.find(attempt.request.request_id);
  if (found != this->pending.end() && found->second == attempt.pending)
    this->pending.erase(found);
  // A fallback share is already recorded, and no dispatcher knows it.
  const bool shared = this->held.count(answer.grant_id) > 0;
  if (answer.verdict == SlotVerdict::kGranted)
    this->held[answer.grant_id] = {attempt.holders.pool->name,
                                   answer.endpoint_id,
                                   attempt.request,
                                   Clock::now(),
                                   false,
                                   shared ? std::string() : attempt.dispatcher,
                                   0};
  return answer;
}

void SlotRequester::SendToPool(std::string_view pool_name,
                               PeerMessage message) {
  const auto routes = this->routes->Get();
  const dispatch::Pool* pool = dispatch::FindPool(*routes, pool_name);
  if (pool == nullptr)
    return;
  const auto dispatcher = this->dispatchers.Get(*pool);
  if (dispatcher)
    this->send(*dispatcher, std::move(message));
}

void SlotRequester::Withdraw(const dispatch::Pool& pool,
                             const SlotRequest& request) {
  PeerMessage message;
  message.slot_release = dispatch::SlotReleaseMessage{
      pool.name, request.request_id, 0, true, SlotOutcome{}};
  this->SendToPool(pool.name, std::move(message));
}

void SlotRequester::Release(const SlotAnswer& answer,
                            const SlotOutcome& outcome) {
  PeerMessage message;
  std::string pool_name;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto found = this->held.find(answer.grant_id);
    if (found == this->held.end())
      return;
    pool_name = found->second.pool;
    message.slot_release = dispatch::SlotReleaseMessage{
        pool_name, found->second.request.request_id, answer.grant_id, false,
        outcome};
    this->held.erase(found);
  }
  this->SendToPool(pool_name, std::move(message));
}

bool SlotRequester::IsPreempted(const SlotAnswer& answer) const {
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->held.find(answer.grant_id);
  return found != this->held.end() && found->second.preempted;
}

void SlotRequester::OnReply(const dispatch::SlotReplyMessage& reply) {
  const bool granted =
      !reply.queued && reply.answer.verdict == SlotVerdict::kGranted;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    RecordReply(this->unresponsive, reply.pool);
    this->hints[reply.pool] = {reply.pool_load_percent,
                               Clock::now() + kHintLifetime};
    const auto found = this->pending.find(reply.request_id);
    if (found != this->pending.end() && found->second->pool == reply.pool) {
      // A final reply is kept: one that arrives later may have been sent
      // earlier.
      auto& known = found->second->reply;
      if (!known || known->queued)
        known = reply;
      found->second->changed.notify_all();
      return;
    }
    if (!granted || this->held.count(reply.answer.grant_id) > 0)
      return;
  }
  // The request has ended: release the slot at once.
  PeerMessage message;
  message.slot_release = dispatch::SlotReleaseMessage{
      reply.pool, reply.request_id, reply.answer.grant_id, true, SlotOutcome{}};
  this->SendToPool(reply.pool, std::move(message));
}

void SlotRequester::OnPreemption(
    const dispatch::PreemptionMessage& preemption) {
  std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->held.find(preemption.grant_id);
  if (found != this->held.end())
    found->second.preempted = true;
}

void SlotRequester::RecordUnready(const SlotRequest& request) {
  if (request.kind != EndpointKind::kEngine)
    return;
  std::lock_guard<std::mutex> lock(this->mutex);
  if (this->unready.size() >= kMaxUnreadyItems &&
      this->unready.count(request.item) == 0)
    return;
  ItemDemand& demand = this->unready[request.item];
  demand.item = request.item;
  demand.requests[static_cast<std::size_t>(request.priority)] += 1;
}

std::vector<ItemDemand> SlotRequester::TakeUnreadyDemand() {
  std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<ItemDemand> taken;
  for (auto& [item, demand] : this->unready)
    taken.push_back(std::move(demand));
  this->unready.clear();
  return taken;
}

std::size_t SlotRequester::CountHeld() const {
  std::lock_guard<std::mutex> lock(this->mutex);
  return this->held.size();
}

}  // namespace coltsfootvane::peer
