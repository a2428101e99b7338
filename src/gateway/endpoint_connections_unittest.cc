#include "gateway/endpoint_connections.h"

#include <string>

#include "support/free_port.h"
#include "support/loopback_server.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::LoopbackServer;
using testing::ReceivedRequest;

namespace {

using StreamPtr = std::shared_ptr<net::TcpStream>;

constexpr char kRequest[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace

TEST_GROUP(EndpointConnections){};

// Guards against a connection that is kept while reading is paused, since its
// last caller was slow: the next request would get no answer until its
// deadline, and bytes that nobody asked for would not close it.
TEST(EndpointConnections, KeptConnectionsAreRead) {
  boost::asio::io_context io;
  gateway::EndpointConnections connections(&io);
  LoopbackServer server(&io, testing::OwnLoopbackHost(),
                        [](const ReceivedRequest&, const StreamPtr& stream) {
                          testing::Reply(stream, 200, "answer");
                        });
  const auto run_until = [&io](const auto& condition) {
    const TimePoint deadline = Clock::now() + Milliseconds(3000);
    while (!condition() && Clock::now() < deadline) {
      io.restart();
      io.run_one_for(Milliseconds(20));
    }
    return condition();
  };
  StreamPtr connected;
  connections.Open(server.Address(), [&connected](StreamPtr stream) {
    connected = std::move(stream);
  });
  CHECK(run_until([&connected] { return connected != nullptr; }));
  connected->Start({});
  connected->PauseReading();
  connections.Keep("e", connected, net::ResponseHead());

  const StreamPtr taken = connections.Take("e", false);
  CHECK(taken == connected);
  std::string received;
  net::StreamEvents events;
  events.on_data = [&received](std::string_view bytes) {
    received.append(bytes);
  };
  taken->Start(std::move(events));
  taken->Write(kRequest);
  CHECK(run_until(
      [&received] { return received.find("answer") != std::string::npos; }));
}
