#include "gateway/caller_intake.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <string>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using net::tcp;
using testing::GatewayScene;
using testing::Has;

namespace {

constexpr std::size_t kLarge = 1024UL * 1024;

std::string LargeHead(const std::string& more = "") {
  return "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nRequest-Id: id1\r\n" + more +
         "Content-Length: " + std::to_string(kLarge) + "\r\n\r\n";
}

/// A caller on a connection of its own, which sends what the test writes.
struct Caller {
  explicit Caller(GatewayScene* gateway_scene)
      : scene(gateway_scene),
        acceptor(scene->io, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        socket(scene->io) {
    this->socket.connect(this->acceptor.local_endpoint());
    this->stream = std::make_shared<net::TcpStream>(this->acceptor.accept());
    this->connection = std::make_shared<gateway::CallerConnection>(
        &scene->gateway, this->stream);
    this->connection->Start();
    this->socket.non_blocking(true);
  }
  /// Leaves, which ends a request in progress, and closes the stream: the
  /// request and the handlers of the stream own the connection until then.
  ~Caller() {
    this->socket.close();
    this->scene->io.run_for(Milliseconds(20));
    this->stream->Close();
  }
  Caller(const Caller&) = delete;
  Caller& operator=(const Caller&) = delete;

  /// Sends all bytes while the gateway runs; returns false if it does not take
  /// them within a second.
  bool Send(const std::string& bytes) {
    std::size_t sent = 0;
    for (int i = 0; i < 1000 && sent < bytes.size(); ++i) {
      boost::system::error_code ec;
      sent += this->socket.write_some(
          boost::asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
      this->scene->io.run_for(Milliseconds(1));
    }
    this->scene->io.run_for(Milliseconds(20));
    return sent == bytes.size();
  }

  /// Returns what has been received so far.
  const std::string& Answer() {
    this->scene->io.run_for(Milliseconds(20));
    boost::system::error_code ec;
    while (this->socket.available(ec) > 0 && !ec) {
      char buffer[4096];
      const std::size_t count =
          this->socket.read_some(boost::asio::buffer(buffer), ec);
      this->answer.append(buffer, count);
    }
    return this->answer;
  }

  GatewayScene* scene;
  tcp::acceptor acceptor;
  tcp::socket socket;
  std::shared_ptr<net::TcpStream> stream;
  std::shared_ptr<gateway::CallerConnection> connection;
  std::string answer;
};

struct Scene : GatewayScene {
  Scene() {
    this->AddEndpoint("e1");
    const auto routes = testing::SceneRoutes();
    routes->limits = gateway::CallerLimits();
    testing::ChangeRoutes(routes.get(), [](gateway::Route* route) {
      route->timeout = Milliseconds(10'000);
    });
    this->gateway.routes = routes;
    this->gateway.intake->bounds.large_bytes = kLarge + kLarge / 2;
    this->gateway.intake->bounds.max_waiting = 1;
    this->answers = {
        {"HTTP/1.1 200 OK\r\nRequest-Id: id1\r\n"
         "Server-Signature: p\r\nContent-Length: 0\r\n\r\n"}};
  }

  gateway::CallerIntake& Intake() { return *this->gateway.intake; }
};

}  // namespace

TEST_GROUP(CallerIntake){};

// Guards against large bodies that together exceed the memory, and against a
// stalled one that keeps others out: one waits unread, more are refused, and
// the stalled one ends when another waits.
TEST(CallerIntake, AStalledBodyEndsWhenAnotherWaits) {
  Scene scene;
  const std::string body(kLarge, 'x');
  Caller stalled(&scene);
  CHECK(stalled.Send(LargeHead() + body.substr(1)));
  Caller second(&scene);
  second.Send(LargeHead("Expect: 100-continue\r\n"));
  Caller third(&scene);
  third.Send(LargeHead("Expect: 100-continue\r\n"));
  LONGS_EQUAL(1, scene.Intake().WaitingCount());
  LONGS_EQUAL(kLarge, scene.Intake().GrantedBytes());
  STRCMP_EQUAL("", second.Answer().c_str());
  CHECK(Has(third.Answer(), "HTTP/1.1 503"));
  CHECK(Has(third.Answer(), "Retry-After"));
  // Not before it is late.
  scene.Intake().Tick(BootNow());
  STRCMP_EQUAL("", stalled.Answer().c_str());
  scene.Intake().Tick(BootNow() + Milliseconds(1500));
  CHECK(Has(stalled.Answer(), "HTTP/1.1 408"));
  CHECK(Has(second.Answer(), "HTTP/1.1 100"));
  CHECK(second.Send(body));
  CHECK(scene.RunUntil([&] { return Has(second.Answer(), "HTTP/1.1 200"); }));
  LONGS_EQUAL(1, scene.received.size());
  CHECK(Has(scene.received.front(), body));
  CHECK(scene.RunUntil([&] { return scene.Intake().GrantedBytes() == 0; }));
}

// Guards against a caller that waits for room for ever.
TEST(CallerIntake, WaitingEnds) {
  Scene scene;
  Caller first(&scene);
  first.Send(LargeHead() + "x");
  Caller second(&scene);
  second.Send(LargeHead());
  for (int ms = 0; ms < 4000; ms += 900) {
    first.Send(std::string(80'000, 'x'));
    scene.Intake().Tick(BootNow() + Milliseconds(900));
  }
  STRCMP_EQUAL("", second.Answer().c_str());
  scene.Intake().Tick(BootNow() + Milliseconds(4100));
  CHECK(Has(second.Answer(), "HTTP/1.1 503"));
}

// Guards against a request that is sent again without its body, or is refused
// as not run though it may have run: while others wait, bodies that an endpoint
// has received are dropped.
TEST(CallerIntake, ADroppedBodyIsNotSentAgain) {
  struct Row {
    const char* name;
    const char* answer;
    const char* expected;
  };
  const Row rows[] = {
      {"not run",
       "HTTP/1.1 503 No\r\nRequest-Id: id1\r\nNot-Executed: 1\r\n"
       "Content-Length: 0\r\n\r\n",
       "HTTP/1.1 503"},
      {"perhaps run",
       "HTTP/1.1 503 No\r\nRequest-Id: id1\r\n"
       "Content-Length: 0\r\n\r\n",
       "HTTP/1.1 502"},
  };
  for (const Row& row : rows) {
    Scene scene;
    scene.AddEndpoint("e2");
    scene.answers.clear();
    Caller first(&scene);
    CHECK_TEXT(first.Send(LargeHead() + std::string(kLarge, 'x')), row.name);
    CHECK_TEXT(scene.RunUntil([&] { return scene.received.size() == 1; }),
               row.name);
    Caller second(&scene);
    second.Send(LargeHead());
    LONGS_EQUAL_TEXT(1, scene.Intake().WaitingCount(), row.name);
    scene.Intake().Tick(BootNow() + Milliseconds(600));
    LONGS_EQUAL_TEXT(0, scene.Intake().WaitingCount(), row.name);
    scene.AnswerLate(row.answer);
    CHECK_TEXT(
        scene.RunUntil([&] { return Has(first.Answer(), row.expected); }),
        row.name);
    LONGS_EQUAL_TEXT(1, scene.received.size(), row.name);
  }
}

// Guards against a crowd of connections that takes the descriptors of others:
// those without a request go first, a request at an endpoint stays.
TEST(CallerIntake, IdleConnectionsMakeRoomForNewOnes) {
  Scene scene;
  scene.answers.clear();
  Caller served(&scene);
  served.Send(testing::CallerRequest("/unsafe/"));
  Caller idle(&scene);
  scene.Intake().bounds.caller_descriptors = 3;
  CHECK(scene.Intake().AdmitConnection(3));
  LONGS_EQUAL(0, served.Answer().size());
  CHECK(served.connection->Describe(BootNow()).stage ==
        intake::Stage::kServing);
  CHECK(!scene.Intake().AdmitConnection(3));
  CHECK(scene.Intake().AdmitConnection(2));
}
