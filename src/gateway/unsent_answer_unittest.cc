#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::GatewayScene;
using testing::Has;
using testing::ScriptedAnswer;

namespace {

using BoostError = boost::system::error_code;

constexpr int kBufferBytes = 16 * 1024;
const std::string kHead =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\nServer-Signature: p\r\n";

std::string Whole(std::size_t bytes) {
  return kHead + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
         std::string(bytes, 'x');
}

std::string Request(const char* path, const char* version, bool keep) {
  return std::string("POST ") + path + "x HTTP/" + version +
         "\r\nHost: h\r\nRequest-Id: id1\r\nConnection: " +
         (keep ? "keep-alive" : "close") + "\r\nContent-Length: 2\r\n\r\nhi";
}

/// Small buffers on loopback take longer than the requests of other tests.
void AllowLongCalls(GatewayScene* scene) {
  auto table = std::make_shared<gateway::RoutingTable>(*scene->gateway.routes);
  testing::ChangeRoutes(table.get(), [](gateway::Route* route) {
    route->timeout = Milliseconds(4000);
  });
  scene->gateway.routes = table;
}

/// A caller with small buffers on both sides of its connection.
struct SlowCaller {
  explicit SlowCaller(GatewayScene* owner) : scene(owner), socket(owner->io) {
    net::tcp::acceptor acceptor(
        owner->io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const boost::asio::socket_base::receive_buffer_size receive(kBufferBytes);
    const boost::asio::socket_base::send_buffer_size send(kBufferBytes);
    this->socket.open(net::tcp::v4());
    this->socket.set_option(receive);
    this->socket.connect(acceptor.local_endpoint());
    net::tcp::socket accepted = acceptor.accept();
    accepted.set_option(send);
    this->connection = std::make_shared<gateway::CallerConnection>(
        &owner->gateway, std::make_shared<net::TcpStream>(std::move(accepted)));
    this->connection->Start();
    this->socket.non_blocking(true);
  }

  ~SlowCaller() {
    this->socket.close();
    this->Wait(Milliseconds(20));
  }

  void Send(const std::string& request) {
    boost::asio::write(this->socket, boost::asio::buffer(request));
  }

  void Wait(Milliseconds time) const {
    const TimePoint until = Clock::now() + time;
    this->scene->RunUntil([until] { return Clock::now() >= until; });
  }

  /// Reads up to `most` bytes. Returns whether the connection is still open.
  bool Read(std::size_t most) {
    std::string bytes(most, ' ');
    const std::size_t count =
        this->socket.read_some(boost::asio::buffer(bytes), this->end);
    this->received.append(bytes, 0, count);
    if (this->end == boost::asio::error::would_block)
      this->end = {};
    return !this->end;
  }

  /// Reads `most` bytes after each `pause` until there are `total` or the
  /// connection ends.
  void ReadSlowly(std::size_t total, std::size_t most, Milliseconds pause) {
    const TimePoint until = Clock::now() + Milliseconds(4000);
    while (this->received.size() < total && Clock::now() < until) {
      this->Wait(pause);
      if (!this->Read(most))
        return;
    }
  }

  GatewayScene* scene;
  net::tcp::socket socket;
  std::shared_ptr<gateway::CallerConnection> connection;
  std::string received;
  BoostError end;
};

}  // namespace

TEST_GROUP(UnsentAnswer){};

/// Guards against answers that were read completely from the endpoint and are
/// cut for a caller that still reads them: by the close of idle connections at
/// SIGTERM, by the idle timeout, or by the end of the linger after the last
/// answer of a connection.
TEST(UnsentAnswer, ReachesSlowCallersCompletely) {
  struct Row {
    const char* name;
    std::size_t bytes;
    const char* version;
    bool keep;
    bool shutdown;  ///< Once the answer has been read from the endpoint.
    std::size_t read_bytes;
    int pause_ms;
  };
  const Row rows[] = {
      {"1 KB", 1024, "1.1", true, true, 512, 10},
      {"shutdown", 250'000, "1.1", true, true, 20'000, 20},
      {"shutdown within a long answer", 2'000'000, "1.1", true, true, 200'000,
       2},
      {"idle timeout", 250'000, "1.1", true, false, 20'000, 80},
      {"last answer", 250'000, "1.1", false, false, 20'000, 80},
      {"last answer and shutdown", 250'000, "1.1", false, true, 20'000, 80},
      {"end of the connection", 250'000, "1.0", false, true, 20'000, 80},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    AllowLongCalls(&scene);
    scene.AddEndpoint("e1");
    scene.answers = {{Whole(row.bytes)}};
    SlowCaller caller(&scene);
    caller.Send(Request("/unsafe/", row.version, row.keep));
    const auto answered = [&scene] {
      return !scene.received.empty() && scene.gateway.exchanges == 0;
    };
    while (!answered() && caller.Read(row.read_bytes))
      caller.Wait(Milliseconds(1));
    if (row.shutdown) {
      scene.gateway.leaving = true;
      caller.connection->CloseIfIdle();
    }
    caller.connection = nullptr;
    std::size_t head = caller.received.find("\r\n\r\n");
    while (head == std::string::npos && caller.Read(row.read_bytes)) {
      caller.Wait(Milliseconds(1));
      head = caller.received.find("\r\n\r\n");
    }
    const bool chunked = Has(caller.received.substr(0, head), "chunked");
    // Chunks add bytes, so a chunked answer is read to its last one.
    const std::size_t total = head + 4 + row.bytes;
    caller.ReadSlowly(total, row.read_bytes, Milliseconds(row.pause_ms));
    const TimePoint until = Clock::now() + Milliseconds(2000);
    while (chunked && !Has(caller.received, "\r\n0\r\n\r\n") &&
           Clock::now() < until && caller.Read(row.read_bytes))
      caller.Wait(Milliseconds(1));
    if (chunked)
      CHECK_TEXT(Has(caller.received, "\r\n0\r\n\r\n"), row.name);
    else
      LONGS_EQUAL_TEXT(total, caller.received.size(), row.name);
  }
}

/// Guards against a stream that loses its last event at a shutdown.
TEST(UnsentAnswer, StreamsKeepTheirLastEvent) {
  const std::string event =
      "id: 1\ndata: " + std::string(100'000, 'x') + "\n\n";
  const std::string last = "id: 2\ndata: last\n\n";
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.answers = {
      {kHead + "Content-Type: text/event-stream\r\n" + "Content-Length: " +
       std::to_string(event.size() + last.size()) + "\r\n\r\n" + event + last}};
  SlowCaller caller(&scene);
  caller.Send(Request("/stream/", "1.1", true));
  CHECK(scene.RunUntil([&scene] {
    return !scene.received.empty() && scene.gateway.exchanges == 0;
  }));
  scene.gateway.leaving = true;
  caller.connection->CloseIfIdle();
  caller.ReadSlowly(event.size() + last.size() + 200, 20'000, Milliseconds(20));
  CHECK(Has(caller.received, "data: last\n\n\r\n0\r\n\r\n"));
}

/// Guards against a part that looks complete to a caller that takes nothing
/// until the idle timeout: HTTP/1.0 answers may end with the connection.
TEST(UnsentAnswer, IsResetIfTheCallerTakesNothing) {
  for (const bool keep : {true, false}) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {{Whole(250'000)}};
    SlowCaller caller(&scene);
    caller.Send(Request("/unsafe/", keep ? "1.1" : "1.0", keep));
    caller.Wait(Milliseconds(1000));
    while (caller.Read(100'000))
      caller.Wait(Milliseconds(1));
    CHECK(caller.received.size() < 250'000);
    CHECK(caller.end == boost::asio::error::connection_reset);
  }
}

/// Guards against a part that looks complete at the end of the grace period.
TEST(UnsentAnswer, IsResetAtTheEndOfTheProcess) {
  for (const char* const version : {"1.1", "1.0"}) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {{Whole(250'000)}};
    SlowCaller caller(&scene);
    caller.Send(Request("/unsafe/", version, true));
    CHECK(scene.RunUntil([&scene] {
      return !scene.received.empty() && scene.gateway.exchanges == 0;
    }));
    LONGS_EQUAL(1, scene.gateway.intake->UnsentCount());
    LONGS_EQUAL(1, scene.gateway.intake->EndUnsent());
    LONGS_EQUAL(0, scene.gateway.intake->UnsentCount());
    while (caller.Read(100'000))
      caller.Wait(Milliseconds(1));
    CHECK(caller.received.size() < 250'000);
    CHECK(caller.end == boost::asio::error::connection_reset);
  }
}

/// Guards against a connection to an endpoint that is still paused for a slow
/// caller when its next request is sent: that would get no answer.
TEST(UnsentAnswer, EndpointsOfSlowCallersServeTheNextRequest) {
  GatewayScene scene;
  AllowLongCalls(&scene);
  scene.AddEndpoint("e1");
  // With its last bytes the answer is too long to be collected, so that all of
  // it is unsent and reading is paused when it is complete.
  const std::string paused = Whole(256UL * 1024 + 100);
  scene.answers = {{paused}, {paused}, {Whole(10)}};
  for (std::size_t request = 0; request < scene.answers.size(); ++request) {
    SlowCaller caller(&scene);
    caller.Send(Request("/unsafe/", "1.1", true));
    const char* const last = request < 2 ? "\r\n0\r\n\r\n" : "xxxxxxxxxx";
    const TimePoint until = Clock::now() + Milliseconds(3000);
    while (!Has(caller.received, last) && Clock::now() < until &&
           caller.Read(50'000))
      caller.Wait(Milliseconds(1));
    CHECK(Has(caller.received, "200 OK"));
    CHECK(Has(caller.received, last));
    // The same connection serves all.
    LONGS_EQUAL(0, scene.closed_by_gateway);
  }
}
