#ifndef COLTSFOOTVANE_MEMBERSHIP_BUCKETS_H_
#define COLTSFOOTVANE_MEMBERSHIP_BUCKETS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/member_table.h"

namespace coltsfootvane::membership {

/// Member tables are compared by one hash per bucket of members. Synchronising
/// equal tables then has the same small cost in a fleet of any size, and
/// different tables exchange only the buckets that differ.
inline constexpr std::size_t kBucketCount = 128;
inline constexpr std::size_t kBucketHashBytes = 2;
inline constexpr std::size_t kBucketHashesBytes =
    kBucketCount * kBucketHashBytes;
/// Limits a synchronisation answer to about 8 KB, to bound the traffic when the
/// whole fleet starts at the same time. Further requests fetch the remaining
/// members.
inline constexpr std::size_t kMaxMembersPerAnswer = 64;

/// Returns the bucket hashes of the usable members, including this daemon. A
/// new `salt` per request resolves hash collisions between different tables.
/// Unusable members are left out because each table expires them at a different
/// time.
std::string HashBuckets(const MemberTable& table, std::int64_t salt);

/// Returns the answer to a synchronisation request: up to
/// `kMaxMembersPerAnswer` members, including unusable ones, of the buckets
/// whose hash differs from that in `request.buckets`, starting at a random
/// bucket. Empty if all hashes are equal; the full table if the request has no
/// hashes, as sent by earlier versions.
std::vector<Message> MakeSyncAnswer(MemberTable& table, const Message& request);

}  // namespace coltsfootvane::membership

#endif  // COLTSFOOTVANE_MEMBERSHIP_BUCKETS_H_
