#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_LARGE_SITE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_LARGE_SITE_H_

#include <boost/asio/io_context.hpp>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "gateway_process.h"
#include "support/free_port.h"
#include "support/replica_standin.h"
#include "support/store_standin.h"

namespace coltsfootvane::testing {

/// A fleet of real daemons in which one reads the store for all, before one
/// replica of the service `books`.
class LargeSite {
 public:
  /// More than a small fleet has.
  static constexpr int kDaemons = 27;
  static constexpr Milliseconds kInForceLimit{2000};

  LargeSite();

  void RunFor(Milliseconds time);
  /// Puts a configuration and starts the daemons. Returns whether all are ready
  /// and know each other.
  bool Start();
  /// Returns the daemon that reads the store for the others, as it logs.
  GatewayProcess* Reader();
  /// Returns the status of a call, or 0 without an answer.
  int Call(GatewayProcess* daemon,
           const std::string& path,
           const std::string& called_host = "h");
  /// Returns how long after `changed_at` the last daemon that is not lost
  /// answers as before.
  Milliseconds TimeUntilAllDiffer(const std::string& path,
                                  int old_status,
                                  TimePoint changed_at);

  boost::asio::io_context io;
  std::string host = OwnLoopbackHost();
  StoreStandin store{&this->io, this->host};
  ReplicaStandin replica{&this->io, this->host, "r1"};
  std::vector<std::unique_ptr<GatewayProcess>> daemons;
  std::set<const GatewayProcess*> lost;

 private:
  int calls = 0;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_LARGE_SITE_H_
