#ifndef COLTSFOOTVANE_FLEET_MEMBER_TABLE_H_
#define COLTSFOOTVANE_FLEET_MEMBER_TABLE_H_

#include <cstdint>
#include <gsl/span>
#include <map>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "fleet/gen/fleet_types.h"
#include "fleet/report.h"
#include "gateway/endpoint.h"

namespace coltsfootvane::fleet {

/// A daemon with what it has reported.
struct Member {
  gen::Report report;  ///< The last one; its lists are not kept.
  WorkByEndpoint work;
  DemandByModel demand;
  TimePoint last_heard_at;  ///< Of the last report; TimePoint() if none.
  TimePoint live_until;     ///< From then on it counts as failed.
};

/// The daemons known to this one, by IPv4 address. The table may be wrong, so
/// that no decision that affects safety may depend on it.
struct MemberTable {
  std::map<std::uint32_t, Member> members;
};

/// A member counts as failed once it has not reported for this time, or for
/// kMissedReports report intervals if these are longer.
inline constexpr Milliseconds kMemberTimeout{2500};
inline constexpr int kMissedReports = 5;
/// A member that has been silent for longer is removed.
inline constexpr Milliseconds kMemberRetention{60'000};

bool IsLive(const Member& member, TimePoint now);

/// The difference that a report makes to the work of peers at an endpoint.
struct WorkChange {
  std::uint32_t endpoint = 0;  ///< KeyOf(id).
  gateway::EndpointWork work;
  int successes = 0;
  int failures = 0;
};

/// Applies a report. Returns false if it is not newer than the last one of the
/// same process. Appends the differences in work to `changes`, which may be
/// nullptr.
bool ApplyReport(MemberTable* table,
                 std::uint32_t address,
                 gen::Report report,
                 TimePoint now,
                 Milliseconds report_interval,
                 std::vector<WorkChange>* changes = nullptr);

/// The work and recent results of all live members at an endpoint.
struct PeerWork {
  gateway::EndpointWork work;
  int successes = 0;
  int failures = 0;
};
/// By KeyOf(id), also of endpoints that this daemon does not know yet.
using PeerWorkByEndpoint = std::unordered_map<std::uint32_t, PeerWork>;

/// Adds the differences to the sums.
void ApplyWorkChanges(gsl::span<const WorkChange> changes,
                      PeerWorkByEndpoint* sums);

/// Removes members that have been silent for longer than kMemberRetention.
void RemoveSilent(MemberTable* table, TimePoint now);

/// Returns the number of live members that are not leaving.
int CountLive(const MemberTable& table, TimePoint now);

/// Returns whether this daemon should read the latest state of the store on
/// behalf of the others: it is among the first few, in order of address, that
/// reach the store.
bool ReadsLatestState(const MemberTable& table,
                      std::uint32_t own_address,
                      Milliseconds report_interval,
                      TimePoint now);

/// From more daemons on, a few read the store for all; see ReaderOrder().
inline constexpr std::size_t kMaxSmallFleet = 24;

/// Returns the daemons that should read the store for the others, this one
/// included: those that reach it first, each group in the order of a hash of
/// their addresses, which spreads them over the data centres. While
/// `counts_unheard`, daemons that have not been heard yet count as well.
std::vector<std::uint32_t> ReaderOrder(const MemberTable& table,
                                       std::uint32_t own_address,
                                       bool own_reachable,
                                       bool counts_unheard,
                                       std::size_t max_readers,
                                       TimePoint now);

/// Returns the number of live members and, if wanted, of those not heard yet.
std::size_t CountKnown(const MemberTable& table,
                       bool counts_unheard,
                       TimePoint now);

/// Returns the address of the lease holder, which is the live member with the
/// highest lease epoch, or 0 if there is none.
std::uint32_t FindHolder(const MemberTable& table, TimePoint now);

/// Returns whether at least one member last reported that it holds this epoch
/// of the lease, and none of these members is live.
bool IsHolderSilent(const MemberTable& table,
                    std::int64_t epoch,
                    TimePoint now);

/// Returns the sums over the live members.
PeerWorkByEndpoint SumWork(const MemberTable& table, TimePoint now);

/// Sets the work and results of peers on each endpoint to the sums. The work at
/// endpoints with exact figures that hold at `now` is kept.
void CopyPeerWork(const PeerWorkByEndpoint& sums,
                  gsl::span<const gateway::EndpointPtr> endpoints,
                  TimePoint now = TimePoint::max());

/// Returns the sums of the demand that live members report, decayed to `now`,
/// by model key.
std::map<std::uint32_t, double> SumDemand(const MemberTable& table,
                                          TimePoint now);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_MEMBER_TABLE_H_
