#include "membership/updates.h"

#include <algorithm>
#include <cmath>

namespace coltsfootvane::membership {
namespace {

/// Leaves room for the envelope in a datagram of 1,200 bytes.
constexpr std::size_t kUpdateBytes = 1000;
constexpr std::size_t kFixedMemberBytes = 40;
constexpr std::size_t kFixedLeavingBytes = 10;
constexpr int kSendsFactor = 3;

/// The order in which states replace each other within one incarnation.
int Rank(MemberState state) {
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

bool IsNewer(const Member& update, const Member& known) {
  if (update.incarnation != known.incarnation)
    return update.incarnation > known.incarnation;
  return Rank(update.state) > Rank(known.state);
}

/// Raises the own incarnation above an update that is wrong about this daemon.
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

bool LearnVersion(Member& known, const Member& update) {
  if (update.incarnation < known.incarnation || update.version <= known.version)
    return false;
  known.version = update.version;
  known.digest = update.digest;
  return true;
}

TimePoint StateDeadline(MemberState state, TimePoint now) {
  if (state == MemberState::kSuspect)
    return now + kSuspicionTime;
  if (state == MemberState::kDead || state == MemberState::kLeaving)
    return now + kDeadMemberTime;
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
std::vector<Record*> Pending(std::vector<Record*> records) {
  std::stable_sort(records.begin(), records.end(),
                   [](const Record* a, const Record* b) {
                     return a->sends_left > b->sends_left;
                   });
  return records;
}

void AddLeavingTo(MemberTable& table, Message* message, std::size_t* room) {
  for (auto& [id, record] : table.leaving_endpoints) {
    const std::size_t size = kFixedLeavingBytes + id.size();
    if (record.sends_left <= 0 || size > *room)
      continue;
    --record.sends_left;
    *room -= size;
    message->leaving.push_back({id, record.deadline});
  }
}

void AddMembersTo(MemberTable& table, Message* message, std::size_t* room) {
  std::vector<MemberRecord*> records;
  for (auto& [id, record] : table.members) {
    if (record.sends_left > 0)
      records.push_back(&record);
  }
  for (MemberRecord* record : Pending(std::move(records))) {
    const std::size_t size = SizeOf(record->member);
    if (size > *room)
      return;
    --record->sends_left;
    *room -= size;
    message->updates.push_back(record->member);
  }
}

}  // namespace

std::size_t SizeOf(const Member& member) {
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
    // Tables forget the dead at different times and must not bring them back.
    if (!IsUsable(update) || table.members.size() >= kMaxMembers)
      return false;
    MemberRecord& record = table.members[update.id];
    record.member = update;
    SetState(table, record, update.state, now);
    return true;
  }
  MemberRecord& record = found->second;
  if (!IsNewer(update, record.member))
    return LearnVersion(record.member, update);
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

void StopSpreading(MemberTable& table, std::string_view id) {
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
      leaving.deadline <= returned->second + kLeavingEndpointTime)
    return false;
  const TimePoint deadline =
      std::min(leaving.deadline, now + kLeavingEndpointTime);
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
    const bool over = it->second + kLeavingEndpointTime <= now;
    it = over ? returned.erase(it) : std::next(it);
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
  std::size_t room =
      kUpdateBytes - std::min(kUpdateBytes, SizeOf(table.self) + reserved);
  AddLeavingTo(table, &message, &room);
  AddMembersTo(table, &message, &room);
  return message;
}

std::vector<Message> MakeList(const MemberTable& table,
                              gsl::span<const Member* const> members,
                              std::int64_t sequence) {
  std::vector<Message> messages;
  std::size_t room = 0;
  const auto reserve = [&](std::size_t size) {
    if (messages.empty() || size > room) {
      Message message;
      message.kind = MessageKind::kUpdates;
      message.sequence = sequence;
      message.sender = table.self;
      messages.push_back(message);
      room = kUpdateBytes - std::min(kUpdateBytes, SizeOf(table.self));
    }
    room -= std::min(room, size);
  };
  for (const Member* member : members) {
    reserve(SizeOf(*member));
    messages.back().updates.push_back(*member);
  }
  for (const auto& [id, record] : table.leaving_endpoints) {
    reserve(kFixedLeavingBytes + id.size());
    messages.back().leaving.push_back({id, record.deadline});
  }
  return messages;
}

std::vector<Message> MakeWholeList(const MemberTable& table,
                                   std::int64_t sequence) {
  std::vector<const Member*> members;
  for (const auto& [id, record] : table.members)
    members.push_back(&record.member);
  return MakeList(table, members, sequence);
}

}  // namespace coltsfootvane::membership
