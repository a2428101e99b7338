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
inline constexpr Milliseconds kSuspicionTime{5000};
inline constexpr Milliseconds kLeavingEndpointTime{60000};
/// A dead member is kept this long, so that old updates do not revive it and
/// so that regions that lost contact find each other again.
inline constexpr Milliseconds kDeadMemberTime{7200000};
inline constexpr int kIndirectProbes = 3;

struct MemberRecord {
  Member member;
  TimePoint state_deadline;  ///< Suspect: dead then. Dead: forgotten then.
  int sends_left = 0;        ///< Of the update in further messages.
};

struct LeavingRecord {
  TimePoint deadline;
  int sends_left = 0;
};

/// The probe that is in progress.
struct Probe {
  std::string id;  ///< Empty for none.
  std::int64_t sequence = 0;
  TimePoint indirect_at;  ///< Indirect probes are sent then.
  bool indirect_sent = false;
  TimePoint deadline;  ///< Suspected then.
};

/// A ping that was sent on behalf of another member.
struct Relay {
  http::Address origin;
  std::int64_t origin_sequence = 0;
  TimePoint deadline;
};

/// The membership view of one daemon. `first_peers` are addresses to join by.
struct MemberTable {
  Member self;
  std::map<std::string, MemberRecord> members;  ///< Without self.
  std::map<std::string, LeavingRecord> leaving_endpoints;
  /// Endpoints that are live again, and since when: what was noted before that
  /// still goes around.
  std::map<std::string, TimePoint> returned_endpoints;
  std::vector<http::Address> first_peers;
  std::mt19937_64 random;
  std::int64_t next_sequence = 1;
  Probe probe;
  std::map<std::int64_t, Relay> relays;
  std::vector<std::string> probe_order;  ///< Shuffled; the last is next.
  TimePoint next_probe;
  TimePoint next_join;
  int join_attempts = 0;  ///< Without an answer of the first peers.
  TimePoint next_exchange;
  TimePoint catch_up_at = TimePoint::max();  ///< Not while there is no news.
};

std::vector<Outgoing> OnMessage(MemberTable& table,
                                const http::Address& from,
                                const Message& message,
                                TimePoint now);

/// To be called at least every 100 ms.
std::vector<Outgoing> OnTick(MemberTable& table, TimePoint now);

/// Adds addresses of possible members; duplicates and own are ignored.
void AddFirstPeers(MemberTable& table,
                   const std::vector<http::Address>& addresses);

/// Takes in a changed configuration version of this daemon and tells a few
/// members at once.
std::vector<Outgoing> ChangeVersion(MemberTable& table,
                                    std::int64_t version,
                                    std::string_view digest);

/// Forgets that an endpoint is leaving, and ignores what others noted earlier.
void ForgetLeavingEndpoint(MemberTable& table,
                           std::string_view endpoint_id,
                           TimePoint now);

/// Spreads that an endpoint is leaving. Nothing is sent if it was known.
std::vector<Outgoing> AddLeavingEndpoint(MemberTable& table,
                                         std::string_view endpoint_id,
                                         TimePoint now);

/// Announces to the members of the own data centre, and to a few others, that
/// this daemon is leaving.
std::vector<Outgoing> AnnounceLeaving(MemberTable& table);

std::vector<Outgoing> ChangePlanner(MemberTable& table, bool planner);

/// Returns whether roles may be given to `member`.
inline bool IsUsable(const Member& member) {
  return member.state == MemberState::kAlive ||
         member.state == MemberState::kSuspect;
}

/// Returns all members, this daemon included.
std::vector<Member> ListMembers(const MemberTable& table);

}  // namespace coltsfootvane::membership

#endif  // COLTSFOOTVANE_MEMBERSHIP_MEMBER_TABLE_H_
