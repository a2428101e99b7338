#include "fleet/member_table.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <tuple>

#include "base/digest.h"

namespace coltsfootvane::fleet {
namespace {

void AddWork(const gateway::EndpointWork& work, gateway::EndpointWork* sum) {
  sum->running += work.running;
  sum->prompt_tokens += work.prompt_tokens;
  sum->yielding += work.yielding;
  sum->yielding_tokens += work.yielding_tokens;
}

/// Appends the difference between two reports on an endpoint, unless there is
/// none.
void AppendChange(std::int32_t endpoint,
                  const gen::EndpointWork& before,
                  const gen::EndpointWork& after,
                  std::vector<WorkChange>* changes) {
  if (changes == nullptr)
    return;
  WorkChange change;
  change.endpoint = static_cast<std::uint32_t>(endpoint);
  change.work.running = after.running - before.running;
  change.work.prompt_tokens = after.prompt_tokens - before.prompt_tokens;
  change.work.yielding = after.yielding - before.yielding;
  change.work.yielding_tokens = after.yielding_tokens - before.yielding_tokens;
  change.successes = after.good - before.good;
  change.failures = after.bad - before.bad;
  if (change.work.running != 0 || change.work.prompt_tokens != 0 ||
      change.work.yielding != 0 || change.work.yielding_tokens != 0 ||
      change.successes != 0 || change.failures != 0)
    changes->push_back(change);
}

/// Removes what is too small to be reported, so that a member does not keep an
/// item for each model that it was ever asked for.
void RemovePastDemand(DemandByModel* demand, TimePoint now) {
  constexpr double kLeastMsPerS = 0.5;
  for (auto it = demand->begin(); it != demand->end();) {
    const bool past =
        gateway::DemandAt(it->second, now).ms_per_s < kLeastMsPerS;
    it = past ? demand->erase(it) : std::next(it);
  }
}

/// Applies the work that a report lists.
void ApplyWork(const std::vector<gen::EndpointWork>& listed,
               WorkByEndpoint* work,
               std::vector<WorkChange>* changes) {
  for (const gen::EndpointWork& item : listed) {
    const gen::EndpointWork current = IsIdle(item) ? gen::EndpointWork() : item;
    gen::EndpointWork& known = (*work)[item.endpoint];
    AppendChange(item.endpoint, known, current, changes);
    known = current;
    if (IsIdle(item))
      work->erase(item.endpoint);
  }
}

/// Applies a report that lists all work, or one of a member whose work was not
/// counted so far.
void ReplaceWork(const gen::Report& report,
                 bool restarted,
                 bool was_counted,
                 WorkByEndpoint* work,
                 std::vector<WorkChange>* changes) {
  const WorkByEndpoint before = was_counted ? *work : WorkByEndpoint();
  if (restarted || report.lists_all_work)
    work->clear();
  ApplyWork(report.work, work, nullptr);
  const gen::EndpointWork none;
  for (const auto& [endpoint, item] : *work) {
    const auto known = before.find(endpoint);
    AppendChange(endpoint, known == before.end() ? none : known->second, item,
                 changes);
  }
  for (const auto& [endpoint, item] : before) {
    if (work->count(endpoint) == 0)
      AppendChange(endpoint, item, none, changes);
  }
}

}  // namespace

bool IsLive(const Member& member, TimePoint now) {
  return member.last_heard_at != TimePoint() && now < member.live_until;
}

bool ApplyReport(MemberTable* table,
                 std::uint32_t address,
                 gen::Report report,
                 TimePoint now,
                 Milliseconds report_interval,
                 std::vector<WorkChange>* changes) {
  Member& member = table->members[address];
  const bool restarted = member.report.incarnation != report.incarnation;
  if (!restarted && report.sequence <= member.report.sequence)
    return false;
  if (restarted)
    member.demand.clear();
  // Only the work of live members is in the sums.
  const bool was_counted = IsLive(member, now);
  if (was_counted && !restarted && !report.lists_all_work)
    ApplyWork(report.work, &member.work, changes);
  else
    ReplaceWork(report, restarted, was_counted, &member.work, changes);
  for (const gen::ModelDemand& demand : report.demand)
    member.demand[demand.model] = {static_cast<double>(demand.ms_per_s), now};
  if (report.lists_all_work)
    RemovePastDemand(&member.demand, now);
  report.work.clear();
  report.demand.clear();
  member.report = report;
  member.last_heard_at = now;
  member.live_until =
      now + std::max(kMemberTimeout, report_interval * kMissedReports);
  return true;
}

void ApplyWorkChanges(gsl::span<const WorkChange> changes,
                      PeerWorkByEndpoint* sums) {
  for (const WorkChange& change : changes) {
    PeerWork& sum = (*sums)[change.endpoint];
    AddWork(change.work, &sum.work);
    sum.successes += change.successes;
    sum.failures += change.failures;
  }
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

std::vector<std::uint32_t> ReaderOrder(const MemberTable& table,
                                       std::uint32_t own_address,
                                       bool own_reachable,
                                       bool counts_unheard,
                                       std::size_t max_readers,
                                       TimePoint now) {
  struct Candidate {
    bool unreachable = false;
    std::uint64_t hash = 0;
    std::uint32_t address = 0;
    bool operator<(const Candidate& other) const {
      return std::tie(this->unreachable, this->hash) <
             std::tie(other.unreachable, other.hash);
    }
  };
  const auto make = [](std::uint32_t address, bool reachable) {
    const std::string text = std::to_string(address);
    return Candidate{!reachable, Hash64(text, 0), address};
  };
  std::vector<Candidate> candidates = {make(own_address, own_reachable)};
  for (const auto& [address, member] : table.members) {
    const bool unheard = member.last_heard_at == TimePoint();
    if (unheard ? counts_unheard
                : IsLive(member, now) && !member.report.leaving)
      candidates.push_back(
          make(address, unheard || member.report.store_reachable));
  }
  std::sort(candidates.begin(), candidates.end());
  std::vector<std::uint32_t> readers;
  for (const Candidate& one : candidates) {
    if (readers.size() < max_readers)
      readers.push_back(one.address);
  }
  return readers;
}

std::size_t CountKnown(const MemberTable& table,
                       bool counts_unheard,
                       TimePoint now) {
  std::size_t count = 0;
  for (const auto& [address, member] : table.members) {
    const bool unheard = member.last_heard_at == TimePoint();
    count += (unheard ? counts_unheard : IsLive(member, now)) ? 1 : 0;
  }
  return count;
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

PeerWorkByEndpoint SumWork(const MemberTable& table, TimePoint now) {
  PeerWorkByEndpoint sums;
  for (const auto& [address, member] : table.members) {
    if (!IsLive(member, now))
      continue;
    for (const auto& [key, work] : member.work) {
      PeerWork& sum = sums[static_cast<std::uint32_t>(key)];
      AddWork({work.running, work.prompt_tokens, work.yielding,
               work.yielding_tokens},
              &sum.work);
      sum.successes += work.good;
      sum.failures += work.bad;
    }
  }
  return sums;
}

void CopyPeerWork(const PeerWorkByEndpoint& sums,
                  gsl::span<const gateway::EndpointPtr> endpoints,
                  TimePoint now) {
  for (const gateway::EndpointPtr& endpoint : endpoints) {
    const auto found = sums.find(endpoint->key);
    const PeerWork sum = found == sums.end() ? PeerWork() : found->second;
    if (now >= endpoint->exact_until)
      endpoint->peers = sum.work;
    endpoint->peer_successes = sum.successes;
    endpoint->peer_failures = sum.failures;
  }
}

std::map<std::uint32_t, double> SumDemand(const MemberTable& table,
                                          TimePoint now) {
  std::map<std::uint32_t, double> sums;
  for (const auto& [address, member] : table.members) {
    if (!IsLive(member, now))
      continue;
    for (const auto& [model, demand] : member.demand)
      sums[static_cast<std::uint32_t>(model)] +=
          gateway::DemandAt(demand, now).ms_per_s;
  }
  return sums;
}

}  // namespace coltsfootvane::fleet
