#ifndef COLTSFOOTVANE_DISPATCH_POOL_STATE_H_
#define COLTSFOOTVANE_DISPATCH_POOL_STATE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <gsl/span>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "config/configuration.h"
#include "dispatch/slot_client.h"

namespace coltsfootvane::dispatch {

/// A grant expires after this time unless a report of its entry renews it.
inline constexpr Milliseconds kGrantLifetime{10000};
/// A waiting request is dropped when its entry has not repeated it for this
/// long, because the entry is presumed dead.
inline constexpr Milliseconds kWaitingTimeout{3000};
/// Two report periods, after which a new dispatcher stops waiting for reports.
inline constexpr Milliseconds kMaxTakeoverTime{2000};
/// Time after a disruption in which the requests that it delayed are served
/// before late starts are refused again.
inline constexpr Milliseconds kRecoveryTime{1000};
/// After an endpoint begins to leave, the planner needs 1 to 2 s to notice, and
/// another copy needs about as long to load.
inline constexpr Milliseconds kReplacementTime{5000};

/// One call in progress at an endpoint.
struct Slot {
  std::uint64_t grant_id = 0;
  std::string request_id;
  std::string entry_id;
  std::string item;
  std::string caller;
  Priority priority = Priority::kInteractive;
  TimePoint start;
  TimePoint deadline;
  int missing_reports = 0;
  bool preempted = false;
};

/// The adaptive limit of an endpoint and the observations that adjust it.
struct LimitState {
  double limit = 1;
  int peak_in_use = 0;  ///< Since the last adjustment.
  /// Time per token divided by the target of the class.
  std::vector<double> samples;
  TimePoint next_adjustment;
};

/// Outlier detection for one endpoint.
struct OutlierState {
  int consecutive_failures = 0;
  int ejections = 0;        ///< Since the last success.
  int short_ejections = 0;  ///< Of these, shortened as last holder of an item.
  TimePoint ejected_at;
  TimePoint ejected_until;
  /// Set by an ejection: one call at a time until a success.
  bool probing = false;
};

struct EndpointState {
  std::string id;
  EndpointKind kind = EndpointKind::kEngine;
  int slots = 1;  ///< Initial limit.
  bool leaving = false;
  LimitState limit;
  OutlierState outlier;
  /// End of the disruption that the first ejection of the endpoint, or its
  /// leaving, causes, including the recovery from it.
  TimePoint disrupted_until;
  std::vector<Slot> granted;
};

/// A request that waits for a slot.
struct WaitingRequest {
  SlotRequest request;
  std::string entry_id;
  std::uint64_t arrival = 0;
  bool resumed = false;  ///< Was preempted; goes to the front of its class.
  TimePoint waiting_since;
  TimePoint last_repeated_at;  ///< By the entry.
  /// Latest grant time that meets the first token target.
  TimePoint start_deadline;
  /// Admitted in an overload, and refused if it misses `start_deadline`.
  /// Requests admitted before the overload are not refused for missing it.
  bool start_deadline_enforced = false;
};

/// Service rate, latencies and overload of one class for one item.
struct ServiceStatistics {
  /// Decaying rate at `last_grant_at`, from `first_grant_at` on.
  double grants_per_s = 0;
  double hold_s = 0;         ///< Moving average of hold times; 0 if unknown.
  double first_token_s = 0;  ///< Moving average, from the grant; 0 if unknown.
  TimePoint first_grant_at;
  TimePoint last_grant_at;
  /// Start of the current period in which some request has always been waiting
  /// beyond the first token target; unset if none is.
  TimePoint late_since;
  /// Until then, requests are refused if they miss the first token target.
  TimePoint overloaded_until;
};

struct ClassState {
  PriorityClass settings;
  std::vector<WaitingRequest> waiting;
  double deficit = 0;  ///< Grants owed for the minimum share.
  /// Turn of the last grant.
  std::map<std::string, std::uint64_t> last_turn_by_item;
  std::map<std::string, std::uint64_t> last_turn_by_caller;
  std::map<std::string, ServiceStatistics, std::less<>> statistics_by_item;
};

/// The state of the dispatcher of one pool.
struct PoolState {
  std::string name;
  std::map<std::string, EndpointState> endpoints;
  /// Ids of the endpoints that have an item ready, by item.
  std::map<std::string, std::vector<std::string>, std::less<>> holders;
  std::array<ClassState, kPriorityCount> classes;
  std::uint64_t next_grant_id = 1;
  std::uint64_t turn = 0;  ///< Counts arrivals and grants.
  /// Preempted requests that may resume, by CallerRequestId().
  std::set<std::string, std::less<>> resumable;
  /// Limits are halved until all of these entries have reported, at most until
  /// `takeover_until`.
  std::set<std::string> awaited_reports;
  TimePoint takeover_until;
  /// End of the takeover, including the recovery from it.
  TimePoint disrupted_until;
};

/// The answer to a request that has waited, to be sent to its entry: a grant or
/// a refusal.
struct QueuedAnswer {
  std::string entry_id;
  std::string request_id;
  SlotAnswer answer;
};

/// A slot that an entry reports as held. Without an endpoint it only renews a
/// known slot.
struct HeldSlot {
  std::uint64_t grant_id = 0;
  std::string request_id;
  std::string endpoint_id;
  std::string item;
  std::string caller;
  Priority priority = Priority::kInteractive;
  Milliseconds age{0};
};

/// A slot whose stream should be cancelled.
struct PreemptionNotice {
  std::string entry_id;
  std::string request_id;
  std::uint64_t grant_id = 0;
};

/// Returns `request_id` without the number of the attempt, `-<n>`, that the
/// entry appends. A preempted request comes back with the next number, so only
/// the rest identifies it.
std::string_view CallerRequestId(std::string_view request_id);

/// Requests a slot. Returns the answer, or nothing if the request is queued.
/// Repeating a request id returns the same grant and never takes a second slot.
std::optional<SlotAnswer> RequestSlot(PoolState& pool,
                                      std::string_view entry_id,
                                      const SlotRequest& request,
                                      TimePoint now);

/// Frees the slot `grant_id`; an unknown id changes nothing.
void ReleaseSlot(PoolState& pool,
                 std::uint64_t grant_id,
                 const SlotOutcome& outcome,
                 TimePoint now);

/// Frees a slot that was never used; records no observation.
void DiscardSlot(PoolState& pool, std::uint64_t grant_id);

/// Returns the endpoint of the slot `grant_id`, or an empty string.
std::string FindSlotEndpoint(const PoolState& pool, std::uint64_t grant_id);

/// Removes a request, waiting or granted, whose caller has disconnected.
void WithdrawRequest(PoolState& pool,
                     std::string_view entry_id,
                     std::string_view request_id);

/// Frees slots after their deadline and drops waiting requests whose deadline
/// has passed or whose entry is silent. Returns the number of freed slots.
int ExpireSlots(PoolState& pool, TimePoint now);

/// Grants free slots to waiting requests until none can be granted.
std::vector<QueuedAnswer> NextGrants(PoolState& pool, TimePoint now);

/// Removes waiting requests that are now expected to finish after their
/// deadline or to miss their first token target, that exclude every copy, or
/// whose copies are no longer in this pool, and returns their refusals. Resumed
/// streams are not refused as late, and wait for a new copy.
std::vector<QueuedAnswer> RefuseLateRequests(PoolState& pool, TimePoint now);

/// Reconciles the pool with the complete list of its slots that `entry_id`
/// holds. Known slots are renewed, unknown ones adopted, and slots that are
/// absent from two successive reports are freed.
void ReconcileSlots(PoolState& pool,
                    std::string_view entry_id,
                    gsl::span<const HeldSlot> held,
                    TimePoint now);

/// Chooses overnight slots to preempt for waiting interactive requests, the
/// most recently started first. Overnight keeps its minimum share.
std::vector<PreemptionNotice> ChoosePreemption(PoolState& pool, TimePoint now);

/// Returns how many overnight slots could be preempted for `item`.
int CountPreemptable(const PoolState& pool,
                     std::string_view item,
                     TimePoint now);

/// Sets whether the endpoint is leaving. If it begins to leave, late starts are
/// tolerated until its copies have been replaced.
void SetLeaving(EndpointState& endpoint, bool leaving, TimePoint now);

/// Adjusts the limits whose adjustment is due.
void AdjustLimits(PoolState& pool, TimePoint now);

/// Starts the takeover of the pool by this dispatcher: limits are halved
/// until each of `entries` has reported the slots that it holds, at most until
/// `takeover_until`.
void StartTakeover(PoolState& pool,
                   std::set<std::string> entries,
                   TimePoint now);

/// Returns how many calls `endpoint` may have in progress now.
int CurrentLimit(const PoolState& pool,
                 const EndpointState& endpoint,
                 TimePoint now);

/// Returns whether `endpoint` has a free slot and may be used.
bool IsFree(const PoolState& pool,
            const EndpointState& endpoint,
            TimePoint now);

/// Returns the endpoint for `request`, or null if no holder is free.
EndpointState* ChooseEndpoint(PoolState& pool,
                              const SlotRequest& request,
                              TimePoint now);

/// Returns after how many ms a request that is refused now should be retried.
int RetryAfterMs(const PoolState& pool,
                 const SlotRequest& request,
                 TimePoint now);

/// Returns granted slots and waiting requests in percent of the limits of the
/// pool; 100 if the pool has no limits.
int LoadPercent(const PoolState& pool, TimePoint now);

}  // namespace coltsfootvane::dispatch

#endif  // COLTSFOOTVANE_DISPATCH_POOL_STATE_H_
