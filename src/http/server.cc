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
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <stdexcept>
#include <thread>
#include <utility>

#include "http/caller_account.h"
#include "http/header_watch.h"
#include "http/socket_reset.h"

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

/// Returns the bounds of the options. That of large bodies is at most the
/// largest body for each thread.
intake::Bounds BodyBounds(const ServerOptions& options) {
  intake::Bounds bounds = options.bounds;
  bounds.large_bytes =
      std::min(bounds.large_bytes, options.max_body_bytes * options.threads);
  return bounds;
}

class ServerState : public cxxtools::http::Service {
 public:
  ServerState(const ServerOptions& options, Handler handler)
      : options(options),
        handler(std::move(handler)),
        account(BodyBounds(options), &ResetSocketOf),
        server(this->loop) {}

  ServerOptions options;
  Handler handler;
  CallerAccount account;
  /// Outlives the server's threads.
  std::unique_ptr<HeaderWatch> header_watch;
  cxxtools::EventLoop loop;
  cxxtools::http::Server server;
  std::thread thread;

 protected:
  cxxtools::http::Responder* createResponder(
      const cxxtools::http::Request&) override;
  void releaseResponder(cxxtools::http::Responder* responder) override {
    delete responder;
  }
};

namespace {

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
                    cxxtools::http::Request& request) override {
    this->ReleaseBody();
    this->socket = &new_socket;
    this->cookie = SocketCookie(new_socket.getFd());
    this->declared_bytes = request.header().contentLength();
    this->state->header_watch->BeginRequest(new_socket.getFd());
  }

  std::size_t readBody(std::istream& in) override {
    if (!this->is_admitted)
      this->AdmitBody();
    std::array<char, 8192> buffer;
    std::size_t count = 0;
    while (in.rdbuf()->in_avail() > 0) {
      const std::streamsize read = in.readsome(buffer.data(), buffer.size());
      if (read <= 0)
        break;
      count += static_cast<std::size_t>(read);
      this->body.append(buffer.data(), static_cast<std::size_t>(read));
      if (this->body.size() > this->state->options.max_body_bytes)
        throw BodyTooLarge();
    }
    this->state->account.RecordBytes(this->cookie, count, Clock::now());
    return count;
  }

  void reply(std::ostream&,
             cxxtools::http::Request& request,
             cxxtools::http::Reply& reply) override {
    if (request.hasHeader("Transfer-Encoding")) {
      this->RejectTransferEncoding(reply);
      return;
    }
    Request converted;
    converted.method = request.method();
    converted.path = request.url();
    converted.query = request.qparams();
    CopyHeaders(request, &converted);
    converted.body = std::move(this->body);
    ReplyChannel channel(*this->socket, reply);
    ReplyStream stream(channel);
    if (this->state->account.BeginServing(this->socket->getFd(), this->cookie,
                                          Clock::now()))
      this->state->handler(converted, stream);
    else
      stream.Abort();
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
    Reject(reply, status, too_large || full ? error.what() : "internal error");
    if (full)
      reply.setHeader("Retry-After", "1");
  }

 private:
  static void Reject(cxxtools::http::Reply& reply,
                     int status,
                     std::string_view message) {
    reply.httpReturn(static_cast<unsigned>(status),
                     std::string(ReasonPhrase(status)));
    reply.setHeader("Content-Type", "application/json");
    reply.setHeader("Connection", "close");
    reply.bodyStream() << R"({"error":{"message":")" << message
                       << R"(","run":"no"}})";
  }

  /// The library reads no chunks: the handler would get an empty body, and the
  /// chunks would be taken as the next request.
  void RejectTransferEncoding(cxxtools::http::Reply& reply) {
    this->ReleaseBody();
    this->state->header_watch->EndRequest(this->socket->getFd());
    Reject(reply, 411, "a request body needs a Content-Length");
  }

  /// The library cannot be paused while it reads a body, so that a body for
  /// which there is no room is rejected instead of kept waiting.
  void AdmitBody() {
    if (this->declared_bytes > this->state->options.max_body_bytes)
      throw BodyTooLarge();
    if (!this->state->account.Admit(this->socket->getFd(), this->cookie,
                                    this->declared_bytes, Clock::now()))
      throw BodiesTooLarge();
    this->is_admitted = true;
    this->body.reserve(this->declared_bytes);
  }

  void ReleaseBody() {
    // Frees the memory, which clear() would keep.
    this->body = std::string();
    this->is_admitted = false;
    if (this->socket != nullptr)
      this->state->account.Release(this->cookie, Clock::now());
  }

  ServerState* state;
  cxxtools::net::TcpSocket* socket = nullptr;
  std::uint64_t cookie = 0;        ///< Of the socket.
  std::size_t declared_bytes = 0;  ///< From Content-Length; 0 without it.
  bool is_admitted = false;        ///< The body counts in the account.
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
    state->header_watch = std::make_unique<HeaderWatch>(
        options.listen, options.on_headers_cut, options.on_callers_ended,
        &state->account, options.bounds.caller_descriptors);
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
