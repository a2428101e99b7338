#include "membership/updates.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::membership {
namespace {

/// Leaves 200 bytes of a datagram of 1,200 bytes for the rest of the envelope.
constexpr std::size_t kMaxUpdateBytes = 1000;
constexpr std::size_t kFixedMemberBytes = 40;
constexpr std::size_t kFixedLeavingBytes = 10;
constexpr int kSendsFactor = 3;

/// Within one incarnation, a state replaces those of lower precedence.
int StatePrecedence(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kLeaving:
      return 2;
    case MemberState::kDead:
      return 3;
  }
  return 0;
}

bool Supersedes(const Member& update, const Member& known) {
  if (update.incarnation != known.incarnation)
    return update.incarnation > known.incarnation;
  return StatePrecedence(update.state) > StatePrecedence(known.state);
}

/// Refutes a wrong update about this daemon by setting an incarnation higher
/// than that of the update. Returns whether it did.
bool Refute(MemberTable& table, const Member& update) {
  Member& self = table.self;
  if (update.incarnation < self.incarnation)
    return false;
  const bool same = update.instance == self.instance &&
                    update.state == self.state &&
                    update.incarnation == self.incarnation;
  if (same)
    return false;
  self.incarnation = update.incarnation + 1;
  return true;
}

/// Applies only the configuration version, which rises without a new
/// incarnation.
bool ApplyVersion(Member& known, const Member& update) {
  if (update.incarnation < known.incarnation || update.version <= known.version)
    return false;
  known.version = update.version;
  known.digest = update.digest;
  return true;
}

TimePoint StateDeadline(MemberState state, TimePoint now) {
  if (state == MemberState::kSuspect)
    return now + kSuspicionTimeout;
  if (state == MemberState::kDead || state == MemberState::kLeaving)
    return now + kDeadMemberRetention;
  return TimePoint::max();
}

void SetState(MemberTable& table,
              MemberRecord& record,
              MemberState state,
              TimePoint now) {
  record.member.state = state;
  record.state_deadline = StateDeadline(state, now);
  record.sends_left = SendsPerUpdate(table);
}

template <class Record>
std::vector<Record*> SortBySendsLeft(std::vector<Record*> records) {
  std::stable_sort(records.begin(), records.end(),
                   [](const Record* a, const Record* b) {
                     return a->sends_left > b->sends_left;
                   });
  return records;
}

void AppendLeavingEndpoints(MemberTable& table,
                            Message* message,
                            std::size_t* free_bytes) {
  for (auto& [id, record] : table.leaving_endpoints) {
    const std::size_t size = kFixedLeavingBytes + id.size();
    if (record.sends_left <= 0 || size > *free_bytes)
      continue;
    --record.sends_left;
    *free_bytes -= size;
    message->leaving.push_back({id, record.deadline});
  }
}

void AppendMemberUpdates(MemberTable& table,
                         Message* message,
                         std::size_t* free_bytes) {
  std::vector<MemberRecord*> records;
  for (auto& [id, record] : table.members) {
    if (record.sends_left > 0)
      records.push_back(&record);
  }
  for (MemberRecord* record : SortBySendsLeft(std::move(records))) {
    const std::size_t size = MaxEncodedSize(record->member);
    if (size > *free_bytes)
      return;
    --record->sends_left;
    *free_bytes -= size;
    message->updates.push_back(record->member);
  }
}

}  // namespace

std::size_t MaxEncodedSize(const Member& member) {
  return kFixedMemberBytes + member.id.size() + member.instance.size() +
         member.data_centre.size() + member.region.size() +
         member.address.host.size() + member.digest.size();
}

int SendsPerUpdate(const MemberTable& table) {
  const auto count = static_cast<double>(table.members.size() + 2);
  return static_cast<int>(std::ceil(kSendsFactor * std::log2(count)));
}

bool ApplyUpdate(MemberTable& table, const Member& update, TimePoint now) {
  if (update.id.empty())
    return false;
  if (update.id == table.self.id)
    return Refute(table, update);
  const auto found = table.members.find(update.id);
  if (found == table.members.end()) {
    // Tables expire dead members at different times and must not re-add them
    // from each other.
    if (!IsUsable(update) || table.members.size() >= kMaxMembers)
      return false;
    MemberRecord& record = table.members[update.id];
    record.member = update;
    SetState(table, record, update.state, now);
    return true;
  }
  MemberRecord& record = found->second;
  if (!Supersedes(update, record.member))
    return ApplyVersion(record.member, update);
  const std::int64_t version = record.member.version;
  const std::string digest = record.member.digest;
  const bool same_process = record.member.instance == update.instance;
  record.member = update;
  if (same_process && version > update.version) {
    record.member.version = version;
    record.member.digest = digest;
  }
  SetState(table, record, update.state, now);
  return true;
}

void StopGossiping(MemberTable& table, std::string_view id) {
  const auto found = table.members.find(std::string(id));
  if (found != table.members.end())
    found->second.sends_left = 0;
}

void Suspect(MemberTable& table, MemberRecord& record, TimePoint now) {
  if (record.member.state == MemberState::kAlive)
    SetState(table, record, MemberState::kSuspect, now);
  else if (record.member.state == MemberState::kLeaving)
    SetState(table, record, MemberState::kDead, now);
}

bool ApplyLeaving(MemberTable& table,
                  const LeavingEndpoint& leaving,
                  TimePoint now) {
  if (leaving.id.empty() || leaving.deadline <= now)
    return false;
  if (table.leaving_endpoints.size() >= kMaxLeavingEndpoints)
    return false;
  const auto returned = table.returned_endpoints.find(leaving.id);
  if (returned != table.returned_endpoints.end() &&
      leaving.deadline <= returned->second + kLeavingEndpointRetention)
    return false;
  const TimePoint deadline =
      std::min(leaving.deadline, now + kLeavingEndpointRetention);
  const auto [record, is_new] = table.leaving_endpoints.try_emplace(leaving.id);
  if (!is_new)
    return false;
  record->second.deadline = deadline;
  record->second.sends_left = SendsPerUpdate(table);
  return true;
}

void ExpireRecords(MemberTable& table, TimePoint now) {
  for (auto it = table.members.begin(); it != table.members.end();) {
    MemberRecord& record = it->second;
    const bool due = record.state_deadline <= now;
    if (due && record.member.state == MemberState::kSuspect)
      SetState(table, record, MemberState::kDead, now);
    else if (due && !IsUsable(record.member)) {
      it = table.members.erase(it);
      continue;
    }
    ++it;
  }
  auto& leaving = table.leaving_endpoints;
  for (auto it = leaving.begin(); it != leaving.end();)
    it = it->second.deadline <= now ? leaving.erase(it) : std::next(it);
  auto& returned = table.returned_endpoints;
  for (auto it = returned.begin(); it != returned.end();) {
    const bool expired = it->second + kLeavingEndpointRetention <= now;
    it = expired ? returned.erase(it) : std::next(it);
  }
  auto& relays = table.relays;
  for (auto it = relays.begin(); it != relays.end();)
    it = it->second.deadline <= now ? relays.erase(it) : std::next(it);
}

Message MakeMessage(MemberTable& table,
                    MessageKind kind,
                    std::int64_t sequence,
                    std::size_t reserved) {
  Message message;
  message.kind = kind;
  message.sequence = sequence;
  message.sender = table.self;
  std::size_t free_bytes =
      kMaxUpdateBytes -
      std::min(kMaxUpdateBytes, MaxEncodedSize(table.self) + reserved);
  AppendLeavingEndpoints(table, &message, &free_bytes);
  AppendMemberUpdates(table, &message, &free_bytes);
  return message;
}

std::vector<Message> MakeUpdateMessages(const MemberTable& table,
                                        gsl::span<const Member* const> members,
                                        std::int64_t sequence) {
  std::vector<Message> messages;
  std::size_t free_bytes = 0;
  // Starts a new message if `size` bytes do not fit the last one.
  const auto reserve = [&](std::size_t size) {
    if (messages.empty() || size > free_bytes) {
      Message message;
      message.kind = MessageKind::kUpdates;
      message.sequence = sequence;
      message.sender = table.self;
      messages.push_back(message);
      free_bytes = kMaxUpdateBytes -
                   std::min(kMaxUpdateBytes, MaxEncodedSize(table.self));
    }
    free_bytes -= std::min(free_bytes, size);
  };
  for (const Member* member : members) {
    reserve(MaxEncodedSize(*member));
    messages.back().updates.push_back(*member);
  }
  for (const auto& [id, record] : table.leaving_endpoints) {
    reserve(kFixedLeavingBytes + id.size());
    messages.back().leaving.push_back({id, record.deadline});
  }
  return messages;
}

std::vector<Message> MakeFullTableMessages(const MemberTable& table,
                                           std::int64_t sequence) {
  std::vector<const Member*> members;
  for (const auto& [id, record] : table.members)
    members.push_back(&record.member);
  return MakeUpdateMessages(table, members, sequence);
}

}  // namespace coltsfootvane::membership
