#include "http/server.h"

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/regex.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <thread>
#include <utility>

#include "http/header_watch.h"

namespace coltsfootvane::http {
namespace detail {

class BodyTooLarge : public std::runtime_error {
 public:
  BodyTooLarge() : std::runtime_error("request body is too large") {}
};

class BodiesTooLarge : public std::runtime_error {
 public:
  BodiesTooLarge() : std::runtime_error("too many request bodies") {}
};

class ReplyChannel {
 public:
  ReplyChannel(cxxtools::net::TcpSocket& socket, cxxtools::http::Reply& reply)
      : socket(&socket), reply(&reply) {}

  cxxtools::net::TcpSocket* socket;
  cxxtools::http::Reply* reply;
  bool streaming = false;
  bool failed = false;
};

class ServerState : public cxxtools::http::Service {
 public:
  ServerState(const ServerOptions& options, Handler handler)
      : options(options), handler(std::move(handler)), server(this->loop) {}

  ServerOptions options;
  Handler handler;
  /// Outlives the server's threads.
  std::unique_ptr<HeaderWatch> header_watch;
  cxxtools::EventLoop loop;
  cxxtools::http::Server server;
  std::thread thread;
  std::atomic<std::size_t> body_bytes{0};  ///< Above kSmallBodyBytes of each.

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override;
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }
};

namespace {

/// Above the bodies of most requests.
constexpr std::size_t kSmallBodyBytes = 64UL * 1024;

void CopyHeaders(const cxxtools::http::Request& from, Request* to) {
  for (auto it = from.header().begin(); it != from.header().end(); ++it)
    to->headers.push_back({it->first, it->second});
}

bool WriteAll(cxxtools::net::TcpSocket& socket, std::string_view data) {
  try {
    while (!data.empty())
      data.remove_prefix(socket.write(data.data(), data.size()));
    return true;
  } catch (const std::exception&) {
    return false;
  }
}

class StreamResponder : public cxxtools::http::Responder {
 public:
  explicit StreamResponder(ServerState& state)
      : cxxtools::http::Responder(state), state(&state) {}
  ~StreamResponder() override { this->ReleaseBody(); }
  StreamResponder(const StreamResponder&) = delete;
  StreamResponder& operator=(const StreamResponder&) = delete;

  void beginRequest(cxxtools::net::TcpSocket& new_socket,
                    std::istream&,
                    cxxtools::http::Request&) override {
    this->socket = &new_socket;
    this->state->header_watch->BeginRequest(new_socket.getFd());
    this->ReleaseBody();
  }

  std::size_t readBody(std::istream& in) override {
    std::array<char, 8192> buffer;
    std::size_t count = 0;
    while (in.rdbuf()->in_avail() > 0) {
      const std::streamsize read = in.readsome(buffer.data(), buffer.size());
      if (read <= 0)
        break;
      count += static_cast<std::size_t>(read);
      this->TakeBytes({buffer.data(), static_cast<std::size_t>(read)});
      if (this->body.size() > this->state->options.max_body_bytes)
        throw BodyTooLarge();
    }
    return count;
  }

  void reply(std::ostream&,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    Request converted;
    converted.method = request.method();
    converted.path = request.url();
    converted.query = request.qparams();
    CopyHeaders(request, &converted);
    converted.body = std::move(this->body);
    ReplyChannel channel(*this->socket, reply);
    ReplyStream stream(channel);
    this->state->handler(converted, stream);
    this->ReleaseBody();
    this->state->header_watch->EndRequest(this->socket->getFd());
    if (channel.streaming)
      ::shutdown(this->socket->getFd(), SHUT_RDWR);
  }

  void replyError(std::ostream&,
                  cxxtools::http::Request&,
                  cxxtools::http::Reply& reply,
                  const std::exception& error) override {
    const bool too_large = dynamic_cast<const BodyTooLarge*>(&error) != nullptr;
    const bool full = dynamic_cast<const BodiesTooLarge*>(&error) != nullptr;
    const int status = too_large ? 413 : full ? 503 : 500;
    this->ReleaseBody();
    reply.httpReturn(static_cast<unsigned>(status),
                     std::string(ReasonPhrase(status)));
    reply.setHeader("Content-Type", "application/json");
    reply.setHeader("Connection", "close");
    if (full)
      reply.setHeader("Retry-After", "1");
    reply.bodyStream() << R"({"error":{"message":")"
                       << (too_large || full ? error.what() : "internal error")
                       << R"(","run":"no"}})";
  }

 private:
  /// Connections are not bounded, so the bodies of all have a common bound.
  /// Small ones are exempt: large ones that never end must not exclude them.
  void TakeBytes(std::string_view bytes) {
    const std::size_t limit =
        this->state->options.max_body_bytes * this->state->options.threads;
    const std::size_t size = this->body.size() + bytes.size();
    const std::size_t excess = size - std::min(size, kSmallBodyBytes);
    const std::size_t added = excess - this->counted;
    this->counted = excess;
    const std::size_t before = this->state->body_bytes.fetch_add(added);
    if (added > 0 && before + added > limit)
      throw BodiesTooLarge();
    this->body.append(bytes);
  }

  void ReleaseBody() {
    this->state->body_bytes -= std::exchange(this->counted, 0);
    // Frees the memory, which clear() would keep.
    this->body = std::string();
  }

  ServerState* state;
  std::size_t counted = 0;  ///< Part of the server's `body_bytes`.
  cxxtools::net::TcpSocket* socket = nullptr;
  std::string body;
};

}  // namespace

cxxtools::http::Responder* ServerState::createResponder(
    const cxxtools::http::Request&) {
  return new StreamResponder(*this);
}

}  // namespace detail

ReplyStream::ReplyStream(detail::ReplyChannel& channel) : channel(&channel) {}

void ReplyStream::Send(const Response& response) {
  cxxtools::http::Reply& reply = *this->channel->reply;
  reply.httpReturn(static_cast<unsigned>(response.status),
                   std::string(ReasonPhrase(response.status)));
  for (const Header& header : response.headers)
    reply.setHeader(header.name.c_str(), header.value.c_str());
  reply.bodyStream() << response.body;
}

bool ReplyStream::Begin(int status, gsl::span<const Header> headers) {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head += ReasonPhrase(status);
  head += "\r\n";
  for (const Header& header : headers)
    head += header.name + ": " + header.value + "\r\n";
  head += "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
  this->channel->streaming = true;
  this->channel->failed = !detail::WriteAll(*this->channel->socket, head);
  return !this->channel->failed;
}

bool ReplyStream::Write(std::string_view data) {
  if (this->channel->failed)
    return false;
  // An empty chunk would end the stream.
  if (data.empty())
    return true;
  char size[20];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  std::string chunk = size;
  chunk.append(data);
  chunk += "\r\n";
  this->channel->failed = !detail::WriteAll(*this->channel->socket, chunk);
  return !this->channel->failed;
}

bool ReplyStream::End() {
  if (this->channel->failed)
    return false;
  this->channel->failed =
      !detail::WriteAll(*this->channel->socket, "0\r\n\r\n");
  return !this->channel->failed;
}

void ReplyStream::Abort() {
  this->channel->streaming = true;
  this->channel->failed = true;
}

bool ReplyStream::CallerGone() const {
  if (this->channel->failed)
    return true;
  char byte;
  const ssize_t count =
      ::recv(this->channel->socket->getFd(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (count > 0)
    return false;
  return count == 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

Result<std::unique_ptr<Server>> Server::Start(const ServerOptions& options,
                                              Handler handler) {
  // A write to a caller who has gone must fail instead of ending the process.
  std::signal(SIGPIPE, SIG_IGN);
  try {
    auto state =
        std::make_unique<detail::ServerState>(options, std::move(handler));
    state->server.minThreads(options.threads);
    state->server.maxThreads(options.threads);
    state->server.readTimeout(options.read_timeout_ms);
    state->server.writeTimeout(options.write_timeout_ms);
    state->server.keepAliveTimeout(options.keep_alive_timeout_ms);
    state->header_watch =
        std::make_unique<HeaderWatch>(options.listen, options.on_headers_cut);
    state->server.listen(options.listen.host,
                         static_cast<unsigned short>(options.listen.port));
    state->server.addService(cxxtools::Regex(".*"), *state);
    detail::ServerState* raw = state.get();
    state->thread = std::thread([raw] { raw->loop.run(); });
    return std::unique_ptr<Server>(new Server(std::move(state)));
  } catch (const std::exception& error) {
    return Error{ErrorCode::kInvalid,
                 FormatAddress(options.listen) + ": " + error.what()};
  }
}

Server::Server(std::unique_ptr<detail::ServerState> state)
    : state(std::move(state)) {}

Server::~Server() {
  this->Stop();
}

void Server::Stop() {
  if (!this->state->thread.joinable())
    return;
  this->state->loop.exit();
  this->state->thread.join();
}

}  // namespace coltsfootvane::http
