#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <memory>
#include <string>
#include <vector>

#include "fleet/fleet.h"
#include "log/decision_log.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

namespace {

constexpr double kBurst = 40;

struct Daemon {
  explicit Daemon(boost::asio::io_context* io)
      : gateway(io), fleet(io, &this->gateway) {}

  DecisionLog log{STDERR_FILENO, "test"};
  gateway::Gateway gateway;
  fleet::Fleet fleet;
};

}  // namespace

TEST_GROUP(FleetQuota){};

/// Guards against daemons that each grant the limit, and against requests that
/// wait for a lost datagram: three daemons ask over loopback.
TEST(FleetQuota, DaemonsShareOneBucket) {
  boost::asio::io_context io;
  std::vector<std::unique_ptr<Daemon>> daemons;
  const auto port = static_cast<unsigned short>(
      testing::FreePort(testing::MoreLoopbackHost(1)));
  std::vector<boost::asio::ip::address> addresses;
  for (int i = 1; i <= 3; ++i)
    addresses.push_back(
        boost::asio::ip::make_address(testing::MoreLoopbackHost(i)));
  for (const auto& address : addresses) {
    daemons.push_back(std::make_unique<Daemon>(&io));
    Daemon& daemon = *daemons.back();
    daemon.gateway.log = &daemon.log;
    daemon.gateway.random.seed(daemons.size());
    CHECK(daemon.fleet.Open({address, port}).has_value());
    daemon.fleet.peers_listed = true;
    for (const auto& peer : addresses)
      daemon.fleet.AddPeer(peer);
  }
  int granted = 0;
  int refused = 0;
  const auto ask = [&](Daemon* daemon) {
    gateway::QuotaWanted wanted;
    wanted.team = 7;
    // So slow that nothing accrues during the test.
    wanted.limit = {1e-6, kBurst, 1};
    wanted.units = 1;
    daemon->gateway.request_quota(wanted,
                                  [&](const gateway::QuotaDecision& decision) {
                                    (decision.granted ? granted : refused) += 1;
                                    CHECK_FALSE(decision.by_fallback);
                                  });
  };
  // The first request opens the bucket, without tokens that anyone knows of.
  ask(daemons[0].get());
  const auto run_until = [&](int decided) {
    const TimePoint end = BootNow() + Milliseconds(5000);
    while (granted + refused < decided && BootNow() < end)
      io.run_one_for(Milliseconds(20));
    LONGS_EQUAL(decided, granted + refused);
  };
  run_until(1);
  daemons[1]->gateway.settle_quota(7, -kBurst);
  granted = refused = 0;
  for (int i = 0; i < 90; ++i) {
    ask(daemons[static_cast<std::size_t>(i == 0 ? 1 : i % 3)].get());
    if (i == 0)
      run_until(1);
  }
  run_until(90);
  LONGS_EQUAL(static_cast<int>(kBurst), granted);
}
