#ifndef COLTSFOOTVANE_FLEET_LOAD_TRACKING_H_
#define COLTSFOOTVANE_FLEET_LOAD_TRACKING_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fleet/gen/fleet_types.h"
#include "fleet/member_table.h"
#include "gateway/endpoint.h"
#include "net/timer.h"
#include "occupancy/ledger.h"

namespace coltsfootvane::fleet {

/// Time for which the answers of load trackers are awaited: a few round trips
/// between data centres.
inline constexpr Milliseconds kLoadQueryTimeout{8};
/// Exact figures are not replaced by reports for this time. Reports are older
/// than that wherever load trackers are asked.
inline constexpr Milliseconds kExactLifetime{250};

/// The queries of one request.
struct LoadRound {
  explicit LoadRound(boost::asio::io_context* io) : timer(io) {}
  int missing = 0;  ///< Answers that are awaited.
  std::function<void()> done;
  net::Timer timer;
};

/// A query that has no answer yet.
struct PendingLoad {
  std::weak_ptr<gateway::Endpoint> endpoint;
  occupancy::DaemonId tracker = 0;
  TimePoint sent_at;
  std::shared_ptr<LoadRound> round;  ///< nullptr if it does not wait for this.
};

/// A load tracker that leaves queries unanswered is not waited for until the
/// time given, but still asked.
struct TrackerContact {
  int unanswered = 0;  ///< In a row.
  TimePoint silent_until;
};

/// What a daemon does as load tracker of some endpoints and as a client of the
/// load trackers of others.
struct LoadTracking {
  occupancy::Ledger ledger;
  std::map<std::int64_t, PendingLoad> pending;  ///< By number.
  std::unordered_map<occupancy::DaemonId, TrackerContact> contacts;
  /// Endpoints at which this daemon had work when it last told of it.
  std::set<occupancy::EndpointKey> told_work;
  std::vector<occupancy::DaemonId> daemons;  ///< That may track endpoints.
  TimePoint daemons_until;
  std::size_t logged_count = 0;  ///< Of tracked endpoints.
  double received_bytes = 0;     ///< Since the last repetition.
  double bytes_per_s = 0;        ///< Received, smoothed.
};

/// Returns the live members that are not leaving, and `self` unless it is 0.
std::vector<occupancy::DaemonId> FindTrackers(const MemberTable& table,
                                              occupancy::DaemonId self,
                                              TimePoint now);

/// Returns what live members have reported of their work at an endpoint.
std::vector<std::pair<occupancy::DaemonId, occupancy::EndpointWork>>
FindReportedWork(const MemberTable& table,
                 occupancy::EndpointKey endpoint,
                 TimePoint now);

gen::WorkUpdate ToWire(const occupancy::WorkUpdate& update);
occupancy::WorkUpdate FromWire(const gen::WorkUpdate& wire);
gen::LoadAnswer ToWire(std::int64_t number, const occupancy::TrackedLoad& load);
occupancy::TrackedLoad FromWire(const gen::LoadAnswer& wire);

/// Sets what the load tracker of an endpoint has answered.
void ApplyLoad(const occupancy::TrackedLoad& load,
               TimePoint now,
               gateway::Endpoint* endpoint);

/// Records whether a load tracker answered in time. Returns true if it has
/// become silent.
bool RecordContact(bool answered, TimePoint now, TrackerContact* contact);

}  // namespace coltsfootvane::fleet

#endif  // COLTSFOOTVANE_FLEET_LOAD_TRACKING_H_
