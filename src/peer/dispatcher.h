#ifndef COLTSFOOTVANE_PEER_DISPATCHER_H_
#define COLTSFOOTVANE_PEER_DISPATCHER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "base/ring.h"
#include "dispatch/messages.h"
#include "dispatch/pool_state.h"
#include "peer/member_view.h"
#include "peer/message.h"
#include "placement/demand.h"

namespace coltsfootvane::peer {

/// A message from an entry daemon to a dispatcher.
struct DispatchInput {
  std::string entry_id;
  http::Address entry_address;
  std::variant<dispatch::SlotRequestMessage,
               dispatch::SlotReleaseMessage,
               dispatch::HeldSlotsMessage>
      message;
};

/// Called on the dispatcher thread with its mutex held.
struct DispatcherOutputs {
  std::function<void(const std::string& entry_id,
                     const http::Address& entry_address,
                     PeerMessage message)>
      send;
  std::function<void(const std::string& endpoint_id)> endpoint_leaving;
};

/// Grants the slots of the pools that this daemon dispatches, on one thread.
class Dispatcher {
 public:
  Dispatcher(std::string self_id,
             RouteCache* routes,
             const MemberViewHolder* members,
             DispatcherOutputs outputs);
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  ~Dispatcher();

  void Start();
  void Stop();

  /// Thread safe. Returns false if the input queue is full.
  bool Push(DispatchInput input);

  /// Stops handling messages; entries switch to the next dispatcher.
  void SetLeaving() { this->leaving = true; }

  /// Returns the number of waiting and running engine requests per item. Thread
  /// safe.
  std::vector<ItemDemand> Demand() const;

  /// Returns the state of the pools as a JSON array. Thread safe.
  std::string StatusJson() const;

 private:
  struct OwnedPool {
    dispatch::PoolState state;
    /// Null if never synced.
    std::shared_ptr<const dispatch::Routes> synced_routes;
    TimePoint last_used;
    TimePoint next_refusal_check;
    bool is_dispatcher = false;  ///< At the last check.
  };
  struct PartialReport {
    std::int64_t round = 0;
    std::set<int> chunks;
    std::vector<dispatch::HeldSlot> held;
  };

  void Run();
  void Handle(const DispatchInput& input, TimePoint now);
  void OnSlotRequest(const DispatchInput& input,
                     const dispatch::SlotRequestMessage& request,
                     TimePoint now);
  void OnSlotRelease(const DispatchInput& input,
                     const dispatch::SlotReleaseMessage& release,
                     TimePoint now);
  void OnHeldSlots(const DispatchInput& input,
                   const dispatch::HeldSlotsMessage& report,
                   TimePoint now);
  void Tick(TimePoint now);
  void UpdateRoles(const dispatch::Routes& routes, TimePoint now);
  void DropUnusedPools(const dispatch::Routes& routes, TimePoint now);
  bool IsDispatcherOf(const dispatch::Pool& pool);
  void UpdateRole(OwnedPool& owned, TimePoint now);
  OwnedPool* GetOrCreatePool(const std::string& name, TimePoint now);
  void Sync(OwnedPool& owned,
            const std::shared_ptr<const dispatch::Routes>& routes,
            TimePoint now);
  void SendAnswers(const OwnedPool& owned,
                   std::vector<dispatch::QueuedAnswer> answers,
                   TimePoint now);
  void SendGrants(OwnedPool& owned, TimePoint now);
  void SendPreemptions(OwnedPool& owned, TimePoint now);
  void Reply(const std::string& entry_id, dispatch::SlotReplyMessage reply);

  const std::string self_id;
  RouteCache* routes;
  const MemberViewHolder* members;
  DispatcherCache dispatchers;
  const DispatcherOutputs outputs;
  std::atomic<bool> leaving{false};
  Ring<DispatchInput> inputs;
  std::thread thread;

  mutable std::mutex mutex;  ///< Guards all below.
  std::map<std::string, OwnedPool> pools;
  std::map<std::string, http::Address> entries;
  std::map<std::pair<std::string, std::string>, PartialReport> reports;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_DISPATCHER_H_
