#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <fstream>
#include <random>
#include <string>
#include <thread>

#include "peer/config_peer.h"
#include "peer/datagram_link.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::peer {
namespace {

http::Address FreeAddress() {
  const std::string host = coltsfootvane::testing::OwnLoopbackHost();
  return {host, coltsfootvane::testing::FreePort(host)};
}

/// Returns a socket connected to `address`, or -1.
int ConnectTo(const http::Address& address, int type) {
  sockaddr_in target{};
  target.sin_family = AF_INET;
  target.sin_port = htons(static_cast<std::uint16_t>(address.port));
  ::inet_pton(AF_INET, address.host.c_str(), &target.sin_addr);
  const int fd = ::socket(AF_INET, type, 0);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&target),
                sizeof(target)) == 0)
    return fd;
  ::close(fd);
  return -1;
}

std::string Noise(std::mt19937_64& random, std::size_t size) {
  std::string noise(size, '\0');
  for (char& byte : noise)
    byte = static_cast<char>(random());
  return noise;
}

long ResidentKb() {
  std::ifstream status("/proc/self/statm");
  long total = 0;
  long resident = 0;
  status >> total >> resident;
  return resident * (::sysconf(_SC_PAGESIZE) / 1024);
}

constexpr long kMaxGrowthKb = 32768;

}  // namespace

TEST_GROUP(Link){};

// Guards against malformed datagrams that stop the receiver, and against
// sending datagrams above the maximum size.
TEST(Link, CountsAndDropsMalformedDatagrams) {
  const http::Address address = FreeAddress();
  std::atomic<int> handled{0};
  DatagramLink link;
  CHECK(link.Start(address, [&handled](const http::Address&,
                                       const PeerMessage&) { ++handled; })
            .has_value());
  std::mt19937_64 random(7);
  const int fd = ConnectTo(address, SOCK_DGRAM);
  const long before = ResidentKb();
  for (int i = 0; i < 5000; ++i) {
    const std::string noise = Noise(random, random() % 3000);
    CHECK(::send(fd, noise.data(), noise.size(), 0) >= 0);
    if (i % 50 == 0)
      std::this_thread::sleep_for(Milliseconds{1});
  }
  ::close(fd);
  PeerMessage message;
  message.sender = "d1";
  link.Send(address, message);
  const TimePoint deadline = Clock::now() + std::chrono::seconds{3};
  while (handled == 0 && Clock::now() < deadline)
    std::this_thread::sleep_for(Milliseconds{5});
  CHECK_EQUAL(1, handled.load());
  CHECK(link.Counters().malformed > 0);
  CHECK_EQUAL(link.Counters().received,
              link.Counters().malformed + static_cast<std::uint64_t>(1));
  CHECK(ResidentKb() - before < kMaxGrowthKb);
  message.sender.assign(2000, 'x');
  link.Send(address, message);
  CHECK_EQUAL(1U, link.Counters().not_sent.load());
}

// Guards against malformed data on the RPC port that stops the server or makes
// it allocate the size claimed by a frame header.
TEST(Link, ConfigPeerSurvivesMalformedData) {
  const http::Address address = FreeAddress();
  ConfigPeerServer server;
  CHECK(server.Start(address, [] { return ConfigurationSnapshot{}; })
            .has_value());
  std::mt19937_64 random(8);
  const long before = ResidentKb();
  for (int i = 0; i < 200; ++i) {
    const int fd = ConnectTo(address, SOCK_STREAM);
    CHECK(fd >= 0);
    std::string bytes = Noise(random, 1 + random() % 200);
    if (i % 3 == 0)
      bytes.insert(0, "\x7f\xff\xff\xff", 4);
    if (i % 3 == 1)
      bytes.insert(0, "\0\0\0\x20", 4);
    CHECK(::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    ::close(fd);
  }
  const auto fetched =
      FetchFromPeer(address, 0, Clock::now() + std::chrono::seconds{3});
  CHECK(fetched.has_value());
  CHECK(ResidentKb() - before < kMaxGrowthKb);
}

// Guards against a fetch that waits for an unresponsive peer beyond its
// deadline, and against a server that reports success although it cannot
// listen.
TEST(Link, FetchAndStartReportFailuresInTime) {
  const http::Address address = FreeAddress();
  const auto refused =
      FetchFromPeer(address, 0, Clock::now() + std::chrono::seconds{1});
  CHECK(refused.error().code == ErrorCode::kNotSent);
  int port = 0;
  const int listener =
      coltsfootvane::testing::ListenOnFreePort(address.host, &port);
  const TimePoint start = Clock::now();
  const auto late =
      FetchFromPeer({address.host, port}, 0, start + Milliseconds{300});
  CHECK(late.error().code == ErrorCode::kUnknown);
  CHECK(Clock::now() < start + Milliseconds{1500});
  ConfigPeerServer server;
  CHECK_FALSE(server.Start({address.host, port}, nullptr).has_value());
  ::close(listener);
}

}  // namespace coltsfootvane::peer
