#include <linux/filter.h>
#include <sys/socket.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <memory>
#include <utility>
#include <vector>

#include "gateway/endpoint_connections.h"
#include "gateway/listener.h"
#include "net/timer.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using net::tcp;

namespace {

using StreamPtr = std::shared_ptr<net::TcpStream>;

/// Lets the kernel drop all packets that arrive for this socket, keep-alive
/// probes among them.
void DropPackets(tcp::socket* socket) {
  sock_filter drop_all = BPF_STMT(BPF_RET | BPF_K, 0);
  const sock_fprog program{1, &drop_all};
  LONGS_EQUAL(0, setsockopt(socket->native_handle(), SOL_SOCKET,
                            SO_ATTACH_FILTER, &program, sizeof(program)));
}

void AcceptPackets(tcp::socket* socket) {
  const int unused = 0;
  LONGS_EQUAL(0, setsockopt(socket->native_handle(), SOL_SOCKET,
                            SO_DETACH_FILTER, &unused, sizeof(unused)));
}

/// A connection of the gateway to a silent peer, which can lose packets.
struct Connection {
  explicit Connection(boost::asio::io_context* io) : peer(*io), healing(io) {}

  void Watch(StreamPtr opened, TimePoint* ended_at) {
    this->stream = std::move(opened);
    net::StreamEvents events;
    events.on_end = [ended_at](net::StreamEnd) { *ended_at = Clock::now(); };
    this->stream->Start(std::move(events));
  }

  tcp::socket peer;
  net::Timer healing;
  StreamPtr stream;
};

}  // namespace

TEST_GROUP(FailureDetection){};

/// Guards against an answer that is cut in the middle because its endpoint, or
/// its caller, is silent and a single keep-alive probe is lost; and against
/// connections that outlast a peer that is gone for good.
TEST(FailureDetection, ASingleLostProbeEndsNoConnection) {
  enum class Side { kEndpoint, kCaller };
  struct Row {
    const char* name;
    Side side;
    Milliseconds lost_for;  ///< From the last byte.
    bool ends;
  };
  // Probes to endpoints are sent each second, to callers each 2 to 3 s.
  const std::vector<Row> rows = {
      {"endpoint, one probe lost", Side::kEndpoint, Milliseconds(1500), false},
      {"endpoint, gone for good", Side::kEndpoint, Milliseconds(60'000), true},
      {"caller, one probe lost", Side::kCaller, Milliseconds(3500), false},
      {"caller, gone for good", Side::kCaller, Milliseconds(60'000), true}};
  constexpr Milliseconds kWatched{7500};
  boost::asio::io_context io;
  const std::string host = testing::OwnLoopbackHost();
  gateway::EndpointConnections connections(&io);
  const tcp::endpoint endpoint_address(boost::asio::ip::make_address(host), 0);
  tcp::acceptor endpoint(io, endpoint_address);
  gateway::Listener listener(&io);
  const tcp::endpoint caller_address(
      boost::asio::ip::make_address(host),
      static_cast<std::uint16_t>(testing::FreePort(host)));
  StreamPtr accepted;
  CHECK(listener
            .Open(caller_address,
                  [&accepted](const StreamPtr& stream) { accepted = stream; })
            .has_value());

  std::vector<std::unique_ptr<Connection>> made;
  std::vector<TimePoint> ended_at(rows.size());
  for (std::size_t i = 0; i < rows.size(); ++i) {
    auto connection = std::make_unique<Connection>(&io);
    StreamPtr opened;
    if (rows[i].side == Side::kEndpoint) {
      connections.Open(endpoint.local_endpoint(),
                       [&opened](const StreamPtr& stream) { opened = stream; });
      endpoint.accept(connection->peer);
    } else {
      connection->peer.connect(caller_address);
    }
    while (!opened && !accepted)
      io.run_one_for(Milliseconds(20));
    connection->Watch(opened ? opened : std::exchange(accepted, nullptr),
                      &ended_at[i]);
    tcp::socket* const peer = &connection->peer;
    peer->send(boost::asio::buffer("x", 1));
    io.run_for(Milliseconds(20));
    DropPackets(peer);
    connection->healing.Set(rows[i].lost_for, [peer] { AcceptPackets(peer); });
    made.push_back(std::move(connection));
  }

  io.run_for(kWatched);
  for (std::size_t i = 0; i < rows.size(); ++i)
    CHECK_EQUAL_TEXT(rows[i].ends, ended_at[i] != TimePoint(), rows[i].name);
}
