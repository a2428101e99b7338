#include "membership/buckets.h"

#include <array>

#include "base/digest.h"
#include "membership/updates.h"

namespace coltsfootvane::membership {
namespace {

std::size_t BucketOf(std::string_view id) {
  return Hash64(id) % kBucketCount;
}

std::uint64_t HashMember(const Member& member, std::int64_t salt) {
  const auto incarnation = static_cast<std::uint64_t>(member.incarnation);
  const std::uint64_t id = Hash64(member.id, static_cast<std::uint64_t>(salt));
  return Hash64(member.instance, id + incarnation);
}

/// Returns, by bucket, the members of the buckets whose hash in this table
/// differs from the hash in `request.buckets`. The hashes cover this daemon,
/// but it is not returned: every message carries it as the sender.
std::array<std::vector<const Member*>, kBucketCount>
ListDifferingMembersByBucket(const MemberTable& table, const Message& request) {
  const std::string own = HashBuckets(table, request.sequence);
  std::array<std::vector<const Member*>, kBucketCount> differing;
  for (const auto& [id, record] : table.members) {
    const std::size_t bucket = BucketOf(id);
    const std::size_t offset = bucket * kBucketHashBytes;
    if (own.compare(offset, kBucketHashBytes, request.buckets, offset,
                    kBucketHashBytes) != 0)
      differing.at(bucket).push_back(&record.member);
  }
  return differing;
}

}  // namespace

std::string HashBuckets(const MemberTable& table, std::int64_t salt) {
  std::array<std::uint64_t, kBucketCount> sums{};
  const auto add = [&sums, salt](const Member& member) {
    if (IsUsable(member))
      sums.at(BucketOf(member.id)) ^= HashMember(member, salt);
  };
  add(table.self);
  for (const auto& [id, record] : table.members)
    add(record.member);
  std::string hashes;
  for (const std::uint64_t sum : sums) {
    hashes += static_cast<char>(sum & 255U);
    hashes += static_cast<char>((sum >> 8U) & 255U);
  }
  return hashes;
}

std::vector<Message> MakeSyncAnswer(MemberTable& table,
                                    const Message& request) {
  if (request.buckets.size() != kBucketHashesBytes)
    return MakeFullTableMessages(table, request.sequence);
  if (request.buckets == HashBuckets(table, request.sequence))
    return {};
  const auto differing = ListDifferingMembersByBucket(table, request);
  std::vector<const Member*> members;
  // The requester's own record goes first, so that the requester can refute it
  // if the record says that it is dead.
  const auto sender = table.members.find(request.sender.id);
  if (sender != table.members.end())
    members.push_back(&sender->second.member);
  std::uniform_int_distribution<std::size_t> distribution(0, kBucketCount - 1);
  const std::size_t first = distribution(table.random);
  for (std::size_t i = 0; i < kBucketCount; ++i) {
    for (const Member* member : differing.at((first + i) % kBucketCount)) {
      if (members.size() < kMaxMembersPerAnswer &&
          member->id != request.sender.id)
        members.push_back(member);
    }
  }
  return MakeUpdateMessages(table, members, request.sequence);
}

}  // namespace coltsfootvane::membership
