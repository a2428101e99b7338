#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <thread>

#include "net/timer.h"
#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::GatewayScene;
using testing::Has;

namespace {

const std::string kAnswer =
    "HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n"
    "Server-Signature: p\r\nContent-Length: 0\r\n\r\n";

const std::string kRequest =
    "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: id1\r\n"
    "Content-Length: 2\r\n\r\nhi";

/// A caller whose connection is driven by hand.
struct Caller {
  explicit Caller(GatewayScene* owner) : scene(owner), socket(owner->io) {
    net::tcp::acceptor acceptor(
        owner->io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    this->socket.connect(acceptor.local_endpoint());
    std::make_shared<gateway::CallerConnection>(
        &owner->gateway, std::make_shared<net::TcpStream>(acceptor.accept()))
        ->Start();
    this->socket.non_blocking(true);
  }

  /// The connection is released once it has seen the end.
  ~Caller() {
    this->socket.close();
    const TimePoint until = Clock::now() + Milliseconds(30);
    this->scene->RunUntil([until] { return Clock::now() >= until; });
  }

  void Send(const std::string& bytes) {
    boost::asio::write(this->socket, boost::asio::buffer(bytes));
  }

  /// Runs the loop until the caller has received `text` or the connection has
  /// ended. Returns whether it has received it.
  bool Awaits(const std::string& text) {
    this->scene->RunUntil([this, &text] {
      std::string bytes(4096, ' ');
      const std::size_t count =
          this->socket.read_some(boost::asio::buffer(bytes), this->end);
      this->received.append(bytes, 0, count);
      const bool waits = this->end == boost::asio::error::would_block;
      return Has(this->received, text) || (this->end && !waits);
    });
    return Has(this->received, text);
  }

  /// Returns whether the daemon has kept the connection open.
  bool IsOpen() {
    char byte = 0;
    this->socket.receive(boost::asio::buffer(&byte, 1),
                         boost::asio::socket_base::message_peek, this->end);
    return this->end == boost::asio::error::would_block;
  }

  GatewayScene* scene;
  net::tcp::socket socket;
  std::string received;
  boost::system::error_code end;
};

/// Changes the idle limit of the configuration in force.
void SetIdleLimit(GatewayScene* scene, Milliseconds limit) {
  auto table = std::make_shared<gateway::RoutingTable>(*scene->gateway.routes);
  table->limits.idle_timeout = limit;
  scene->gateway.routes = table;
}

/// Lets timers become due while the event loop does other work.
void KeepLoopBusy(Milliseconds time) {
  std::this_thread::sleep_for(time);
}

}  // namespace

TEST_GROUP(CallerTimeout){};

/// Guards against a request that a busy daemon finds together with the timeout
/// of its connection: it was read and sent on, and the timeout then closed the
/// connection without an answer.
TEST(CallerTimeout, DoesNotCutRequestsThatArriveWithIt) {
  struct Row {
    const char* name;
    std::size_t early_bytes;  ///< Read before the loop is busy.
    std::size_t late_bytes;   ///< Arrive while it is.
    bool is_first;            ///< Request of the connection.
    int busy_ms;              ///< The timeouts are 150 (head) and 300 ms.
  };
  const std::size_t all = kRequest.size();
  const Row rows[] = {
      {"new connection", 0, all, true, 350},
      {"idle connection", 0, all, false, 350},
      {"rest of the head", 20, all - 20, true, 200},
      {"rest of the body", all - 1, 1, true, 350},
      {"idle connection, a part of the head", 0, 20, false, 350},
      {"a part of the head", 0, 20, true, 350},
      {"a part of the body", 0, all - 1, true, 350},
  };
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {{kAnswer}, {kAnswer}};
    Caller caller(&scene);
    if (!row.is_first) {
      caller.Send(kRequest);
      CHECK_TEXT(caller.Awaits("\r\n\r\n"), row.name);
      caller.received.clear();
    }
    caller.Send(kRequest.substr(0, row.early_bytes));
    const TimePoint read_until = Clock::now() + Milliseconds(30);
    scene.RunUntil([read_until] { return Clock::now() >= read_until; });
    caller.Send(kRequest.substr(row.early_bytes, row.late_bytes));
    KeepLoopBusy(Milliseconds(row.busy_ms));
    const TimePoint turn_until = Clock::now() + Milliseconds(10);
    scene.RunUntil([turn_until] { return Clock::now() >= turn_until; });
    caller.Send(kRequest.substr(row.early_bytes + row.late_bytes));
    CHECK_TEXT(caller.Awaits("\r\n\r\n"), row.name);
    CHECK_TEXT(Has(caller.received, "HTTP/1.1 200"),
               (row.name + (": " + caller.received)).c_str());
    LONGS_EQUAL_TEXT(row.is_first ? 1 : 2, scene.received.size(), row.name);
  }
}

/// Guards against a request that arrives while the loop handles the timers of
/// the same turn: the idle timeout closed the connection with the request
/// unread, which resets it.
TEST(CallerTimeout, DoesNotResetWhatIsUnread) {
  GatewayScene scene;
  scene.AddEndpoint("e1");
  scene.answers = {{kAnswer}};
  net::Timer earlier(&scene.io);
  Caller caller(&scene);
  earlier.Set(Milliseconds(250), [&caller] { caller.Send(kRequest); });
  KeepLoopBusy(Milliseconds(350));
  CHECK(caller.Awaits("\r\n\r\n"));
  CHECK(Has(caller.received, "HTTP/1.1 200"));
}

/// Guards against connections that are closed before the time that their caller
/// goes by: callers know the limit of the newest configuration or the one that
/// their last answer has stated, whichever is longer.
TEST(CallerTimeout, FollowsTheIdleLimit) {
  struct Row {
    const char* name;
    int first_ms;   ///< The limit that the answer states.
    int second_ms;  ///< The limit from then on.
    int pause_ms;   ///< Until the next request.
    bool is_kept;   ///< The next request is answered.
  };
  const Row rows[] = {{"unchanged, within", 1000, 1000, 800, true},
                      {"unchanged, beyond", 1000, 1000, 1200, false},
                      {"longer, within", 1000, 1600, 1300, true},
                      {"longer, beyond", 1000, 1600, 1850, false},
                      {"shorter, within the stated one", 1000, 300, 800, true},
                      {"shorter, beyond both", 1000, 300, 1200, false}};
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    scene.answers = {{kAnswer}, {kAnswer}};
    SetIdleLimit(&scene, Milliseconds(row.first_ms));
    Caller caller(&scene);
    caller.Send(kRequest);
    CHECK_TEXT(caller.Awaits("\r\n\r\n"), row.name);
    CHECK_TEXT(Has(caller.received, "Keep-Alive: timeout=1"), row.name);
    caller.received.clear();
    SetIdleLimit(&scene, Milliseconds(row.second_ms));
    const TimePoint until = Clock::now() + Milliseconds(row.pause_ms);
    scene.RunUntil([until] { return Clock::now() >= until; });
    LONGS_EQUAL_TEXT(row.is_kept, caller.IsOpen(), row.name);
    if (!row.is_kept)
      continue;
    caller.Send(kRequest);
    CHECK_TEXT(caller.Awaits("\r\n\r\n"), row.name);
  }
}
