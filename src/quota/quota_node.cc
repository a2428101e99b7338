#include "quota/quota_node.h"

#include <algorithm>
#include <iterator>

namespace coltsfootvane::quota {
namespace {

/// Until a daemon counts as silent: three transmissions. A request asks two
/// daemons, so that it is decided within 280 ms.
constexpr Milliseconds kTimeout = kResendInterval * kMaxSends;
constexpr int kMaxSilent = 2;
/// Daemons that are probed at once after the first was silent. In a partition
/// into halves, one of them is in the own half but in one case of 250.
constexpr std::size_t kSearched = 8;
/// Daemons that one request may be passed on to.
constexpr int kMaxHops = 4;
/// Between attempts to decide as owner, while the share is measured.
constexpr Milliseconds kOwnInterval{5};
/// Replies are kept for longer than requests are retransmitted.
constexpr Milliseconds kReplyTime{2000};
constexpr Milliseconds kHeardTime{5000};
constexpr Milliseconds kForgetInterval{1000};
constexpr Milliseconds kFallbackRetry{1000};

template <class Map, class Predicate>
void EraseIf(Map* map, Predicate predicate) {
  for (auto it = map->begin(); it != map->end();)
    it = predicate(it->second) ? map->erase(it) : std::next(it);
}

}  // namespace

QuotaNode::QuotaNode(std::uint64_t seed)
    : random(seed), last_number(static_cast<std::int64_t>(seed >> 2)) {}

void QuotaNode::SetMembers(Members changed) {
  this->members = std::move(changed);
  this->probe.SetKnown(this->members.known);
}

/// Returns the daemon that owns the bucket as far as this one knows, or 0.
Address QuotaNode::FindOwner(TeamKey team,
                             const std::set<Address>& except,
                             TimePoint now) const {
  Address best = 0;
  std::uint64_t highest = 0;
  const auto consider = [&](Address daemon) {
    const std::uint64_t rank = OwnerRank(team, daemon);
    if ((best != 0 && rank <= highest) || except.count(daemon) > 0 ||
        this->contacts.IsAvoided(daemon, now))
      return;
    best = daemon;
    highest = rank;
  };
  for (const Address daemon : this->members.live)
    consider(daemon);
  for (const auto& [daemon, at] : this->heard_at)
    consider(daemon);
  if (!this->members.leaving && this->members.settled)
    consider(this->members.self);
  return best;
}

void QuotaNode::Want(const Wanted& wanted, Done done, TimePoint now) {
  const std::int64_t number = ++this->last_number;
  Pending& request = this->pending[number];
  request.wanted = wanted;
  request.done = std::move(done);
  request.began = now;
  request.settled = std::exchange(this->teams[wanted.team].unsettled, 0);
  this->AskNext(number, now);
}

void QuotaNode::AskNext(std::int64_t number, TimePoint now) {
  const Pending& request = this->pending.at(number);
  const bool may_ask = request.silent < kMaxSilent && request.hops < kMaxHops;
  const Address target =
      may_ask ? this->FindOwner(request.wanted.team, request.asked, now) : 0;
  if (target == 0)
    this->DecideByFallback(number, now);
  else
    this->Ask(number, target, now);
}

/// Finds out at once which of the next daemons reply: if one is silent, others
/// may be as well.
void QuotaNode::Search(std::int64_t number, TimePoint now) {
  Pending& request = this->pending.at(number);
  std::set<Address> except = request.asked;
  request.target = 0;
  request.next_send = now + kResendInterval;
  request.target_until = request.next_send;
  for (std::size_t i = 0; i < kSearched; ++i) {
    const Address next = this->FindOwner(request.wanted.team, except, now);
    if (next == 0 || next == this->members.self)
      break;
    except.insert(next);
    request.searched.insert(next);
    this->SendProbe(next);
  }
  if (request.searched.empty())
    this->AskNext(number, now);
}

/// Asks the first of the daemons that replied.
void QuotaNode::EndSearch(std::int64_t number, TimePoint now) {
  Pending& request = this->pending.at(number);
  for (const Address daemon : std::exchange(request.searched, {})) {
    const auto heard = this->heard_at.find(daemon);
    if (heard == this->heard_at.end() || heard->second + kResendInterval < now)
      this->contacts.RecordSilence(daemon, now);
  }
  this->AskNext(number, now);
}

void QuotaNode::Ask(std::int64_t number, Address target, TimePoint now) {
  Pending& request = this->pending.at(number);
  ++request.hops;
  request.asked.insert(target);
  request.target = target;
  request.target_until = now + kTimeout;
  this->Transmit(number, now);
}

void QuotaNode::Transmit(std::int64_t number, TimePoint now) {
  Pending& request = this->pending.at(number);
  Request message;
  message.number = number;
  message.team = request.wanted.team;
  message.limit = request.wanted.limit;
  message.units = request.wanted.units;
  message.settled = request.settled;
  message.rank = request.wanted.rank;
  const Team& team = this->teams[request.wanted.team];
  if (team.level)
    message.level = KnownLevel{
        *team.level,
        std::chrono::duration_cast<Milliseconds>(now - team.level_at)};
  const bool is_own = request.target == this->members.self;
  request.next_send = now + (is_own ? kOwnInterval : kResendInterval);
  if (!is_own) {
    this->send_request(request.target, message);
    return;
  }
  const auto reply = this->DecideAsOwner(request.target, message, now);
  if (reply)
    this->OnReply(request.target, *reply, now);
}

void QuotaNode::OnSilence(std::int64_t number, TimePoint now) {
  Pending& request = this->pending.at(number);
  ++request.silent;
  if (request.target != this->members.self) {
    const bool is_news = !this->contacts.IsAvoided(request.target, now);
    this->contacts.RecordSilence(request.target, now);
    if (is_news && this->on_silence)
      this->on_silence(request.target);
  }
  if (request.silent < kMaxSilent)
    this->Search(number, now);
  else
    this->AskNext(number, now);
}

/// Spends from a quarter of this daemon's part of the rate, so that daemons cut
/// off one by one stay within a quarter of the rate together.
void QuotaNode::DecideByFallback(std::int64_t number, TimePoint now) {
  constexpr double kFallbackShare = 0.25;
  constexpr double kMaxRequestsSaved = 2;
  const Pending& request = this->pending.at(number);
  const Wanted& wanted = request.wanted;
  Team& team = this->teams[wanted.team];
  if (team.fallback_updated == TimePoint()) {
    team.fallback = 0;
    team.fallback_updated = now;
  }
  const std::chrono::duration<double> passed = now - team.fallback_updated;
  const double rate = kFallbackShare * wanted.limit.per_second /
                      static_cast<double>(this->members.known.size() + 1);
  team.fallback = std::min(team.fallback + rate * passed.count(),
                           std::max(rate, wanted.units * kMaxRequestsSaved));
  team.fallback_updated = now;
  Decision decision;
  decision.by_fallback = true;
  decision.granted = team.fallback >= wanted.units;
  decision.retry_after = kFallbackRetry;
  team.unsettled += request.settled;
  if (decision.granted) {
    team.fallback -= wanted.units;
    team.unsettled += wanted.units;
  }
  this->Finish(number, decision, now);
}

void QuotaNode::Finish(std::int64_t number, Decision decision, TimePoint now) {
  const auto found = this->pending.find(number);
  const Pending request = std::move(found->second);
  this->pending.erase(found);
  Decided& record = this->decided[number];
  record.team = request.wanted.team;
  record.units = request.wanted.units;
  record.until = now + kReplyTime;
  if (decision.granted && !decision.by_fallback)
    record.granted_by.insert(request.target);
  decision.waited =
      std::chrono::duration_cast<Milliseconds>(now - request.began);
  request.done(decision);
}

void QuotaNode::Settle(TeamKey team, double units) {
  this->teams[team].unsettled += units;
}

void QuotaNode::OnReply(Address from, const Reply& reply, TimePoint now) {
  this->RecordHeard(from, now);
  this->probe.RecordKnownCount(reply.known_daemons, now);
  this->probe.OnReply(from, now);
  if (reply.verdict == Verdict::kNotOwner)
    this->contacts.RecordNotOwner(from, now);
  const auto found = this->pending.find(reply.number);
  if (found == this->pending.end()) {
    this->OnLateReply(from, reply);
    return;
  }
  Pending& request = found->second;
  if (request.asked.count(from) == 0)
    return;
  if (reply.verdict == Verdict::kNotOwner) {
    if (from == request.target)
      this->AskNext(reply.number, now);
    return;
  }
  if (reply.verdict == Verdict::kRefused && from != request.target)
    return;
  Team& team = this->teams[request.wanted.team];
  request.target = from;
  const Address better = reply.better_owner;
  // It is asked even if it was silent: the sender of the reply hears it.
  const bool may_ask_better =
      better != 0 && better != this->members.self && request.hops < kMaxHops;
  if (reply.verdict == Verdict::kRefused && may_ask_better) {
    request.settled = 0;
    this->Ask(reply.number, better, now);
    return;
  }
  if (better == 0) {
    team.level = reply.level;
    team.level_at = now;
  }
  team.fallback_updated = TimePoint();
  Decision decision;
  decision.granted = reply.verdict == Verdict::kGranted;
  decision.retry_after = reply.retry_after;
  this->Finish(reply.number, decision, now);
}

/// Returns units that were granted after the request had been decided.
void QuotaNode::OnLateReply(Address from, const Reply& reply) {
  const auto found = this->decided.find(reply.number);
  if (found == this->decided.end() || reply.verdict != Verdict::kGranted)
    return;
  if (found->second.granted_by.insert(from).second)
    this->teams[found->second.team].unsettled -= found->second.units;
}

void QuotaNode::RecordHeard(Address from, TimePoint now) {
  if (from == this->members.self)
    return;
  this->contacts.RecordHeard(from);
  this->heard_at[from] = now;
}

TimePoint QuotaNode::Tick(TimePoint now) {
  std::vector<std::int64_t> due;
  for (const auto& [number, request] : this->pending) {
    if (request.next_send <= now)
      due.push_back(number);
  }
  for (const std::int64_t number : due) {
    const auto found = this->pending.find(number);
    if (found == this->pending.end())
      continue;
    if (!found->second.searched.empty())
      this->EndSearch(number, now);
    else if (now >= found->second.target_until)
      this->OnSilence(number, now);
    else
      this->Transmit(number, now);
  }
  this->SendProbes(now);
  this->Forget(now);
  TimePoint next =
      this->members.leaving ? TimePoint::max() : this->probe.NextTick(now);
  for (const auto& [number, request] : this->pending)
    next = std::min(next, request.next_send);
  if (!this->watched.empty())
    next = std::min(next, now + kResendInterval);
  return next;
}

void QuotaNode::SendProbe(Address to) {
  Request message;
  message.number = ++this->last_number;
  this->send_request(to, message);
}

void QuotaNode::SendProbes(TimePoint now) {
  if (!this->members.leaving) {
    for (const Address daemon : this->probe.Tick(now, &this->random))
      this->SendProbe(daemon);
  }
  for (const Address daemon : this->contacts.TakeProbesOfAvoided(now))
    this->SendProbe(daemon);
  for (const auto& [daemon, until] : this->watched) {
    if (now < until && this->contacts.TakeProbe(daemon, now))
      this->SendProbe(daemon);
  }
}

void QuotaNode::Forget(TimePoint now) {
  EraseIf(&this->watched, [now](TimePoint until) { return now >= until; });
  if (now < this->next_forget)
    return;
  this->next_forget = now + kForgetInterval;
  this->owner.Forget(now);
  EraseIf(&this->replies,
          [now](const auto& item) { return now >= item.second; });
  EraseIf(&this->decided,
          [now](const Decided& item) { return now >= item.until; });
  EraseIf(&this->heard_at,
          [now](TimePoint at) { return now >= at + kHeardTime; });
}

}  // namespace coltsfootvane::quota
