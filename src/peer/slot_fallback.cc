#include <algorithm>
#include <limits>
#include <string_view>

#include "dispatch/events.h"
#include "peer/slot_requester.h"

namespace coltsfootvane::peer {
namespace {

constexpr Milliseconds kFallbackDelay{300};
/// A request with neither a reply nor a fallback share is refused after this
/// time.
constexpr Milliseconds kUnansweredTimeout{1000};
constexpr Milliseconds kFallbackLogPeriod{5000};
constexpr int kUnansweredRetryMs = 1000;
constexpr std::string_view kProbeSuffix = "/probe";

}  // namespace

std::optional<SlotAnswer> SlotRequester::OnMissingReply(PoolAttempt& attempt,
                                                        TimePoint now) {
  if (now < attempt.reply_timeout_start + kFallbackDelay)
    return std::nullopt;
  attempt.queued = false;
  this->RecordUnanswered(attempt, now);
  if (auto share =
          this->TakeShare(attempt.routes, attempt.holders, attempt.request))
    return share;
  if (now < attempt.reply_timeout_start + kUnansweredTimeout)
    return std::nullopt;
  this->Withdraw(*attempt.holders.pool, attempt.request);
  return SlotAnswer{SlotVerdict::kQueueFull, "", 0, kUnansweredRetryMs};
}

std::optional<SlotAnswer> SlotRequester::TakeShareIfUnresponsive(
    const PoolAttempt& attempt) {
  if (!this->IsPoolUnresponsive(*attempt.holders.pool))
    return std::nullopt;
  return this->TakeShare(attempt.routes, attempt.holders, attempt.request);
}

bool SlotRequester::IsPoolUnresponsive(const dispatch::Pool& pool) {
  const auto dispatcher = this->dispatchers.Get(pool);
  std::lock_guard<std::mutex> lock(this->mutex);
  return dispatcher &&
         IsUnresponsive(this->unresponsive, pool.name, dispatcher->id);
}

void SlotRequester::RecordUnanswered(const PoolAttempt& attempt,
                                     TimePoint now) {
  bool is_new = false;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    is_new = MarkUnresponsive(this->unresponsive, attempt.holders.pool->name,
                              attempt.dispatcher, now);
  }
  if (is_new)
    LogEvent(dispatch::kDispatcherSilent,
             "pool=" + attempt.holders.pool->name +
                 " dispatcher=" + attempt.dispatcher);
}

void SlotRequester::Probe(const dispatch::Pool& pool,
                          const SlotRequest& request,
                          TimePoint now) {
  const auto dispatcher = this->dispatchers.Get(pool);
  if (!dispatcher)
    return;
  {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (!StartProbe(this->unresponsive, pool.name, dispatcher->id, now))
      return;
  }
  SlotRequest probe = request;
  probe.request_id += kProbeSuffix;
  PeerMessage message;
  message.slot_request = dispatch::SlotRequestMessage{pool.name, probe};
  this->send(*dispatcher, std::move(message));
  // Only the reply matters; the slot is not needed.
  this->Withdraw(pool, probe);
}

int SlotRequester::CountHeldAt(const std::string& endpoint_id) const {
  int count = 0;
  for (const auto& [grant_id, one] : this->held)
    count += one.endpoint_id == endpoint_id ? 1 : 0;
  return count;
}

std::optional<SlotAnswer> SlotRequester::TakeShare(
    const dispatch::Routes& routes,
    const dispatch::PoolHolders& holders,
    const SlotRequest& request) {
  const int daemons = CountUsable(*this->members->Get());
  const int min_share = request.priority == Priority::kInteractive ? 1 : 0;
  std::lock_guard<std::mutex> lock(this->mutex);
  const std::string* best = nullptr;
  int most_left = 0;
  for (const std::string& id : holders.endpoint_ids) {
    const Endpoint* endpoint = FindEndpoint(routes.view->configuration, id);
    const bool excluded =
        std::find(request.excluded.begin(), request.excluded.end(), id) !=
        request.excluded.end();
    if (endpoint == nullptr || excluded)
      continue;
    const int share = std::max(min_share, endpoint->slots / daemons);
    const int left = share - this->CountHeldAt(id);
    if (left <= most_left)
      continue;
    most_left = left;
    best = &id;
  }
  if (best == nullptr)
    return std::nullopt;
  if (Clock::now() >= this->next_fallback_log) {
    this->next_fallback_log = Clock::now() + kFallbackLogPeriod;
    LogEvent(dispatch::kFallbackShare, "pool=" + holders.pool->name);
  }
  const std::uint64_t grant_id =
      this->random() & std::numeric_limits<std::int64_t>::max();
  // Recorded under the same lock, so that no other thread takes this share.
  this->held[grant_id] = {
      holders.pool->name, *best, request, Clock::now(), false, {}, 0};
  return SlotAnswer{SlotVerdict::kGranted, *best, grant_id, 0};
}

}  // namespace coltsfootvane::peer
