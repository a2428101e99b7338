#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <optional>
#include <string>

#include "fleet/codec.h"
#include "fleet/fleet.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using boost::asio::ip::udp;
using gateway::AdapterOutcome;

namespace {

constexpr Milliseconds kPatience{5000};

/// Stands in for a daemon that holds the lease.
class HolderStandin {
 public:
  HolderStandin(boost::asio::io_context* io,
                const std::string& host,
                unsigned short port,
                std::int64_t lease_epoch)
      : socket(*io, {boost::asio::ip::make_address(host), port}),
        epoch(lease_epoch) {}

  void Announce(const udp::endpoint& to) {
    fleet::gen::Placement placement;
    placement.lease_epoch = this->epoch;
    placement.sequence = ++this->sequence;
    fleet::gen::Datagram datagram;
    datagram.__set_placement(placement);
    this->socket.send_to(boost::asio::buffer(fleet::Encode(datagram)), to);
  }

  /// Reads what has arrived, and answers the requests beyond the first
  /// `lost_requests` if `answers` is set.
  void Serve() {
    std::array<char, 2048> buffer{};
    boost::system::error_code ec;
    while (this->socket.available(ec) > 0) {
      udp::endpoint from;
      const std::size_t length =
          this->socket.receive_from(boost::asio::buffer(buffer), from);
      const auto datagram =
          fleet::Decode(std::string_view(buffer.data(), length));
      if (datagram && datagram.value().__isset.adapter_request)
        this->Answer(datagram.value().adapter_request, from);
    }
  }

  udp::socket socket;
  std::int64_t epoch;
  std::int64_t sequence = 0;
  int requests = 0;
  int lost_requests = 0;
  bool answers = true;
  bool has_engine = true;

 private:
  void Answer(const fleet::gen::AdapterRequest& request,
              const udp::endpoint& from) {
    ++this->requests;
    if (!this->answers || this->requests <= this->lost_requests)
      return;
    fleet::gen::AdapterReply reply;
    reply.number = request.number;
    reply.ready = this->has_engine;
    reply.endpoint = 1;
    fleet::gen::Datagram answer;
    answer.__set_adapter_reply(reply);
    this->socket.send_to(boost::asio::buffer(fleet::Encode(answer)), from);
  }
};

}  // namespace

TEST_GROUP(FleetAdapters){};

// Guards against a request for an adapter that fails with one lost datagram, or
// because the holder of the lease is replaced meanwhile.
TEST(FleetAdapters, RequestsSurviveLossAndAChangeOfHolder) {
  struct Row {
    const char* name;
    bool first_answers;
    int lost_requests;
    bool has_engine;
    bool second_holder;
    AdapterOutcome expected;
  };
  const Row rows[] = {
      {"answered", true, 0, true, false, AdapterOutcome::kReady},
      {"two requests lost", true, 2, true, false, AdapterOutcome::kReady},
      {"no engine can load it", true, 0, false, false,
       AdapterOutcome::kNoEngine},
      {"the holder is replaced", false, 0, true, true, AdapterOutcome::kReady},
      {"no holder answers", false, 0, true, false, AdapterOutcome::kNoAnswer}};
  for (const Row& row : rows) {
    boost::asio::io_context io;
    gateway::Gateway gateway(&io);
    fleet::Fleet fleet(&io, &gateway);
    const std::string own = testing::MoreLoopbackHost(1);
    const auto port = static_cast<unsigned short>(testing::FreePort(own));
    const udp::endpoint address(boost::asio::ip::make_address(own), port);
    CHECK_TEXT(fleet.Open(address), row.name);
    HolderStandin first(&io, testing::MoreLoopbackHost(2), port, 1);
    HolderStandin second(&io, testing::MoreLoopbackHost(3), port, 2);
    first.answers = row.first_answers;
    first.lost_requests = row.lost_requests;
    first.has_engine = row.has_engine;
    first.Announce(address);
    io.run_for(Milliseconds(20));
    const TimePoint start = BootNow();
    std::optional<AdapterOutcome> outcome;
    fleet.RequestAdapter({"s", "m", "a", start + Milliseconds(1500)},
                         [&outcome](AdapterOutcome done) { outcome = done; });
    while (!outcome && BootNow() < start + kPatience) {
      io.run_for(Milliseconds(5));
      first.Serve();
      second.Serve();
      if (row.second_holder && first.requests > 0 && second.sequence == 0)
        second.Announce(address);
    }
    CHECK_TEXT(outcome.has_value(), row.name);
    CHECK_TEXT(*outcome == row.expected, row.name);
    CHECK_TEXT(first.requests > row.lost_requests, row.name);
    CHECK_EQUAL_TEXT(row.second_holder, second.requests > 0, row.name);
  }
}
