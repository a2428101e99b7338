#ifndef COLTSFOOTVANE_PEER_SLOT_REQUESTER_H_
#define COLTSFOOTVANE_PEER_SLOT_REQUESTER_H_

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "dispatch/messages.h"
#include "dispatch/slot_client.h"
#include "peer/member_view.h"
#include "peer/message.h"
#include "peer/unresponsive_pools.h"
#include "placement/demand.h"

namespace coltsfootvane::peer {

/// The entry's side of dispatch: requests slots from dispatchers, tracks the
/// held slots and reports them to the dispatchers. Thread safe.
class SlotRequester {
 public:
  using Send =
      std::function<void(const membership::Member& to, PeerMessage message)>;

  SlotRequester(std::string data_centre,
                RouteCache* routes,
                const MemberViewHolder* members,
                Send send);

  SlotAnswer Acquire(const SlotRequest& request,
                     const std::function<bool()>& caller_gone);
  void Release(const SlotAnswer& answer, const SlotOutcome& outcome);
  bool IsPreempted(const SlotAnswer& answer) const;

  void OnReply(const dispatch::SlotReplyMessage& reply);
  void OnPreemption(const dispatch::PreemptionMessage& preemption);

  /// Sends the reports that are due. Must be called by one thread only, every
  /// 100 ms.
  void Report(TimePoint now);

  /// Returns the number of requests per item, since the last call, for which no
  /// endpoint had the item ready.
  std::vector<ItemDemand> TakeUnreadyDemand();

  std::size_t CountHeld() const;

 private:
  struct Pending {
    std::string pool;
    std::condition_variable changed;
    std::optional<dispatch::SlotReplyMessage> reply;
  };
  /// The attempt to get a slot for one request from one pool.
  struct PoolAttempt {
    const dispatch::Routes& routes;
    const dispatch::PoolHolders& holders;
    const SlotRequest& request;
    const std::function<bool()>& caller_gone;
    std::shared_ptr<Pending> pending;
    std::string dispatcher;  ///< Last one that the request went to.
    TimePoint next_send;
    /// The fallback delay and the time-out for a missing reply start here.
    TimePoint reply_timeout_start;
    bool queued = false;
  };
  struct Held {
    std::string pool;
    std::string endpoint_id;
    SlotRequest request;
    TimePoint start;
    bool preempted = false;
    std::string details_known_to;  ///< Dispatcher; empty for none.
    int detailed_reports = 0;      ///< Sent to the current dispatcher.
  };
  struct LoadHint {
    int percent = 0;
    TimePoint expiry;
  };
  struct Reporting {
    std::string dispatcher;
    TimePoint next;
    std::int64_t round = 0;
    int empty_rounds = 0;
  };

  bool HasNoUsableMember() const;
  SlotAnswer AcquireFromPools(const SlotRequest& request,
                              const std::function<bool()>& caller_gone);
  std::vector<const dispatch::PoolHolders*> OrderPools(
      const dispatch::Routes& routes,
      const SlotRequest& request,
      TimePoint now);
  SlotAnswer AcquireFromPool(const dispatch::Routes& routes,
                             const dispatch::PoolHolders& holders,
                             const SlotRequest& request,
                             const std::function<bool()>& caller_gone);
  std::optional<SlotAnswer> ContinueAttempt(PoolAttempt& attempt);
  std::optional<SlotAnswer> CancelOrExpire(const PoolAttempt& attempt,
                                           TimePoint now);
  void SendRequest(PoolAttempt& attempt, TimePoint now);
  std::optional<dispatch::SlotReplyMessage> WaitForReply(Pending& pending,
                                                         TimePoint until);
  std::optional<SlotAnswer> OnMissingReply(PoolAttempt& attempt, TimePoint now);
  std::optional<SlotAnswer> TakeShareIfUnresponsive(const PoolAttempt& attempt);
  bool IsPoolUnresponsive(const dispatch::Pool& pool);
  void RecordUnanswered(const PoolAttempt& attempt, TimePoint now);
  void Probe(const dispatch::Pool& pool,
             const SlotRequest& request,
             TimePoint now);
  SlotAnswer FinishAttempt(const PoolAttempt& attempt, SlotAnswer answer);
  std::optional<SlotAnswer> TakeShare(const dispatch::Routes& routes,
                                      const dispatch::PoolHolders& holders,
                                      const SlotRequest& request);
  int CountHeldAt(const std::string& endpoint_id) const;
  void Withdraw(const dispatch::Pool& pool, const SlotRequest& request);
  void SendToPool(std::string_view pool_name, PeerMessage message);
  void RecordUnready(const SlotRequest& request);
  std::vector<dispatch::HeldSlot> ListHeld(const std::string& pool,
                                           const std::string& dispatcher,
                                           bool detailed_round,
                                           TimePoint now);
  bool IsReportDue(const std::string& dispatcher,
                   bool is_empty,
                   Reporting& reporting,
                   TimePoint now);
  void SendReport(const membership::Member& to,
                  const std::string& pool,
                  std::int64_t round,
                  const std::vector<dispatch::HeldSlot>& held);

  const std::string data_centre;
  RouteCache* routes;
  const MemberViewHolder* members;
  DispatcherCache dispatchers;
  const Send send;

  mutable std::mutex mutex;
  std::map<std::string, std::shared_ptr<Pending>> pending;  ///< By request.
  std::map<std::uint64_t, Held> held;                       ///< By grant.
  std::map<std::string, LoadHint> hints;                    ///< By pool.
  UnresponsivePools unresponsive;
  std::map<std::string, Reporting> reporting;  ///< By pool.
  std::map<std::string, ItemDemand> unready;
  std::mt19937_64 random;
  TimePoint next_fallback_log;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_SLOT_REQUESTER_H_
