#ifndef COLTSFOOTVANE_MEMBERSHIP_MEMBER_TABLE_H_
#define COLTSFOOTVANE_MEMBERSHIP_MEMBER_TABLE_H_

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "membership/message.h"

namespace coltsfootvane::membership {

inline constexpr Milliseconds kProbePeriod{1000};
inline constexpr Milliseconds kProbeTimeout{300};
inline constexpr Milliseconds kSuspicionTimeout{5000};
inline constexpr Milliseconds kLeavingEndpointRetention{60000};
/// Dead and leaving members are retained so that stale updates do not revive
/// them and regions find each other again after a network partition.
inline constexpr Milliseconds kDeadMemberRetention{7200000};
inline constexpr int kIndirectProbes = 3;

struct MemberRecord {
  Member member;
  /// When a suspect is declared dead, or a dead or leaving member is removed;
  /// `max()` for an alive member.
  TimePoint state_deadline;
  int sends_left = 0;  ///< Remaining messages that carry the update.
};

struct LeavingRecord {
  TimePoint deadline;
  int sends_left = 0;
};

/// The failure-detector probe in progress.
struct Probe {
  std::string id;  ///< Probed member; empty if no probe is in progress.
  std::int64_t sequence = 0;
  TimePoint indirect_at;  ///< When indirect probes are sent.
  bool indirect_sent = false;
  TimePoint deadline;  ///< When the member is suspected.
};

/// A ping sent on behalf of another member (indirect probe).
struct Relay {
  http::Address origin;
  std::int64_t origin_sequence = 0;
  TimePoint deadline;
};

/// The membership view of one daemon. `first_peers` are the seed addresses used
/// to join.
struct MemberTable {
  Member self;
  std::map<std::string, MemberRecord> members;  ///< Excludes self.
  std::map<std::string, LeavingRecord> leaving_endpoints;
  /// Endpoints that are live again, and since when. Older leaving notices still
  /// circulate and must be ignored.
  std::map<std::string, TimePoint> returned_endpoints;
  std::vector<http::Address> first_peers;
  std::mt19937_64 random;
  std::int64_t next_sequence = 1;
  Probe probe;
  std::map<std::int64_t, Relay> relays;
  std::vector<std::string> probe_order;  ///< Shuffled; probed from the back.
  TimePoint next_probe;
  TimePoint next_join;
  int join_attempts = 0;  ///< Rounds of join requests; sets the back-off.
  TimePoint next_sync;
  /// When to synchronise in addition to `next_sync`, because received updates
  /// changed the table; `max()` if not pending.
  TimePoint catch_up_at = TimePoint::max();
};

std::vector<Outgoing> OnMessage(MemberTable& table,
                                const http::Address& from,
                                const Message& message,
                                TimePoint now);

/// Runs everything that is due. Must be called at least every 100 ms.
std::vector<Outgoing> OnTick(MemberTable& table, TimePoint now);

/// Adds seed addresses. Ignores duplicates and the address of this daemon.
void AddFirstPeers(MemberTable& table,
                   const std::vector<http::Address>& addresses);

/// Sets the configuration version of this daemon if it is higher and announces
/// it to a few members immediately.
std::vector<Outgoing> ChangeVersion(MemberTable& table,
                                    std::int64_t version,
                                    std::string_view digest);

/// Removes an endpoint from the leaving endpoints and ignores leaving notices
/// issued before `now`.
void RemoveLeavingEndpoint(MemberTable& table,
                           std::string_view endpoint_id,
                           TimePoint now);

/// Announces that an endpoint is leaving. Sends nothing if already known.
std::vector<Outgoing> AddLeavingEndpoint(MemberTable& table,
                                         std::string_view endpoint_id,
                                         TimePoint now);

/// Announces to the members of the same data centre, and to a few random
/// members, that this daemon is leaving.
std::vector<Outgoing> AnnounceLeaving(MemberTable& table);

/// Sets `Member::planner` of this daemon and announces a change to a few
/// members immediately.
std::vector<Outgoing> ChangePlanner(MemberTable& table, bool planner);

/// Returns whether `member` may be assigned roles.
inline bool IsUsable(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

/// Returns all members, including this daemon.
std::vector<Member> ListMembers(const MemberTable& table);

}  // namespace coltsfootvane::membership

#endif  // COLTSFOOTVANE_MEMBERSHIP_MEMBER_TABLE_H_
