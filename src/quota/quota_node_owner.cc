#include <algorithm>

#include "quota/quota_node.h"

namespace coltsfootvane::quota {
namespace {

/// Replies are kept for longer than requests are retransmitted.
constexpr Milliseconds kReplyTime{2000};
/// Better owners are probed for this time after a request that this daemon
/// answers in their place.
constexpr Milliseconds kWatchTime{1500};

}  // namespace

std::optional<Reply> QuotaNode::OnRequest(Address from,
                                          const Request& request,
                                          TimePoint now) {
  this->RecordHeard(from, now);
  // Only owners send probes.
  if (request.team == 0)
    this->contacts.RecordOwner(from);
  return this->DecideAsOwner(from, request, now);
}

/// Returns the reply, or nothing while this daemon does not know its share of
/// the daemons: the request is transmitted again after that has been measured.
std::optional<Reply> QuotaNode::DecideAsOwner(Address from,
                                              const Request& request,
                                              TimePoint now) {
  Reply reply;
  reply.number = request.number;
  reply.known_daemons = static_cast<int>(this->members.known.size() + 1);
  const bool owns = !this->members.leaving && this->members.settled;
  if (request.team == 0 || !owns) {
    reply.verdict = owns ? Verdict::kGranted : Verdict::kNotOwner;
    return reply;
  }
  const auto key = std::make_pair(from, request.number);
  const auto given = this->replies.find(key);
  if (given != this->replies.end())
    return given->second.first;
  this->probe.Use(now);
  const std::vector<Address> better = this->BetterOwners(request.team);
  for (const Address daemon : better)
    this->watched[daemon] = now + kWatchTime;
  if (!this->probe.IsValid(now))
    return std::nullopt;
  Ownership ownership;
  ownership.share = this->probe.Share(now);
  ownership.term = this->probe.Term();
  Address best = 0;
  for (const Address daemon : better) {
    if (best == 0 && !this->contacts.IsSilent(daemon, now))
      best = daemon;
  }
  ownership.stands_in = best != 0;
  const int known = reply.known_daemons;
  reply = this->owner.Decide(request, ownership, now);
  reply.known_daemons = known;
  reply.better_owner = best;
  this->replies[key] = {reply, now + kReplyTime};
  return reply;
}

/// Returns the daemons that come before this one in the order for the team, the
/// first one first.
std::vector<Address> QuotaNode::BetterOwners(TeamKey team) const {
  const std::uint64_t own = OwnerRank(team, this->members.self);
  std::vector<Address> better;
  const auto consider = [&](Address daemon) {
    if (OwnerRank(team, daemon) > own)
      better.push_back(daemon);
  };
  for (const Address daemon : this->members.live)
    consider(daemon);
  for (const auto& [daemon, at] : this->heard_at) {
    if (std::find(better.begin(), better.end(), daemon) == better.end())
      consider(daemon);
  }
  std::sort(better.begin(), better.end(), [team](Address a, Address b) {
    return OwnerRank(team, a) > OwnerRank(team, b);
  });
  return better;
}

}  // namespace coltsfootvane::quota
