#include "fleet/member_table.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace coltsfootvane::fleet {

bool IsLive(const Member& member, TimePoint now) {
  return member.last_heard_at != TimePoint() && now < member.live_until;
}

bool ApplyReport(MemberTable* table,
                 std::uint32_t address,
                 gen::Report report,
                 TimePoint now,
                 Milliseconds report_interval) {
  Member& member = table->members[address];
  const bool restarted = member.report.incarnation != report.incarnation;
  if (!restarted && report.sequence <= member.report.sequence)
    return false;
  member.report = std::move(report);
  member.last_heard_at = now;
  member.live_until =
      now + std::max(kMemberTimeout, report_interval * kMissedReports);
  return true;
}

void RemoveSilent(MemberTable* table, TimePoint now) {
  for (auto it = table->members.begin(); it != table->members.end();) {
    const bool expired = it->second.last_heard_at != TimePoint() &&
                         now - it->second.last_heard_at > kMemberRetention;
    it = expired ? table->members.erase(it) : std::next(it);
  }
}

int CountLive(const MemberTable& table, TimePoint now) {
  int count = 0;
  for (const auto& [address, member] : table.members)
    count += IsLive(member, now) && !member.report.leaving ? 1 : 0;
  return count;
}

bool ReadsLatestState(const MemberTable& table,
                      std::uint32_t own_address,
                      Milliseconds report_interval,
                      TimePoint now) {
  constexpr int kLatestStateReaders = 3;
  int lower_addresses = 0;
  for (const auto& [address, member] : table.members) {
    const bool counts =
        member.last_heard_at != TimePoint() &&
        now - member.last_heard_at < report_interval * kMissedReports &&
        member.report.store_reachable && !member.report.leaving;
    lower_addresses += counts && address < own_address ? 1 : 0;
  }
  return lower_addresses < kLatestStateReaders;
}

std::uint32_t FindHolder(const MemberTable& table, TimePoint now) {
  std::uint32_t holder = 0;
  std::int64_t highest = 0;
  for (const auto& [address, member] : table.members) {
    if (!IsLive(member, now) || member.report.lease_epoch <= highest)
      continue;
    highest = member.report.lease_epoch;
    holder = address;
  }
  return holder;
}

bool IsHolderSilent(const MemberTable& table,
                    std::int64_t epoch,
                    TimePoint now) {
  bool silent = false;
  for (const auto& [address, member] : table.members) {
    if (epoch == 0 || member.report.lease_epoch != epoch)
      continue;
    if (IsLive(member, now))
      return false;
    silent = true;
  }
  return silent;
}

void SumWork(const MemberTable& table,
             const std::vector<gateway::EndpointPtr>& endpoints,
             TimePoint now) {
  std::unordered_map<std::uint32_t, gateway::Endpoint*> by_key;
  for (const gateway::EndpointPtr& endpoint : endpoints) {
    endpoint->peers = {};
    endpoint->peer_successes = 0;
    endpoint->peer_failures = 0;
    by_key[endpoint->key] = endpoint.get();
  }
  for (const auto& [address, member] : table.members) {
    if (!IsLive(member, now))
      continue;
    for (const gen::EndpointWork& work : member.report.work) {
      const auto found = by_key.find(static_cast<std::uint32_t>(work.endpoint));
      if (found == by_key.end())
        continue;
      found->second->peers.running += work.running;
      found->second->peers.prompt_tokens += work.prompt_tokens;
      found->second->peer_successes += work.good;
      found->second->peer_failures += work.bad;
    }
  }
}

std::map<std::uint32_t, double> SumDemand(const MemberTable& table,
                                          TimePoint now) {
  std::map<std::uint32_t, double> sums;
  for (const auto& [address, member] : table.members) {
    if (!IsLive(member, now))
      continue;
    for (const gen::ModelDemand& demand : member.report.demand)
      sums[static_cast<std::uint32_t>(demand.model)] += demand.ms_per_s;
  }
  return sums;
}

}  // namespace coltsfootvane::fleet
