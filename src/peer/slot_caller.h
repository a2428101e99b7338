#ifndef COLTSFOOTVANE_PEER_SLOT_CALLER_H_
#define COLTSFOOTVANE_PEER_SLOT_CALLER_H_

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
#include "peer/silence.h"
#include "placement/demand.h"

namespace coltsfootvane::peer {

/// The entry's side of dispatch: asks dispatchers for slots, keeps the slots
/// held and reports them. Thread safe.
class SlotCaller {
 public:
  using Send =
      std::function<void(const membership::Member& to, PeerMessage message)>;

  SlotCaller(std::string data_centre,
             RouteCache* routes,
             const MemberViewHolder* members,
             Send send);

  SlotAnswer Ask(const SlotRequest& request,
                 const std::function<bool()>& caller_gone);
  void GiveBack(const SlotAnswer& answer, const SlotOutcome& outcome);
  bool IsPreempted(const SlotAnswer& answer) const;

  void OnReply(const dispatch::ReplyMessage& reply);
  void OnPreemption(const dispatch::PreemptionMessage& preemption);

  /// Sends the reports that are due. To be called every 100 ms.
  void Report(TimePoint now);

  /// Returns the requests since the last call that found no ready copy.
  std::vector<ItemDemand> TakeUnready();

  std::size_t CountHeld() const;

 private:
  struct Pending {
    std::string pool;
    std::condition_variable changed;
    std::optional<dispatch::ReplyMessage> reply;
  };
  /// One request at one pool.
  struct PoolAsk {
    const dispatch::Routes& routes;
    const dispatch::PoolHolders& holders;
    const SlotRequest& request;
    const std::function<bool()>& caller_gone;
    std::shared_ptr<Pending> pending;
    std::string dispatcher;  ///< Last asked.
    TimePoint next_send;
    /// Silence counts from here.
    TimePoint answer_due;
    bool queued = false;
  };
  struct Held {
    std::string pool;
    std::string endpoint_id;
    SlotRequest request;
    TimePoint start;
    bool preempted = false;
    std::string known_to;  ///< Dispatcher that has its details; empty for none.
    int detailed_reports = 0;  ///< To the next dispatcher.
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

  bool NobodyDispatches() const;
  SlotAnswer AskPools(const SlotRequest& request,
                      const std::function<bool()>& caller_gone);
  std::vector<const dispatch::PoolHolders*> OrderPools(
      const dispatch::Routes& routes,
      const SlotRequest& request,
      TimePoint now);
  SlotAnswer AskPool(const dispatch::Routes& routes,
                     const dispatch::PoolHolders& holders,
                     const SlotRequest& request,
                     const std::function<bool()>& caller_gone);
  std::optional<SlotAnswer> ContinueAsk(PoolAsk& ask);
  std::optional<SlotAnswer> GiveUpAsk(const PoolAsk& ask, TimePoint now);
  void SendAsk(PoolAsk& ask, TimePoint now);
  std::optional<dispatch::ReplyMessage> WaitForReply(Pending& pending,
                                                     TimePoint until);
  std::optional<SlotAnswer> OnSilence(PoolAsk& ask, TimePoint now);
  std::optional<SlotAnswer> TakeShareIfSilent(const PoolAsk& ask);
  bool IsPoolSilent(const dispatch::Pool& pool);
  void NoteUnanswered(const PoolAsk& ask, TimePoint now);
  void Probe(const dispatch::Pool& pool,
             const SlotRequest& request,
             TimePoint now);
  SlotAnswer FinishAsk(const PoolAsk& ask, SlotAnswer answer);
  std::optional<SlotAnswer> TakeShare(const dispatch::Routes& routes,
                                      const dispatch::PoolHolders& holders,
                                      const SlotRequest& request);
  int CountHeldAt(const std::string& endpoint_id) const;
  void Withdraw(const dispatch::Pool& pool, const SlotRequest& request);
  void SendToPool(std::string_view pool_name, PeerMessage message);
  void NoteUnready(const SlotRequest& request);
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
  SilentPools silent;
  std::map<std::string, Reporting> reporting;  ///< By pool.
  std::map<std::string, ItemDemand> unready;
  std::mt19937_64 random;
  TimePoint next_fallback_log;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_SLOT_CALLER_H_
