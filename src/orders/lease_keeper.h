#ifndef COLTSFOOTVANE_ORDERS_LEASE_KEEPER_H_
#define COLTSFOOTVANE_ORDERS_LEASE_KEEPER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
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
  /// `least_gap` is the least time between the orders of two holders.
  LeaseKeeper(boost::asio::io_context* io,
              const store::ObjectStore* store,
              DecisionLog* log,
              const std::string& daemon_name,
              Milliseconds least_gap);

  void Start();
  /// Gives the lease up, so that another daemon can take it at once.
  void Release();

  /// Returns whether an order may be sent now.
  bool MayOrder(TimePoint now) const;
  std::int64_t Epoch() const { return this->lease.seen.epoch; }
  const std::string& Holder() const { return this->lease.self; }
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

  boost::asio::steady_timer timer;
  const store::ObjectStore* store;
  DecisionLog* log;
  std::minstd_rand random;
  Milliseconds least_gap;
  Lease lease;
  TimePoint orders_from;  ///< A holder that was released may have just ordered.
  bool calling = false;
  bool released = false;
  bool holding = false;  ///< As logged last.
};

}  // namespace coltsfootvane::orders

#endif  // COLTSFOOTVANE_ORDERS_LEASE_KEEPER_H_
