#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <future>
#include <string>
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
