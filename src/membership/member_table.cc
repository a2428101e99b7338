#include "membership/member_table.h"

#include <algorithm>

#include "membership/buckets.h"
#include "membership/updates.h"

namespace coltsfootvane::membership {
namespace {

constexpr Milliseconds kJoinPeriod{1000};
/// Longest interval between join requests to first peers (seed addresses) that
/// are not members. Addresses of replaced daemons never answer and are tried
/// for as long as this daemon runs, hence the back-off.
constexpr Milliseconds kMaxJoinPeriod{30000};
constexpr int kMaxJoinDoublings = 5;
/// Period of anti-entropy synchronisation, which repairs missed updates.
/// Between equal tables it costs one request with `kBucketCount` hashes and no
/// answer.
constexpr Milliseconds kSyncPeriod{5000};
/// Delay from a received update to a synchronisation, since other updates were
/// probably missed.
constexpr Milliseconds kSyncDelayAfterUpdate{1000};
/// Delay until the next request after a synchronisation answer that changed the
/// table, since one answer contains only some of the members.
constexpr Milliseconds kSyncDelayAfterAnswer{500};
constexpr int kGossipFanOut = 3;
constexpr std::size_t kMaxRelays = 64;

bool SameAddress(const http::Address& a, const http::Address& b) {
  return a.port == b.port && a.host == b.host;
}

/// Returns whether `address` belongs to a member, which then needs no join
/// request. Dead members count: periodic synchronisation reaches them once they
/// are back, and join requests from all members would flood a data centre that
/// returns.
bool IsKnown(const MemberTable& table, const http::Address& address) {
  return std::any_of(table.members.begin(), table.members.end(),
                     [&address](const auto& entry) {
                       return SameAddress(entry.second.member.address, address);
                     });
}

/// Returns the addresses of up to `count` random usable members other than
/// `excluded`.
std::vector<http::Address> PickMembers(MemberTable& table,
                                       int count,
                                       std::string_view excluded = {}) {
  std::vector<const Member*> usable;
  for (const auto& [id, record] : table.members) {
    if (IsUsable(record.member) && id != excluded)
      usable.push_back(&record.member);
  }
  std::shuffle(usable.begin(), usable.end(), table.random);
  std::vector<http::Address> picked;
  for (const Member* member : usable) {
    if (static_cast<int>(picked.size()) == count)
      break;
    picked.push_back(member->address);
  }
  return picked;
}

void GossipUpdates(MemberTable& table, std::vector<Outgoing>* out) {
  for (const http::Address& address : PickMembers(table, kGossipFanOut))
    out->push_back({address, MakeMessage(table, MessageKind::kUpdates, 0)});
}

void ApplyMessage(MemberTable& table,
                  const Message& message,
                  TimePoint now,
                  std::vector<Outgoing>* out) {
  ApplyUpdate(table, message.sender, now);
  const bool is_answer =
      message.kind == MessageKind::kUpdates && message.sequence != 0;
  bool has_changes = false;
  for (const Member& update : message.updates) {
    if (!ApplyUpdate(table, update, now))
      continue;
    has_changes = true;
    if (is_answer)
      StopGossiping(table, update.id);
  }
  const Milliseconds delay =
      is_answer ? kSyncDelayAfterAnswer : kSyncDelayAfterUpdate;
  if (has_changes)
    table.catch_up_at = std::min(table.catch_up_at, now + delay);
  bool has_new_leaving = false;
  for (const LeavingEndpoint& leaving : message.leaving)
    has_new_leaving |= ApplyLeaving(table, leaving, now);
  if (has_new_leaving)
    GossipUpdates(table, out);
}

/// A message proves that its sender is alive. This clears the local suspicion
/// immediately; the sender's higher incarnation clears it on other members.
void ClearSuspicion(MemberTable& table, const Message& message) {
  const auto found = table.members.find(message.sender.id);
  if (found == table.members.end())
    return;
  MemberRecord& record = found->second;
  if (record.member.instance != message.sender.instance)
    return;
  if (record.member.state == MemberState::kSuspect) {
    record.member.state = MemberState::kAlive;
    record.state_deadline = TimePoint::max();
  }
}

void OnAck(MemberTable& table,
           const Message& message,
           std::vector<Outgoing>* out) {
  if (message.sequence == table.probe.sequence)
    table.probe = Probe{};
  const auto relay = table.relays.find(message.sequence);
  if (relay == table.relays.end())
    return;
  Message answer = message;
  answer.sequence = relay->second.origin_sequence;
  out->push_back({relay->second.origin, std::move(answer)});
  table.relays.erase(relay);
}

void OnPingRequest(MemberTable& table,
                   const http::Address& from,
                   const Message& message,
                   TimePoint now,
                   std::vector<Outgoing>* out) {
  if (table.relays.size() >= kMaxRelays)
    return;
  const std::int64_t sequence = table.next_sequence++;
  table.relays[sequence] = {from, message.sequence, now + kProbePeriod};
  out->push_back(
      {message.target, MakeMessage(table, MessageKind::kPing, sequence)});
}

/// Tells the sender that it is considered suspect or dead, so that it can
/// refute this.
void AddSenderState(const MemberTable& table,
                    const Message& message,
                    Message* answer) {
  const auto found = table.members.find(message.sender.id);
  if (found == table.members.end())
    return;
  const MemberState state = found->second.member.state;
  if (state == MemberState::kSuspect || state == MemberState::kDead)
    answer->updates.insert(answer->updates.begin(), found->second.member);
}

/// Returns the ID of the next member to probe; empty if all are dead. Each pass
/// over the members is in a new random order.
std::string NextProbeTarget(MemberTable& table) {
  for (int round = 0; round < 2; ++round) {
    while (!table.probe_order.empty()) {
      std::string id = std::move(table.probe_order.back());
      table.probe_order.pop_back();
      const auto found = table.members.find(id);
      if (found != table.members.end() &&
          found->second.member.state != MemberState::kDead)
        return id;
    }
    for (const auto& [id, record] : table.members)
      table.probe_order.push_back(id);
    std::shuffle(table.probe_order.begin(), table.probe_order.end(),
                 table.random);
  }
  return {};
}

void StartProbe(MemberTable& table, TimePoint now, std::vector<Outgoing>* out) {
  table.next_probe = now + kProbePeriod;
  const std::string id = NextProbeTarget(table);
  if (id.empty())
    return;
  const std::int64_t sequence = table.next_sequence++;
  table.probe = {id, sequence, now + kProbeTimeout, false,
                 now + kProbePeriod - Milliseconds{1}};
  const http::Address address = table.members[id].member.address;
  out->push_back({address, MakeMessage(table, MessageKind::kPing, sequence)});
}

void ContinueProbe(MemberTable& table,
                   TimePoint now,
                   std::vector<Outgoing>* out) {
  Probe& probe = table.probe;
  const auto found = table.members.find(probe.id);
  if (found == table.members.end())
    return;
  if (now >= probe.deadline) {
    Suspect(table, found->second, now);
    probe = Probe{};
    return;
  }
  if (probe.indirect_sent || now < probe.indirect_at)
    return;
  probe.indirect_sent = true;
  const http::Address target = found->second.member.address;
  for (const http::Address& relay :
       PickMembers(table, kIndirectProbes, probe.id)) {
    Message message =
        MakeMessage(table, MessageKind::kPingRequest, probe.sequence);
    message.target = target;
    out->push_back({relay, std::move(message)});
  }
}

/// Returns a synchronisation request with the bucket hashes of this table and
/// `reserved` bytes left free.
Message MakeSyncRequest(MemberTable& table, std::size_t reserved) {
  const std::int64_t salt = table.next_sequence++;
  Message request = MakeMessage(table, MessageKind::kSyncRequest, salt,
                                reserved + kBucketHashesBytes);
  request.buckets = HashBuckets(table, salt);
  return request;
}

void JoinFirstPeers(MemberTable& table,
                    TimePoint now,
                    std::vector<Outgoing>* out) {
  if (now < table.next_join || table.first_peers.empty())
    return;
  const bool is_isolated = PickMembers(table, 1).empty();
  if (is_isolated)
    table.join_attempts = 0;
  table.next_join =
      now + std::min(kJoinPeriod * (1 << table.join_attempts), kMaxJoinPeriod);
  table.join_attempts = std::min(table.join_attempts + 1, kMaxJoinDoublings);
  std::vector<http::Address> unknown;
  for (const http::Address& address : table.first_peers) {
    if (!IsKnown(table, address))
      unknown.push_back(address);
  }
  std::shuffle(unknown.begin(), unknown.end(), table.random);
  if (unknown.size() > kGossipFanOut)
    unknown.resize(kGossipFanOut);
  for (const http::Address& address : unknown)
    out->push_back({address, MakeSyncRequest(table, 0)});
}

/// Sends the periodic synchronisation request to one random member. Dead
/// members are included so that regions find each other again after a network
/// partition. A dead or leaving member is sent its own record, so that it can
/// refute it.
void SyncPeriodically(MemberTable& table,
                      TimePoint now,
                      std::vector<Outgoing>* out) {
  if (now < table.next_sync || table.members.empty())
    return;
  table.next_sync = now + kSyncPeriod;
  std::uniform_int_distribution<std::size_t> distribution(
      0, table.members.size() - 1);
  const auto chosen =
      std::next(table.members.begin(),
                static_cast<std::ptrdiff_t>(distribution(table.random)));
  const Member& member = chosen->second.member;
  const bool usable = IsUsable(member);
  Message request = MakeSyncRequest(table, usable ? 0 : MaxEncodedSize(member));
  if (!usable)
    request.updates.insert(request.updates.begin(), member);
  out->push_back({member.address, std::move(request)});
}

/// Sends the additional synchronisation request that is due after updates, to
/// one random usable member. Unusable members are not asked because most of
/// them do not answer while a region is cut off.
void SyncAfterUpdates(MemberTable& table,
                      TimePoint now,
                      std::vector<Outgoing>* out) {
  if (now < table.catch_up_at)
    return;
  table.catch_up_at = TimePoint::max();
  for (const http::Address& address : PickMembers(table, 1))
    out->push_back({address, MakeSyncRequest(table, 0)});
}

}  // namespace

std::vector<Outgoing> OnMessage(MemberTable& table,
                                const http::Address& from,
                                const Message& message,
                                TimePoint now) {
  std::vector<Outgoing> out;
  if (message.sender.id.empty() || message.sender.id == table.self.id)
    return out;
  ApplyMessage(table, message, now, &out);
  if (message.kind != MessageKind::kAck)
    ClearSuspicion(table, message);
  switch (message.kind) {
    case MessageKind::kPing: {
      Message answer = MakeMessage(table, MessageKind::kAck, message.sequence);
      AddSenderState(table, message, &answer);
      out.push_back({from, std::move(answer)});
      break;
    }
    case MessageKind::kAck:
      ClearSuspicion(table, message);
      OnAck(table, message, &out);
      break;
    case MessageKind::kPingRequest:
      OnPingRequest(table, from, message, now, &out);
      break;
    case MessageKind::kUpdates:
      break;
    case MessageKind::kSyncRequest:
      for (Message& part : MakeSyncAnswer(table, message))
        out.push_back({from, std::move(part)});
      break;
  }
  return out;
}

std::vector<Outgoing> OnTick(MemberTable& table, TimePoint now) {
  std::vector<Outgoing> out;
  ExpireRecords(table, now);
  JoinFirstPeers(table, now, &out);
  SyncPeriodically(table, now, &out);
  SyncAfterUpdates(table, now, &out);
  if (!table.probe.id.empty())
    ContinueProbe(table, now, &out);
  if (now >= table.next_probe)
    StartProbe(table, now, &out);
  return out;
}

void AddFirstPeers(MemberTable& table,
                   const std::vector<http::Address>& addresses) {
  for (const http::Address& address : addresses) {
    const auto same = [&address](const http::Address& peer) {
      return SameAddress(peer, address);
    };
    const bool listed =
        std::any_of(table.first_peers.begin(), table.first_peers.end(), same);
    if (listed || SameAddress(address, table.self.address) ||
        table.first_peers.size() >= kMaxMembers)
      continue;
    table.first_peers.push_back(address);
  }
}

std::vector<Outgoing> ChangeVersion(MemberTable& table,
                                    std::int64_t version,
                                    std::string_view digest) {
  std::vector<Outgoing> out;
  if (version <= table.self.version)
    return out;
  table.self.version = version;
  table.self.digest = digest;
  GossipUpdates(table, &out);
  return out;
}

void RemoveLeavingEndpoint(MemberTable& table,
                           std::string_view endpoint_id,
                           TimePoint now) {
  const std::string id(endpoint_id);
  table.leaving_endpoints.erase(id);
  if (table.returned_endpoints.size() < kMaxLeavingEndpoints)
    table.returned_endpoints[id] = now;
}

std::vector<Outgoing> AddLeavingEndpoint(MemberTable& table,
                                         std::string_view endpoint_id,
                                         TimePoint now) {
  std::vector<Outgoing> out;
  const LeavingEndpoint leaving{std::string(endpoint_id),
                                now + kLeavingEndpointRetention};
  if (ApplyLeaving(table, leaving, now))
    GossipUpdates(table, &out);
  return out;
}

std::vector<Outgoing> AnnounceLeaving(MemberTable& table) {
  std::vector<Outgoing> out;
  if (table.self.state == MemberState::kLeaving)
    return out;
  table.self.state = MemberState::kLeaving;
  ++table.self.incarnation;
  for (const auto& [id, record] : table.members) {
    if (record.member.data_centre == table.self.data_centre &&
        IsUsable(record.member))
      out.push_back({record.member.address,
                     MakeMessage(table, MessageKind::kUpdates, 0)});
  }
  GossipUpdates(table, &out);
  return out;
}

std::vector<Outgoing> ChangePlanner(MemberTable& table, bool planner) {
  std::vector<Outgoing> out;
  if (table.self.planner == planner)
    return out;
  table.self.planner = planner;
  ++table.self.incarnation;
  GossipUpdates(table, &out);
  return out;
}

std::vector<Member> ListMembers(const MemberTable& table) {
  std::vector<Member> members{table.self};
  for (const auto& [id, record] : table.members)
    members.push_back(record.member);
  return members;
}

}  // namespace coltsfootvane::membership
