#include "membership/member_table.h"

#include <algorithm>

#include "membership/buckets.h"
#include "membership/updates.h"

namespace coltsfootvane::membership {
namespace {

constexpr Milliseconds kJoinPeriod{1000};
/// First peers include daemons that have been replaced and never answer.
constexpr Milliseconds kLongestJoinPeriod{30000};
constexpr int kMaxJoinDoublings = 5;
/// Members are asked for what was missed. Between equal tables that costs two
/// hashes for each of `kBuckets` and no answer.
constexpr Milliseconds kExchangePeriod{5000};
/// After news, since then others that were missed are likely.
constexpr Milliseconds kNewsPeriod{1000};
/// While answers bring news, since one answer has a part of the members only.
constexpr Milliseconds kCatchUpPeriod{500};
constexpr int kFanOut = 3;
constexpr std::size_t kMaxRelays = 64;

bool SameAddress(const http::Address& a, const http::Address& b) {
  return a.port == b.port && a.host == b.host;
}

/// Also true for a dead member: exchanges reach it when it lives again. Joins
/// by all members would flood a data centre that returns.
bool IsKnown(const MemberTable& table, const http::Address& address) {
  return std::any_of(table.members.begin(), table.members.end(),
                     [&address](const auto& entry) {
                       return SameAddress(entry.second.member.address, address);
                     });
}

/// Returns up to `count` random usable members, without `excluded`.
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

void SendToSome(MemberTable& table, std::vector<Outgoing>* out) {
  for (const http::Address& address : PickMembers(table, kFanOut))
    out->push_back({address, MakeMessage(table, MessageKind::kUpdates, 0)});
}

void ApplyContents(MemberTable& table,
                   const Message& message,
                   TimePoint now,
                   std::vector<Outgoing>* out) {
  ApplyUpdate(table, message.sender, now);
  const bool is_answer =
      message.kind == MessageKind::kUpdates && message.sequence != 0;
  bool has_news = false;
  for (const Member& update : message.updates) {
    if (!ApplyUpdate(table, update, now))
      continue;
    has_news = true;
    if (is_answer)
      StopSpreading(table, update.id);
  }
  const Milliseconds period = is_answer ? kCatchUpPeriod : kNewsPeriod;
  if (has_news)
    table.catch_up_at = std::min(table.catch_up_at, now + period);
  bool learned = false;
  for (const LeavingEndpoint& leaving : message.leaving)
    learned |= ApplyLeaving(table, leaving, now);
  if (learned)
    SendToSome(table, out);
}

/// An answer shows that the sender lives. A suspicion is lifted at once here;
/// the sender's higher incarnation lifts it elsewhere.
void NoteAlive(MemberTable& table, const Message& message) {
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

/// Tells a member that is held to be dead or suspect here, so that it refutes.
void TellState(const MemberTable& table,
               const Message& message,
               Message* answer) {
  const auto found = table.members.find(message.sender.id);
  if (found == table.members.end())
    return;
  const MemberState state = found->second.member.state;
  if (state == MemberState::kSuspect || state == MemberState::kDead)
    answer->updates.insert(answer->updates.begin(), found->second.member);
}

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
  for (const http::Address& helper :
       PickMembers(table, kIndirectProbes, probe.id)) {
    Message message =
        MakeMessage(table, MessageKind::kPingRequest, probe.sequence);
    message.target = target;
    out->push_back({helper, std::move(message)});
  }
}

/// Asks for the members that differ; leaves room for `reserved` bytes.
Message MakeJoin(MemberTable& table, std::size_t reserved) {
  const std::int64_t salt = table.next_sequence++;
  Message join =
      MakeMessage(table, MessageKind::kJoin, salt, reserved + kBucketsBytes);
  join.buckets = HashBuckets(table, salt);
  return join;
}

void JoinFirstPeers(MemberTable& table,
                    TimePoint now,
                    std::vector<Outgoing>* out) {
  if (now < table.next_join || table.first_peers.empty())
    return;
  const bool alone = PickMembers(table, 1).empty();
  if (alone)
    table.join_attempts = 0;
  table.next_join = now + std::min(kJoinPeriod * (1 << table.join_attempts),
                                   kLongestJoinPeriod);
  table.join_attempts = std::min(table.join_attempts + 1, kMaxJoinDoublings);
  std::vector<http::Address> unknown;
  for (const http::Address& address : table.first_peers) {
    if (!IsKnown(table, address))
      unknown.push_back(address);
  }
  std::shuffle(unknown.begin(), unknown.end(), table.random);
  if (unknown.size() > kFanOut)
    unknown.resize(kFanOut);
  for (const http::Address& address : unknown)
    out->push_back({address, MakeJoin(table, 0)});
}

/// Asks one random member for what differs, also one that is held to be dead:
/// regions that had lost contact find each other again.
void Exchange(MemberTable& table, TimePoint now, std::vector<Outgoing>* out) {
  if (now < table.next_exchange || table.members.empty())
    return;
  table.next_exchange = now + kExchangePeriod;
  std::uniform_int_distribution<std::size_t> any(0, table.members.size() - 1);
  const auto chosen = std::next(table.members.begin(),
                                static_cast<std::ptrdiff_t>(any(table.random)));
  const Member& member = chosen->second.member;
  const bool usable = IsUsable(member);
  Message join = MakeJoin(table, usable ? 0 : SizeOf(member));
  if (!usable)
    join.updates.insert(join.updates.begin(), member);
  out->push_back({member.address, std::move(join)});
}

/// Asks a usable member: while a region is cut off, most others do not answer.
void CatchUp(MemberTable& table, TimePoint now, std::vector<Outgoing>* out) {
  if (now < table.catch_up_at)
    return;
  table.catch_up_at = TimePoint::max();
  for (const http::Address& address : PickMembers(table, 1))
    out->push_back({address, MakeJoin(table, 0)});
}

}  // namespace

std::vector<Outgoing> OnMessage(MemberTable& table,
                                const http::Address& from,
                                const Message& message,
                                TimePoint now) {
  std::vector<Outgoing> out;
  if (message.sender.id.empty() || message.sender.id == table.self.id)
    return out;
  ApplyContents(table, message, now, &out);
  if (message.kind != MessageKind::kAck)
    NoteAlive(table, message);
  switch (message.kind) {
    case MessageKind::kPing: {
      Message answer = MakeMessage(table, MessageKind::kAck, message.sequence);
      TellState(table, message, &answer);
      out.push_back({from, std::move(answer)});
      break;
    }
    case MessageKind::kAck:
      NoteAlive(table, message);
      OnAck(table, message, &out);
      break;
    case MessageKind::kPingRequest:
      OnPingRequest(table, from, message, now, &out);
      break;
    case MessageKind::kUpdates:
      break;
    case MessageKind::kJoin:
      for (Message& part : MakeDifference(table, message))
        out.push_back({from, std::move(part)});
      break;
  }
  return out;
}

std::vector<Outgoing> OnTick(MemberTable& table, TimePoint now) {
  std::vector<Outgoing> out;
  ExpireRecords(table, now);
  JoinFirstPeers(table, now, &out);
  Exchange(table, now, &out);
  CatchUp(table, now, &out);
  if (!table.probe.id.empty())
    ContinueProbe(table, now, &out);
  if (now >= table.next_probe)
    StartProbe(table, now, &out);
  return out;
}

void AddFirstPeers(MemberTable& table,
                   const std::vector<http::Address>& addresses) {
  for (const http::Address& address : addresses) {
    const auto same = [&address](const http::Address& one) {
      return SameAddress(one, address);
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
  SendToSome(table, &out);
  return out;
}

void ForgetLeavingEndpoint(MemberTable& table,
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
                                now + kLeavingEndpointTime};
  if (ApplyLeaving(table, leaving, now))
    SendToSome(table, &out);
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
  SendToSome(table, &out);
  return out;
}

std::vector<Outgoing> ChangePlanner(MemberTable& table, bool planner) {
  std::vector<Outgoing> out;
  if (table.self.planner == planner)
    return out;
  table.self.planner = planner;
  ++table.self.incarnation;
  SendToSome(table, &out);
  return out;
}

std::vector<Member> ListMembers(const MemberTable& table) {
  std::vector<Member> members{table.self};
  for (const auto& [id, record] : table.members)
    members.push_back(record.member);
  return members;
}

}  // namespace coltsfootvane::membership
