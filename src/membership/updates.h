#ifndef COLTSFOOTVANE_MEMBERSHIP_UPDATES_H_
#define COLTSFOOTVANE_MEMBERSHIP_UPDATES_H_

#include <cstddef>
#include <gsl/span>
#include <string_view>
#include <vector>

#include "membership/member_table.h"

namespace coltsfootvane::membership {

/// Bounds what a table keeps, whatever is received: 8 times the target size.
inline constexpr std::size_t kMaxMembers = 2560;
inline constexpr std::size_t kMaxLeavingEndpoints = 4096;

/// Returns the first message number of sends: 3 x log2(members).
int SendsPerUpdate(const MemberTable& table);

/// Takes in what `update` says about a member, this daemon included. Returns
/// whether anything changed.
bool ApplyUpdate(MemberTable& table, const Member& update, TimePoint now);

/// Sends the update of a member no further: what an answer brings is mostly
/// old.
void StopSpreading(MemberTable& table, std::string_view id);

/// Marks a member as suspected and spreads it.
void Suspect(MemberTable& table, MemberRecord& record, TimePoint now);

/// Takes in a leaving endpoint. Returns whether it is new.
bool ApplyLeaving(MemberTable& table,
                  const LeavingEndpoint& leaving,
                  TimePoint now);

/// Moves suspected members to dead and forgets what has expired.
void ExpireRecords(MemberTable& table, TimePoint now);

/// Returns a message with as many pending updates as fit a datagram beside
/// `reserved` bytes, those with the most sends left first.
Message MakeMessage(MemberTable& table,
                    MessageKind kind,
                    std::int64_t sequence,
                    std::size_t reserved = 0);

/// Returns messages that together carry `members` and all leaving endpoints.
std::vector<Message> MakeList(const MemberTable& table,
                              gsl::span<const Member* const> members,
                              std::int64_t sequence);

/// Returns messages that together carry the whole table.
std::vector<Message> MakeWholeList(const MemberTable& table,
                                   std::int64_t sequence);

/// The size of an update in a message, not less than its encoded size.
std::size_t SizeOf(const Member& member);

}  // namespace coltsfootvane::membership

#endif  // COLTSFOOTVANE_MEMBERSHIP_UPDATES_H_
