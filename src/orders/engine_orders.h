#ifndef COLTSFOOTVANE_ORDERS_ENGINE_ORDERS_H_
#define COLTSFOOTVANE_ORDERS_ENGINE_ORDERS_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "gateway/gateway.h"
#include "log/decision_log.h"
#include "orders/adapter_choice.h"
#include "orders/engine_state.h"
#include "orders/lease_manager.h"
#include "orders/order.h"
#include "orders/store_loads.h"

namespace coltsfootvane::orders {

/// Limits the rate of loads from the weight store.
struct StoreLoadLimit {
  double window_s = 5;
  double overrun = 1.1;  ///< Permitted factor on the declared rate.
};

/// Plans copies of models, loads adapters on demand and sends the orders for
/// both to the engines. Active only while this daemon is the lease holder.
class EngineOrders {
 public:
  EngineOrders(boost::asio::io_context* io,
               gateway::Gateway* gateway,
               fleet::Fleet* fleet,
               LeaseManager* lease,
               DecisionLog* log,
               EngineAccess access,
               const StoreLoadLimit& limit);

  void Start();

 private:
  // engine_orders.cc
  void Tick();
  void OnLeaseAcquired();
  void OnLeaseLost();
  void UpdateEngines(TimePoint now);
  void ReadReport(EngineState* engine);
  void AdvanceEngine(EngineState* engine, TimePoint now);
  void PlanCopies(TimePoint now);
  void LogPlacement(const std::string& service,
                    const CopyPlanInput& input,
                    TimePoint now);
  bool BeginMove(const CopyMove& move,
                 const CopyPlanInput& input,
                 const std::string& service,
                 TimePoint now);
  void SendModelOrder(EngineState* engine,
                      Operation operation,
                      const std::string& model);
  /// Receives the engine as found when the result arrives; not called if the
  /// engine has gone or was restarted meanwhile.
  using OrderDone = std::function<void(EngineState*, OrderResult)>;
  void SendOrder(EngineState* engine, EngineOrder order, OrderDone done);
  void OnOrderResult(EngineState* engine,
                     const EngineOrder& order,
                     OrderResult result);
  const gateway::EngineSpec* SpecOf(const EngineState& engine) const;
  EngineState* FindEngine(const std::string& id, std::int64_t incarnation);
  int CountPlannedStoreLoads() const;
  bool TryBeginLoad(const EngineState& engine, const std::string& model);
  void Publish();

  // adapter_orders.cc
  void LoadAdapter(const std::string& service,
                   const std::string& model,
                   const std::string& adapter,
                   fleet::AdapterDone done);
  EngineState* ChooseEngineForAdapter(const AdapterJob& job);
  void StartNextAdapterJob(EngineState* engine);
  void SendAdapterLoad(EngineState* engine);
  void EvictAdapter(EngineState* engine);
  void OnAdapterLoad(EngineState* engine, OrderResult result);
  void FinishAdapterJob(EngineState* engine, bool loaded);
  void FailAdapterJobs(EngineState* engine);
  std::vector<AdapterUse> AdapterUses(const EngineState& engine,
                                      TimePoint now) const;

  boost::asio::io_context* io;
  boost::asio::steady_timer timer;
  gateway::Gateway* gateway;
  fleet::Fleet* fleet;
  LeaseManager* lease;
  DecisionLog* log;
  EngineAccess access;
  StoreLoadLimit limit;
  std::map<std::string, EngineState> engines;  ///< By endpoint ID.
  bool is_lease_holder = false;
  std::int64_t held_epoch = 0;  ///< As published.
  TimePoint lease_held_since;
  StoreLoads store_loads;
  std::map<std::string, TimePoint> next_placement_log_at;  ///< By service.
  TimePoint next_publish_at;
  bool placement_changed = false;  ///< Since the last publication.
};

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_ENGINE_ORDERS_H_
