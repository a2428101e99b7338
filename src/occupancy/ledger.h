#ifndef COLTSFOOTVANE_OCCUPANCY_LEDGER_H_
#define COLTSFOOTVANE_OCCUPANCY_LEDGER_H_

#include <cstdint>
#include <gsl/span>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "occupancy/place_limit.h"
#include "occupancy/work.h"

namespace coltsfootvane::occupancy {

/// Daemons are identified by their IPv4 addresses.
using DaemonId = std::uint32_t;
/// KeyOf() the id of an endpoint.
using EndpointKey = std::uint32_t;

/// The work of a daemon at an endpoint, in absolute figures. Of two updates of
/// the same process the one with the higher sequence number holds, so that lost
/// and repeated updates do no harm once the next one arrives.
struct WorkUpdate {
  EndpointKey endpoint = 0;
  std::int32_t process = 0;  ///< Differs between processes of a daemon.
  std::int64_t sequence = 0;
  EndpointWork work;
  bool refused = false;  ///< The endpoint has just refused a request as full.
};

/// Daemons repeat their figures for endpoints with work at this interval.
inline constexpr Milliseconds kRepeatInterval{1000};
/// Figures that are not repeated for so long are dropped: the daemon has died,
/// or several updates in a row were lost.
inline constexpr Milliseconds kEntryLifetime{3500};
/// An endpoint that nobody asks for or has work at is not tracked any longer.
inline constexpr Milliseconds kTrackingTimeout{15'000};

/// What a load tracker knows of one daemon's work at an endpoint.
struct DaemonEntry {
  std::int32_t process = 0;
  std::int64_t sequence = 0;  ///< 0 if the figures are those of a report.
  EndpointWork work;
  TimePoint updated_at;
};

/// A daemon that has asked for the load is about to send a request, to this or
/// another of a few endpoints.
struct Claim {
  DaemonId daemon = 0;
  TimePoint asked_at;
};

/// By then the daemon has told of its request, or sent it elsewhere.
inline constexpr Milliseconds kClaimLifetime{5};

struct TrackedEndpoint {
  TimePoint since;
  TimePoint used_at;  ///< Of the last update or query.
  std::unordered_map<DaemonId, DaemonEntry> daemons;
  std::vector<Claim> claims;
  PlaceLimit limit;
};

/// The exact work of all daemons at the endpoints that this daemon tracks.
struct Ledger {
  std::unordered_map<EndpointKey, TrackedEndpoint> endpoints;
};

/// Work of other daemons at an endpoint, as their reports state it.
using ReportedWork = gsl::span<const std::pair<DaemonId, EndpointWork>>;

bool IsTracked(const Ledger& ledger, EndpointKey endpoint);

/// Begins to track an endpoint, with the figures of reports until the daemons
/// send their own.
void BeginTracking(EndpointKey endpoint,
                   ReportedWork reported,
                   TimePoint now,
                   Ledger* ledger);

/// Applies an update for a tracked endpoint. Returns false if it is older than
/// the one known, or the endpoint is not tracked.
bool ApplyUpdate(DaemonId from,
                 const WorkUpdate& update,
                 TimePoint now,
                 Ledger* ledger);

/// What a load tracker answers to a query.
struct TrackedLoad {
  EndpointWork others;  ///< Of all daemons but the one that asks.
  Milliseconds tracked_for{0};
  int limit = 0;  ///< See CurrentLimit().
};

/// Returns the work of all daemons but `asker` at a tracked endpoint, with the
/// share of those who have just asked that will probably send a request to it.
TrackedLoad ReadLoad(EndpointKey endpoint,
                     DaemonId asker,
                     TimePoint now,
                     Ledger* ledger);

/// Drops the figures of daemons that have sent none for kEntryLifetime, and
/// endpoints that are no longer used.
void ExpireEntries(TimePoint now, Ledger* ledger);
/// Drops the figures of a daemon that has ended.
void RemoveDaemon(DaemonId daemon, Ledger* ledger);

/// A load tracker younger than this may not have heard of all daemons.
inline constexpr Milliseconds kYoungTracker{1000};

/// Returns what an asker believes of the work of others: the answer, or the
/// greater figures of this and the reports if the load tracker is new.
EndpointWork CombineWithReports(const TrackedLoad& answer,
                                const EndpointWork& reported);

/// Returns the daemon that tracks the load of an endpoint, by rendezvous
/// hashing; 0 if there is no daemon.
DaemonId FindTracker(EndpointKey endpoint, gsl::span<const DaemonId> daemons);

}  // namespace coltsfootvane::occupancy

#endif  // COLTSFOOTVANE_OCCUPANCY_LEDGER_H_
