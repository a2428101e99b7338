#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "gateway/listener.h"
#include "support/free_port.h"
#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::GatewayScene;
using testing::Has;

TEST_GROUP(CallerShutdown){};

/// Guards against a process that ends with requests that are partly read or
/// unread: their callers got a reset. What has begun to arrive counts, and is
/// refused as not run when the time is over.
TEST(CallerShutdown, WhatHasBegunToArriveIsRefused) {
  const std::string request =
      "POST /unsafe/x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi";
  struct Row {
    const char* name;
    std::size_t bytes;
    bool read;  ///< By the daemon.
    std::size_t receiving;
    const char* answer;
  };
  const Row rows[] = {
      {"nothing", 0, true, 0, ""},
      {"a part of the head", 20, true, 1, "HTTP/1.1 503"},
      {"a part of the body", request.size() - 1, true, 1, "HTTP/1.1 503"},
      {"unread", request.size(), false, 1, ""}};
  for (const Row& row : rows) {
    GatewayScene scene;
    scene.AddEndpoint("e1");
    net::tcp::acceptor acceptor(
        scene.io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    net::tcp::socket caller(scene.io);
    caller.connect(acceptor.local_endpoint());
    const auto connection = std::make_shared<gateway::CallerConnection>(
        &scene.gateway, std::make_shared<net::TcpStream>(acceptor.accept()));
    connection->Start();
    boost::asio::write(caller,
                       boost::asio::buffer(request.substr(0, row.bytes)));
    const TimePoint until = Clock::now() + Milliseconds(30);
    if (row.read)
      scene.RunUntil([until] { return Clock::now() >= until; });
    LONGS_EQUAL_TEXT(row.receiving, scene.gateway.intake->ReceivingCount(),
                     row.name);
    scene.gateway.intake->RefuseReceiving();
    caller.non_blocking(true);
    std::string answer(4096, ' ');
    boost::system::error_code ec;
    answer.resize(caller.read_some(boost::asio::buffer(answer), ec));
    CHECK_TEXT(Has(answer, row.answer), (row.name + answer).c_str());
    CHECK_EQUAL_TEXT(row.answer[0] == '\0', answer.empty(), row.name);
    // The connection is released once it has seen the end.
    caller.close();
    const TimePoint released = Clock::now() + Milliseconds(30);
    scene.RunUntil([released] { return Clock::now() >= released; });
  }
}

/// Guards against callers that have connected shortly before the end and find
/// their connection reset.
TEST(CallerShutdown, PendingConnectionsAreAccepted) {
  boost::asio::io_context io;
  const std::string host = testing::OwnLoopbackHost();
  const net::tcp::endpoint address(
      boost::asio::ip::make_address(host),
      static_cast<unsigned short>(testing::FreePort(host)));
  std::vector<std::shared_ptr<net::TcpStream>> accepted;
  gateway::Listener listener(&io);
  CHECK(listener
            .Open(address,
                  [&accepted](std::shared_ptr<net::TcpStream> stream) {
                    accepted.push_back(std::move(stream));
                  })
            .has_value());
  LONGS_EQUAL(0, listener.AcceptPending());
  std::vector<net::tcp::socket> callers;
  constexpr std::size_t kCallers = 3;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.emplace_back(io);
    callers.back().connect(address);
  }
  LONGS_EQUAL(kCallers, listener.AcceptPending());
  LONGS_EQUAL(kCallers, accepted.size());
}
