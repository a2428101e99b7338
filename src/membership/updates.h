#ifndef COLTSFOOTVANE_MEMBERSHIP_UPDATES_H_
#define COLTSFOOTVANE_MEMBERSHIP_UPDATES_H_

#include <cstddef>
#include <gsl/span>
#include <string_view>
#include <vector>

#include "membership/member_table.h"

namespace coltsfootvane::membership {

/// Bounds the table regardless of what is received: 8 times the target fleet
/// size of 320 daemons.
inline constexpr std::size_t kMaxMembers = 2560;
inline constexpr std::size_t kMaxLeavingEndpoints = 4096;

/// Returns how many messages carry a new update: about 3 x log2(members).
int SendsPerUpdate(const MemberTable& table);

/// Applies `update` to its member, which may be this daemon. Returns whether
/// anything changed.
bool ApplyUpdate(MemberTable& table, const Member& update, TimePoint now);

/// Stops forwarding the update of a member. Used for updates from
/// synchronisation answers, most of which the other members already have.
void StopGossiping(MemberTable& table, std::string_view id);

/// Marks an alive member as suspect, or a leaving one as dead, and disseminates
/// the change.
void Suspect(MemberTable& table, MemberRecord& record, TimePoint now);

/// Applies a leaving notice. Returns whether it is new.
bool ApplyLeaving(MemberTable& table,
                  const LeavingEndpoint& leaving,
                  TimePoint now);

/// Declares overdue suspects dead and removes expired records.
void ExpireRecords(MemberTable& table, TimePoint now);

/// Returns a message with as many pending updates as fit a datagram while
/// `reserved` bytes are left free: leaving notices first, then member updates,
/// those with the most sends left first.
Message MakeMessage(MemberTable& table,
                    MessageKind kind,
                    std::int64_t sequence,
                    std::size_t reserved = 0);

/// Returns messages that together contain `members` and all leaving endpoints.
std::vector<Message> MakeUpdateMessages(const MemberTable& table,
                                        gsl::span<const Member* const> members,
                                        std::int64_t sequence);

/// Returns messages that together contain the whole table.
std::vector<Message> MakeFullTableMessages(const MemberTable& table,
                                           std::int64_t sequence);

/// Returns an upper bound of the encoded size of an update, in bytes.
std::size_t MaxEncodedSize(const Member& member);

}  // namespace coltsfootvane::membership

#endif  // COLTSFOOTVANE_MEMBERSHIP_UPDATES_H_
