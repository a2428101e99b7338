#ifndef COLTSFOOTVANE_MEMBERSHIP_BUCKETS_H_
#define COLTSFOOTVANE_MEMBERSHIP_BUCKETS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "membership/member_table.h"

namespace coltsfootvane::membership {

/// Tables are compared by one hash per bucket of members, so that an exchange
/// between equal tables has the same small cost in a fleet of any size, and one
/// between different tables sends only the buckets that differ.
inline constexpr std::size_t kBuckets = 128;
inline constexpr std::size_t kBucketHashBytes = 2;
inline constexpr std::size_t kBucketsBytes = kBuckets * kBucketHashBytes;
/// Members in one answer: about 8 KB, so that a fleet that starts at once
/// catches up within its traffic. The rest follows with the next exchange.
inline constexpr std::size_t kMaxDifference = 64;

/// Returns the hashes of the usable members, this daemon included. Another
/// `salt` separates tables whose hashes were equal by chance. Members that are
/// not usable are left out: each table forgets them at a time of its own.
std::string HashBuckets(const MemberTable& table, std::int64_t salt);

/// Returns the answer to a request for members: those in buckets that differ
/// from `request.buckets`, unusable ones included, from a random bucket on.
/// Nothing if the tables are equal; the whole list if the request has no
/// hashes, as those of earlier versions.
std::vector<Message> MakeDifference(MemberTable& table, const Message& request);

}  // namespace coltsfootvane::membership

#endif  // COLTSFOOTVANE_MEMBERSHIP_BUCKETS_H_
