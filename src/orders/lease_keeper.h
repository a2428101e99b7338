#ifndef COLTSFOOTVANE_ORDERS_LEASE_KEEPER_H_
#define COLTSFOOTVANE_ORDERS_LEASE_KEEPER_H_

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

/// Takes and renews the lease of the planner. All times are those since boot,
/// so that a suspended holder finds its lease expired.
class LeaseKeeper {
 public:
  /// `own_vm` names this VM and address. `least_gap` is the least time between
  /// the orders of two holders.
  LeaseKeeper(boost::asio::io_context* io,
              const store::ObjectStore* store,
              DecisionLog* log,
              const std::string& own_vm,
              Milliseconds least_gap,
              bool engines_check_fences);

  void Start();
  /// Gives the lease up, so that another daemon can take it at once.
  void Release();

  /// Returns whether an order may be sent now.
  bool MayOrder(TimePoint now) const;
  std::int64_t Epoch() const { return this->lease.seen.epoch; }
  const std::string& Holder() const { return this->lease.self; }
  /// Called when the store answers again after it had not.
  std::function<void()> on_store_back;
  /// Tells whether the other daemons do not hear the holder of this epoch.
  std::function<bool(std::int64_t epoch)> is_holder_silent;

  /// Another holder has given an order: stops until the lease has been read.
  void OnFenced();

 private:
  void Tick();
  void Read();
  void Write(LeaseStep step);
  void OnWritten(LeaseStep step,
                 const LeaseSpec& spec,
                 const Result<store::Object>& written,
                 TimePoint start,
                 bool was_released);
  void NoteHolding(TimePoint now);
  bool HoldsThroughOutage(TimePoint now) const;
  void SetStoreAway(bool away);

  boost::asio::steady_timer timer;
  const store::ObjectStore* store;
  DecisionLog* log;
  std::minstd_rand random;
  Milliseconds least_gap;
  /// Engines refuse the orders of a holder that was replaced.
  bool engines_check_fences;
  Lease lease;
  TimePoint orders_from;  ///< A holder that was released may have just ordered.
  TimePoint last_tick;
  TimePoint call_began;
  TimePoint outage_ends;    ///< Until then an outage does not end the holding.
  bool store_away = false;  ///< The last call had no answer of the store.
  bool calling = false;
  bool released = false;
  bool holding = false;  ///< As logged last.
};

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_LEASE_KEEPER_H_
