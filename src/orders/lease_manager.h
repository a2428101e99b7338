#ifndef COLTSFOOTVANE_ORDERS_LEASE_MANAGER_H_
#define COLTSFOOTVANE_ORDERS_LEASE_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "log/decision_log.h"
#include "placement/lease.h"
#include "store/object_store.h"

namespace coltsfootvane::orders {

/// Acquires and renews the lease of the planner. All times are measured since
/// boot, including suspension, so that a holder that was suspended finds its
/// lease expired.
class LeaseManager {
 public:
  /// `own_vm` identifies this VM and address. `min_handover_gap` is the minimum
  /// time between the orders of two lease holders.
  LeaseManager(boost::asio::io_context* io,
               const store::ObjectStore* store,
               DecisionLog* log,
               const std::string& own_vm,
               Milliseconds min_handover_gap,
               bool engines_check_fencing);

  void Start();
  /// Releases the lease, so that another daemon can acquire it at once.
  void Release();

  /// Returns whether an order may be sent now.
  bool MaySendOrder(TimePoint now) const;
  std::int64_t Epoch() const { return this->lease.last_spec.epoch; }
  const std::string& Holder() const { return this->lease.self; }
  /// Returns whether no daemon has held the lease before this one.
  bool IsFirstHolder() const { return this->first_holder; }
  /// Called when the store is reachable again after an outage.
  std::function<void()> on_store_back;
  /// Returns whether reports of the lease holder of this epoch have stopped.
  std::function<bool(std::int64_t epoch)> is_holder_silent;

  /// Returns the highest epoch of a holder that was heard.
  std::function<std::int64_t()> highest_heard_epoch;
  /// Returns whether another daemon is heard as the holder.
  std::function<bool()> hears_other_holder;

  /// Returns whether this daemon watches the lease to take it over; unset if it
  /// does. Otherwise it reads it once after its start.
  std::function<bool()> may_compete;

  /// Called when an engine has refused an order because a later lease holder
  /// has sent one. No orders may be sent until the lease has been read and
  /// acquired again.
  void OnFenced();

  /// The store has come back from an older copy. No orders may be sent until
  /// the lease has been acquired in the new era; another holder of the past may
  /// send some until it hears of it.
  void OnNewEra();

 private:
  void Tick();
  void Read();
  void OnObjectRead(const store::Object& object, TimePoint now);
  void Write(LeaseStep step);
  TimePoint FirstOrderAt(LeaseStep step,
                         bool was_released,
                         TimePoint now) const;
  void OnWritten(LeaseStep step,
                 const LeaseSpec& spec,
                 const Result<store::Object>& written,
                 TimePoint start,
                 bool was_released);
  bool Competes();
  void UpdateHolding(TimePoint now);
  bool HoldsThroughOutage(TimePoint now) const;
  bool HearsOtherHolder() const;
  void SetStoreUnreachable(bool unreachable);

  boost::asio::steady_timer timer;
  const store::ObjectStore* store;
  DecisionLog* log;
  std::minstd_rand random;
  Milliseconds min_handover_gap;
  /// Engines check the fencing number and so refuse orders of a replaced
  /// holder.
  bool engines_check_fencing;
  Lease lease;
  /// Delays the first order if the previous holder released the lease, since
  /// its orders may still be in flight.
  TimePoint may_send_from;
  /// Until then the holder of the earlier era may send orders.
  TimePoint earlier_holder_until;
  bool first_holder = false;
  bool took_from_predecessor = false;  ///< In the write in progress.
  TimePoint last_tick;
  TimePoint call_started_at;
  /// Until then the lease counts as held while the store is unreachable.
  TimePoint outage_hold_until;
  bool store_unreachable = false;  ///< The store did not answer the last call.
  bool call_in_progress = false;
  bool released = false;
  bool bystander = false;  ///< Others compete for the lease.
  int calls_as_bystander = 0;
  store::Place unreadable_place;  ///< Of the unreadable lease logged last.
  bool holding = false;           ///< As last logged.
};

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_LEASE_MANAGER_H_
