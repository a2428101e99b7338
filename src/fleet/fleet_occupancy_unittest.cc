#include <fcntl.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "fleet/fleet.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::udp;

namespace {

constexpr Milliseconds kPatience{5000};
constexpr int kEndpoints = 24;

/// A daemon's part in the fleet.
struct Node {
  Node(boost::asio::io_context* io, const std::string& host, int port)
      : log(open("/dev/null", O_WRONLY), "test"),
        gateway(io),
        fleet(io, &this->gateway) {
    this->gateway.log = &this->log;
    for (int i = 0; i < kEndpoints; ++i) {
      gateway::EndpointEntry entry;
      entry.id = "e" + std::to_string(i);
      UpsertEndpoint(&this->gateway.endpoints, std::move(entry));
    }
    UpdateEndpointList(&this->gateway);
    const Result<bool> opened =
        this->fleet.Open({boost::asio::ip::make_address(host),
                          static_cast<unsigned short>(port)});
    CHECK(opened.has_value());
  }

  /// Returns whether all endpoints have exact figures of that time or later.
  int CountExact(TimePoint since) const {
    int count = 0;
    for (const gateway::EndpointPtr& endpoint : this->gateway.endpoint_list)
      count += endpoint->exact_at >= since ? 1 : 0;
    return count;
  }

  DecisionLog log;
  gateway::Gateway gateway;
  fleet::Fleet fleet;
};

bool RunUntil(boost::asio::io_context* io,
              const std::function<bool()>& condition) {
  const auto deadline = Clock::now() + kPatience;
  while (!condition()) {
    if (Clock::now() >= deadline)
      return false;
    io->run_one_for(Milliseconds(5));
  }
  return true;
}

}  // namespace

TEST_GROUP(FleetOccupancy){};

/// Guards against work that a load tracker does not hear of, and against a dead
/// load tracker that holds requests up.
TEST(FleetOccupancy, DaemonsLearnOfEachOthersWork) {
  boost::asio::io_context io;
  const std::string first_host = testing::MoreLoopbackHost(1);
  const std::string second_host = testing::MoreLoopbackHost(2);
  const int port = testing::FreePort(first_host);
  Node asker(&io, first_host, port);
  auto worker = std::make_unique<Node>(&io, second_host, port);
  asker.fleet.AddPeer(boost::asio::ip::make_address(second_host));
  worker->fleet.AddPeer(boost::asio::ip::make_address(first_host));
  CHECK(RunUntil(&io, [&] {
    return asker.fleet.CountLiveDaemons() == 2 &&
           worker->fleet.CountLiveDaemons() == 2;
  }));
  // The lists of possible load trackers are renewed.
  io.run_for(Milliseconds(300));
  for (const gateway::EndpointPtr& endpoint : worker->gateway.endpoint_list) {
    endpoint->own = {5, 900, 2, 300};
    worker->fleet.UpdateLoad(*endpoint, false);
  }
  io.run_for(Milliseconds(30));

  const auto query = [&asker, &io] {
    const auto done = std::make_shared<bool>(false);
    asker.fleet.QueryLoad(asker.gateway.endpoint_list,
                          [done] { *done = true; });
    return RunUntil(&io, [done] { return *done; });
  };
  const TimePoint first = BootNow();
  CHECK(query());
  // Late answers apply as well, on a busy machine.
  CHECK(RunUntil(&io, [&] { return asker.CountExact(first) == kEndpoints; }));
  for (const gateway::EndpointPtr& endpoint : asker.gateway.endpoint_list)
    CHECK((endpoint->peers == occupancy::EndpointWork{5, 900, 2, 300}));

  worker.reset();
  for (int i = 0; i < 3; ++i) {
    const TimePoint later = BootNow();
    CHECK(query());
    CHECK(asker.CountExact(later) < kEndpoints);
  }
}
