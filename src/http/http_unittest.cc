#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "http/client.h"
#include "http/server.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::Clock;
using coltsfootvane::ErrorCode;
using coltsfootvane::Result;
using coltsfootvane::TimePoint;
namespace http = coltsfootvane::http;

TimePoint In(int milliseconds) {
  return Clock::now() + coltsfootvane::Milliseconds{milliseconds};
}

http::Address FreeAddress() {
  const std::string host = coltsfootvane::testing::OwnLoopbackHost();
  return {host, coltsfootvane::testing::FreePort(host)};
}

/// Accepts connections one after another, reads once from each and sends
/// `answer`; counts the connections that carried a request.
class RawPeer {
 public:
  explicit RawPeer(std::string answer) : answer(std::move(answer)) {
    const std::string host = coltsfootvane::testing::OwnLoopbackHost();
    int port = 0;
    this->listener = coltsfootvane::testing::ListenOnFreePort(host, &port);
    this->address = {host, port};
    this->thread = std::thread([this] { this->Serve(); });
  }

  ~RawPeer() {
    ::shutdown(this->listener, SHUT_RDWR);
    this->thread.join();
    ::close(this->listener);
  }

  http::Address address;
  std::atomic<int> requests{0};

 private:
  void Serve() {
    for (;;) {
      const int fd = ::accept(this->listener, nullptr, nullptr);
      if (fd < 0)
        return;
      char buffer[4096];
      if (::recv(fd, buffer, sizeof(buffer), 0) > 0) {
        ++this->requests;
        ::send(fd, this->answer.data(), this->answer.size(), MSG_NOSIGNAL);
      }
      ::close(fd);
    }
  }

  std::string answer;
  int listener;
  std::thread thread;
};

int Connect(const http::Address& to) {
  const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(to.port));
  ::inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
  const timeval timeout{5, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  // A failure shows at the first write.
  static_cast<void>(
      ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
  return fd;
}

/// Returns whether all of `data` was taken.
bool SendAll(int fd, std::string_view data) {
  while (!data.empty()) {
    const ssize_t count = ::send(fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    data.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

/// Returns what came until `end` was in it or the peer closed.
std::string ReceiveUntil(int fd, const std::string& end) {
  std::string text;
  char buffer[4096];
  while (text.find(end) == std::string::npos) {
    const ssize_t count = ::recv(fd, buffer, sizeof(buffer), 0);
    if (count <= 0)
      break;
    text.append(buffer, static_cast<std::size_t>(count));
  }
  return text;
}

std::unique_ptr<http::Server> StartServer(http::Address* address,
                                          http::Handler handler) {
  http::ServerOptions options;
  options.listen = FreeAddress();
  options.threads = 8;
  options.max_body_bytes = 1000;
  Result<std::unique_ptr<http::Server>> server =
      http::Server::Start(options, std::move(handler));
  CHECK(server.has_value());
  *address = options.listen;
  return std::move(server).assume_value();
}

http::Request Post(std::string body) {
  return {"POST", "/x", "", {}, std::move(body)};
}

}  // namespace

TEST_GROUP(Http){};

// Guards against a stream that is buffered as a whole, and against bytes of
// the library's own reply behind the last chunk.
TEST(Http, StreamArrivesChunkByChunk) {
  http::Address address;
  std::promise<void> first_seen;
  std::future<void> first = first_seen.get_future();
  auto server = StartServer(
      &address, [&first](const http::Request&, http::ReplyStream& reply) {
        reply.Begin(200, {});
        reply.Write("one");
        first.wait();
        reply.Write("two");
        reply.End();
      });
  std::vector<std::string> chunks;
  http::StreamHandler handler;
  handler.on_data = [&](std::string_view data) {
    chunks.emplace_back(data);
    if (chunks.size() == 1)
      first_seen.set_value();
    return true;
  };
  const Result<int> status =
      http::StreamCall({address, In(2000), In(5000)}, Post(""), handler);
  CHECK_TEXT(status.has_value(),
             status ? "" : status.assume_error().message.c_str());
  LONGS_EQUAL(2, chunks.size());
  STRCMP_EQUAL("one", chunks[0].c_str());
  STRCMP_EQUAL("two", chunks[1].c_str());
}

// Guards against unbounded memory for a request body.
TEST(Http, BodyAboveTheCapIsRefused) {
  http::Address address;
  std::atomic<int> handled{0};
  auto server = StartServer(
      &address, [&handled](const http::Request&, http::ReplyStream& reply) {
        ++handled;
        reply.Send({200, {}, "ok"});
      });
  struct Row {
    std::size_t size;
    int status;
  };
  for (const Row& row : {Row{1000, 200}, Row{1001, 413}, Row{200000, 413}}) {
    const Result<http::Response> response = http::Call(
        {address, In(2000), In(5000)}, Post(std::string(row.size, 'x')));
    CHECK_TEXT(response.has_value(), std::to_string(row.size).c_str());
    LONGS_EQUAL(row.status, response.assume_value().status);
  }
  LONGS_EQUAL(1, handled);
}

// Guards against taking a cut answer for a whole one, and against the
// library's silent second send of a request whose answer was lost.
TEST(Http, CutAnswersAreErrorsAndNothingIsSentTwice) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  struct Row {
    const char* name;
    std::string answer;
  };
  const Row rows[] = {
      {"no answer", ""},
      {"half a header", "HTTP/1.1 200"},
      {"short body", head + "Content-Length: 10\r\n\r\nabc"},
      {"cut before the last chunk",
       head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"},
      {"neither length nor chunks", head + "\r\nabc"},
      {"status 000", "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok"},
      {"status 099", "HTTP/1.1 099 X\r\nContent-Length: 2\r\n\r\nok"},
      {"interim answer alone", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"cut in a chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nabc"},
  };
  for (const Row& row : rows) {
    RawPeer peer(row.answer);
    const Result<http::Response> response =
        http::Call({peer.address, In(2000), In(3000)}, Post("{}"));
    CHECK_TEXT(!response.has_value(), row.name);
    CHECK_TEXT(response.assume_error().code == ErrorCode::kUnknown, row.name);
    LONGS_EQUAL_TEXT(1, peer.requests, row.name);
  }
}

// Guards against heads without end, which the client would keep in memory.
TEST(Http, HeadsWithoutEndAreErrors) {
  struct Row {
    const char* name;
    std::string start;
    std::string repeated;
  };
  const Row rows[] = {
      {"header lines", "HTTP/1.1 200 OK\r\n", "X-Filler: x\r\n"},
      {"interim heads", "", "HTTP/1.1 100 Continue\r\n\r\n"},
  };
  for (const Row& row : rows) {
    std::string head = row.start;
    constexpr std::size_t kHeadBytes = 1024UL * 1024;
    while (head.size() < kHeadBytes)
      head += row.repeated;
    RawPeer peer(head);
    const Result<http::Response> response =
        http::Call({peer.address, In(2000), In(5000)}, Post("{}"));
    CHECK_TEXT(!response.has_value(), row.name);
    CHECK_TEXT(response.assume_error().code == ErrorCode::kUnknown, row.name);
    STRCMP_EQUAL_TEXT("response is too large",
                      response.assume_error().message.c_str(), row.name);
  }
}

// Guards against answers that fill the memory together, each of them within its
// own limit.
TEST(Http, AnswersInProgressHaveACommonLimit) {
  constexpr std::size_t kBodyBytes = 200'000;
  struct Row {
    std::size_t max_held_bytes;
    bool answered;
  };
  // The second call shows that the first one has left nothing behind.
  const Row rows[] = {{100'000, false}, {kBodyBytes, true}};
  for (const Row& row : rows) {
    RawPeer peer("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                 std::string(kBodyBytes, 'x'));
    http::CallOptions options{peer.address, In(2000), In(3000)};
    options.max_held_bytes = row.max_held_bytes;
    const Result<http::Response> response = http::Call(options, Post("{}"));
    CHECK_EQUAL(row.answered, response.has_value());
    if (!row.answered)
      CHECK(response.assume_error().code == ErrorCode::kUnknown);
  }
}

// Guards against a client that waits for more input, or reports an error, when
// the last chunk comes in one segment with data.
TEST(Http, WholeAnswersInOneSegmentAreWhole) {
  const std::string head = "HTTP/1.1 200 OK\r\n";
  const std::string rows[] = {
      head + "Content-Length: 6\r\n\r\nonetwo",
      head + "Transfer-Encoding: chunked\r\n\r\n6\r\nonetwo\r\n0\r\n\r\n",
      head +
          "Transfer-Encoding: chunked\r\n\r\n3\r\none\r\n3\r\ntwo\r\n"
          "0\r\n\r\n",
  };
  for (const std::string& row : rows) {
    RawPeer peer(row);
    const Result<http::Response> response =
        http::Call({peer.address, In(2000), In(3000)}, Post("{}"));
    CHECK_TEXT(response.has_value(), row.c_str());
    STRCMP_EQUAL("onetwo", response.assume_value().body.c_str());
  }
}

// Guards against calling a request "not sent" when a byte may have left.
TEST(Http, RefusedConnectionIsNotSent) {
  const Result<http::Response> response =
      http::Call({FreeAddress(), In(1000), In(1000)}, Post("{}"));
  CHECK(!response.has_value());
  CHECK(response.assume_error().code == ErrorCode::kNotSent);
}

// Guards against an engine that goes on working for a caller who has gone.
TEST(Http, CallerGoneIsNoticed) {
  http::Address address;
  std::promise<bool> noticed;
  auto server = StartServer(
      &address, [&noticed](const http::Request&, http::ReplyStream& reply) {
        reply.Begin(200, {});
        reply.Write("one");
        const TimePoint deadline = In(5000);
        while (!reply.CallerGone() && Clock::now() < deadline)
          std::this_thread::sleep_for(coltsfootvane::Milliseconds{5});
        noticed.set_value(reply.CallerGone());
      });
  http::StreamHandler handler;
  handler.on_data = [](std::string_view) { return false; };
  const Result<int> status =
      http::StreamCall({address, In(2000), In(5000)}, Post(""), handler);
  CHECK(!status.has_value());
  CHECK(noticed.get_future().get());
}

// Guards against an unfinished header that takes memory without bound, and
// against a watch that closes connections with valid requests: large bodies,
// pauses within a header, and many requests on one connection.
TEST(Http, OnlyUnfinishedLargeHeadersAreCut) {
  constexpr std::size_t kMaxBody = 1024UL * 1024;
  // Nearly all that is allowed; the fields have at most 4 KB, so that a long
  // header has a long query.
  constexpr std::size_t kLongQuery = 60UL * 1024;
  struct Row {
    const char* name;
    std::size_t query_bytes;
    std::size_t body_bytes;
    int requests;  ///< On one connection.
    int parts;     ///< Of each header, with pauses.
    bool answered;
  };
  const Row rows[] = {
      {"large body", 100, kMaxBody, 1, 1, true},
      {"large bodies on one connection", 100, kMaxBody, 20, 1, true},
      {"large header", kLongQuery, 0, 1, 1, true},
      {"large header in parts", kLongQuery, 0, 1, 10, true},
      {"large headers on one connection", kLongQuery, 10000, 20, 1, true},
      {"too large header in parts", 7 * kLongQuery, 0, 1, 10, false},
  };
  http::ServerOptions options;
  options.listen = FreeAddress();
  options.threads = 8;
  options.max_body_bytes = kMaxBody;
  const auto server = http::Server::Start(
      options, [](const http::Request& request, http::ReplyStream& reply) {
        reply.Send({200, {}, std::to_string(request.body.size()) + " bytes"});
      });
  CHECK(server.has_value());
  for (const Row& row : rows) {
    const int fd = Connect(options.listen);
    const std::string header = "POST /x?" + std::string(row.query_bytes, 'a') +
                               " HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                               std::to_string(row.body_bytes) + "\r\n\r\n";
    const std::string body(row.body_bytes, 'b');
    const std::string expected = std::to_string(row.body_bytes) + " bytes";
    for (int request = 0; request < row.requests; ++request) {
      bool sent = true;
      const std::size_t size =
          header.size() / static_cast<std::size_t>(row.parts) + 1;
      for (std::size_t at = 0; at < header.size(); at += size) {
        if (row.parts > 1)
          std::this_thread::sleep_for(coltsfootvane::Milliseconds{60});
        sent = sent && SendAll(fd, header.substr(at, size));
      }
      sent = sent && SendAll(fd, body);
      const std::string answer = sent ? ReceiveUntil(fd, expected) : "";
      const bool answered = answer.find(expected) != std::string::npos;
      CHECK_EQUAL_TEXT(row.answered, answered, row.name);
    }
    ::close(fd);
  }
}

// Guards against a body that stops arriving and keeps its memory for as long as
// its caller stays connected.
TEST(Http, StalledBodiesEndByTheirTimeout) {
  http::ServerOptions options;
  options.listen = FreeAddress();
  options.threads = 2;
  options.read_timeout_ms = 200;
  options.keep_alive_timeout_ms = 60000;
  bool handled = false;
  const auto server = http::Server::Start(
      options,
      [&handled](const http::Request&, http::ReplyStream&) { handled = true; });
  CHECK(server.has_value());
  for (const std::size_t arrived : {0, 10, 99999}) {
    const int fd = Connect(options.listen);
    CHECK(SendAll(fd,
                  "POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: "
                  "100000\r\n\r\n" +
                      std::string(arrived, 'b')));
    pollfd entry{fd, POLLIN, 0};
    LONGS_EQUAL(1, ::poll(&entry, 1, 5000));
    ::close(fd);
  }
  CHECK(!handled);
}

// Guards against a chunked request that runs with an empty body, and against
// its chunks that run as a request of their own: the library reads no chunks.
TEST(Http, ChunkedRequestsAreRejectedAndDoNotRun) {
  const char* const fields[] = {
      "Transfer-Encoding: chunked",
      "transfer-encoding: CHUNKED",
      "Transfer-Encoding: gzip, chunked",
      "Content-Length: 0\r\nTransfer-Encoding: chunked",
  };
  http::Address address;
  std::atomic<int> handled{0};
  const auto server = StartServer(
      &address, [&handled](const http::Request&, http::ReplyStream& reply) {
        ++handled;
        reply.Send({200, {}, "ok"});
      });
  for (const char* const field : fields) {
    const int fd = Connect(address);
    CHECK_TEXT(SendAll(fd, std::string("POST /x HTTP/1.1\r\nHost: x\r\n") +
                               field + "\r\n\r\nGET /y HTTP/1.1\r\n\r\n"),
               field);
    // Up to the end of the connection.
    const std::string answer = ReceiveUntil(fd, "never sent");
    STRCMP_EQUAL_TEXT("HTTP/1.1 411", answer.substr(0, 12).c_str(), field);
    ::close(fd);
  }
  LONGS_EQUAL(0, handled.load());
}
