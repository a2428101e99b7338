#ifndef COLTSFOOTVANE_DISPATCH_LATENESS_H_
#define COLTSFOOTVANE_DISPATCH_LATENESS_H_

#include <string>
#include <string_view>
#include <vector>

#include "dispatch/pool_state.h"

namespace coltsfootvane::dispatch {

/// Returns whether any holder of the item is neither leaving nor excluded by
/// the request. Ejected holders count.
bool HasEligibleHolder(const PoolState& pool, const SlotRequest& request);

/// Returns whether the item has holders in this pool, all of them leaving or
/// excluded by the request.
bool HasOnlyIneligibleHolders(const PoolState& pool,
                              const SlotRequest& request);

/// Returns whether every holder of the item has failed a probe after its first
/// ejection and is not probed again soon: the failure is lasting, so requests
/// should not wait. False if the item is unknown to the pool.
bool AllHoldersFailedProbe(const PoolState& pool,
                           const std::string& item,
                           TimePoint now);

/// Returns whether requests for the item are delayed by a disruption with a
/// known end: a takeover of the pool, the first ejection of a holder, or a
/// holder that has begun to leave. Late starts are tolerated until it is over
/// and its backlog has been served.
bool IsDisrupted(const PoolState& pool, std::string_view item, TimePoint now);

/// Returns the latest grant time that meets the first token target. For
/// services, and for requests that arrive in a disruption, this is the
/// request's deadline.
TimePoint StartDeadline(const PoolState& pool,
                        const SlotRequest& request,
                        TimePoint now);

/// Returns whether requests of the class for the item have recently waited
/// beyond the first token target for a sustained time. Only then are requests
/// refused for missing the target, so that bursts are queued.
bool IsOverloaded(const ClassState& state,
                  std::string_view item,
                  TimePoint now);

/// Returns whether a request that would wait behind all others of its item is
/// expected to miss its deadline or, in an overload, its first token target.
/// `state` is the class of `pool` that the request belongs to.
bool IsTooLateToQueue(const PoolState& pool,
                      ClassState& state,
                      const SlotRequest& request,
                      TimePoint start_deadline,
                      TimePoint now);

/// Returns, for each waiting request of the class, whether to refuse it:
/// requests expected to be late and, for the same items, requests with too
/// little slack.
std::vector<bool> FindRequestsToRefuse(const PoolState& pool,
                                       ClassState& state,
                                       TimePoint now);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_LATENESS_H_
