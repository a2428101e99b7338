#include "fleet/load_tracking.h"

#include <algorithm>

namespace coltsfootvane::fleet {
namespace {

/// Unanswered queries after which a load tracker counts as silent. One alone
/// may have been lost on a link.
constexpr int kUnansweredToSilence = 2;
constexpr Milliseconds kSilence{1000};

}  // namespace

std::vector<occupancy::DaemonId> FindTrackers(const MemberTable& table,
                                              occupancy::DaemonId self,
                                              TimePoint now) {
  std::vector<occupancy::DaemonId> daemons;
  for (const auto& [address, member] : table.members) {
    if (IsLive(member, now) && !member.report.leaving)
      daemons.push_back(address);
  }
  if (self != 0)
    daemons.push_back(self);
  return daemons;
}

std::vector<std::pair<occupancy::DaemonId, occupancy::EndpointWork>>
FindReportedWork(const MemberTable& table,
                 occupancy::EndpointKey endpoint,
                 TimePoint now) {
  std::vector<std::pair<occupancy::DaemonId, occupancy::EndpointWork>> reported;
  for (const auto& [address, member] : table.members) {
    const auto found = member.work.find(static_cast<std::int32_t>(endpoint));
    if (!IsLive(member, now) || found == member.work.end())
      continue;
    const gen::EndpointWork& work = found->second;
    reported.emplace_back(
        address, occupancy::EndpointWork{work.running, work.prompt_tokens,
                                         work.yielding, work.yielding_tokens});
  }
  return reported;
}

gen::WorkUpdate ToWire(const occupancy::WorkUpdate& update) {
  gen::WorkUpdate wire;
  wire.endpoint = static_cast<std::int32_t>(update.endpoint);
  wire.process = update.process;
  wire.sequence = update.sequence;
  if (update.work.running != 0)
    wire.__set_running(update.work.running);
  if (update.work.prompt_tokens != 0)
    wire.__set_prompt_tokens(update.work.prompt_tokens);
  if (update.work.yielding != 0)
    wire.__set_yielding(update.work.yielding);
  if (update.work.yielding_tokens != 0)
    wire.__set_yielding_tokens(update.work.yielding_tokens);
  if (update.refused)
    wire.__set_refused(true);
  return wire;
}

occupancy::WorkUpdate FromWire(const gen::WorkUpdate& wire) {
  occupancy::WorkUpdate update;
  update.endpoint = static_cast<occupancy::EndpointKey>(wire.endpoint);
  update.process = wire.process;
  update.sequence = wire.sequence;
  // Negative figures, which no daemon sends, would hide the work of others.
  update.work = {std::max(0, wire.running), std::max(0, wire.prompt_tokens),
                 std::max(0, wire.yielding), std::max(0, wire.yielding_tokens)};
  update.refused = wire.refused;
  return update;
}

gen::LoadAnswer ToWire(std::int64_t number,
                       const occupancy::TrackedLoad& load) {
  constexpr Milliseconds kMaxTracked{3'600'000};
  gen::LoadAnswer wire;
  wire.number = number;
  wire.tracked_ms = static_cast<std::int32_t>(
      std::min(load.tracked_for, kMaxTracked).count());
  if (load.others.running != 0)
    wire.__set_running(load.others.running);
  if (load.others.prompt_tokens != 0)
    wire.__set_prompt_tokens(load.others.prompt_tokens);
  if (load.others.yielding != 0)
    wire.__set_yielding(load.others.yielding);
  if (load.others.yielding_tokens != 0)
    wire.__set_yielding_tokens(load.others.yielding_tokens);
  if (load.limit != 0)
    wire.__set_limit(load.limit);
  return wire;
}

occupancy::TrackedLoad FromWire(const gen::LoadAnswer& wire) {
  occupancy::TrackedLoad load;
  load.others = {wire.running, wire.prompt_tokens, wire.yielding,
                 wire.yielding_tokens};
  load.tracked_for = Milliseconds(wire.tracked_ms);
  load.limit = wire.limit;
  return load;
}

void ApplyLoad(const occupancy::TrackedLoad& load,
               TimePoint now,
               gateway::Endpoint* endpoint) {
  endpoint->peers = CombineWithReports(load, endpoint->peers);
  endpoint->place_limit = load.limit;
  endpoint->exact_at = now;
  endpoint->exact_until = now + kExactLifetime;
}

bool RecordContact(bool answered, TimePoint now, TrackerContact* contact) {
  if (answered) {
    *contact = {};
    return false;
  }
  if (++contact->unanswered < kUnansweredToSilence)
    return false;
  const bool begins = contact->silent_until == TimePoint();
  contact->silent_until = now + kSilence;
  return begins;
}

}  // namespace coltsfootvane::fleet
