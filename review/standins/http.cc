#include "http.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <thread>

namespace review {
namespace {

using Clock = std::chrono::steady_clock;

const Clock::time_point kStart = Clock::now();
constexpr int kBacklog = 256;
constexpr std::size_t kReadBytes = 64UL * 1024;

sockaddr_in AddressOf(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

/// Splits `NAME: VALUE` lines.
Fields ReadFields(std::string_view text) {
  Fields fields;
  while (!text.empty()) {
    const std::size_t end = text.find("\r\n");
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + 2);
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos)
      continue;
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
      value.remove_prefix(1);
    fields.emplace_back(line.substr(0, colon), value);
  }
  return fields;
}

}  // namespace

double Now() {
  return std::chrono::duration<double>(Clock::now() - kStart).count();
}

void SleepFor(double seconds) {
  if (seconds > 0)
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

std::string Message::Field(std::string_view name) const {
  const std::string wanted(name);
  for (const auto& [field_name, value] : this->fields) {
    if (strcasecmp(field_name.c_str(), wanted.c_str()) == 0)
      return value;
  }
  return {};
}

Connection::~Connection() {
  close(this->descriptor);
}

long Connection::Read(std::string* bytes, std::size_t most) const {
  std::string part(most, '\0');
  const long count = recv(this->descriptor, part.data(), most, 0);
  if (count > 0)
    bytes->append(part, 0, static_cast<std::size_t>(count));
  return count;
}

bool Connection::ReadMore() {
  const double left = this->deadline - Now();
  if (left <= 0)
    return false;
  pollfd wanted{this->descriptor, POLLIN, 0};
  constexpr double kMaxWaitS = 3600;
  if (poll(&wanted, 1,
           static_cast<int>(std::min(left, kMaxWaitS) * 1000) + 1) <= 0)
    return false;
  const long count = this->Read(&this->buffer, kReadBytes);
  this->ended = count == 0;
  return count > 0;
}

bool Connection::ReadHead(Message* message) {
  std::size_t end = this->buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!this->ReadMore())
      return false;
    end = this->buffer.find("\r\n\r\n");
  }
  const std::string head = this->buffer.substr(0, end);
  this->buffer.erase(0, end + 4);
  const std::size_t line_end = head.find("\r\n");
  const std::string line = head.substr(0, line_end);
  const std::size_t first = line.find(' ');
  const std::size_t second = line.find(' ', first + 1);
  message->method = line.substr(0, first);
  message->target = line.substr(first + 1, second - first - 1);
  message->status = std::atoi(message->target.c_str());
  if (line_end != std::string::npos)
    message->fields = ReadFields(std::string_view(head).substr(line_end + 2));
  return true;
}

bool Connection::ReadLength(std::size_t length, std::string* body) {
  while (this->buffer.size() < length) {
    if (!this->ReadMore()) {
      body->append(this->buffer);
      return false;
    }
  }
  body->append(this->buffer, 0, length);
  this->buffer.erase(0, length);
  return true;
}

bool Connection::ReadChunks(std::string* body) {
  while (true) {
    std::size_t end = this->buffer.find("\r\n");
    while (end == std::string::npos) {
      if (!this->ReadMore())
        return false;
      end = this->buffer.find("\r\n");
    }
    constexpr int kHex = 16;
    const std::size_t size =
        std::strtoul(this->buffer.substr(0, end).c_str(), nullptr, kHex);
    this->buffer.erase(0, end + 2);
    std::string line_end;
    if (!this->ReadLength(size, body) || !this->ReadLength(2, &line_end))
      return false;
    if (size == 0)
      return true;
  }
}

bool Connection::ReadRequest(Message* request) {
  *request = Message();
  if (!this->ReadHead(request))
    return false;
  if (request->Field("Transfer-Encoding") == "chunked")
    return this->ReadChunks(&request->body);
  return this->ReadLength(
      std::strtoul(request->Field("Content-Length").c_str(), nullptr, 10),
      &request->body);
}

bool Connection::ReadAnswer(Message* answer, double answer_deadline) {
  *answer = Message();
  this->deadline = answer_deadline;
  if (!this->ReadHead(answer))
    return false;
  if (answer->Field("Transfer-Encoding") == "chunked")
    return this->ReadChunks(&answer->body);
  const std::string length = answer->Field("Content-Length");
  if (!length.empty())
    return this->ReadLength(std::strtoul(length.c_str(), nullptr, 10),
                            &answer->body);
  while (this->ReadMore()) {
  }
  answer->body = std::move(this->buffer);
  this->buffer.clear();
  return this->ended;
}

bool Connection::Write(std::string_view bytes) const {
  while (!bytes.empty()) {
    const long count =
        send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(count));
  }
  return true;
}

void Connection::FinishSending() const {
  shutdown(this->descriptor, SHUT_WR);
}

std::unique_ptr<Connection> Connect(const std::string& ip,
                                    int port,
                                    double timeout_s) {
  return ConnectOver({}, ip, port, timeout_s);
}

std::unique_ptr<Connection> ConnectOver(const LinkOptions& link,
                                        const std::string& ip,
                                        int port,
                                        double timeout_s) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{static_cast<time_t>(timeout_s),
                      static_cast<suseconds_t>(timeout_s * 1e6) % 1000000};
  setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (link.segment_bytes > 0)
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &link.segment_bytes,
               sizeof(link.segment_bytes));
  if (link.window_bytes > 0)
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &link.window_bytes,
               sizeof(link.window_bytes));
  const sockaddr_in address = AddressOf(ip, port);
  if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(descriptor);
    return nullptr;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(descriptor);
}

std::string FormatAnswer(int status,
                         const Fields& fields,
                         std::string_view body) {
  std::string text = "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
  for (const auto& [name, value] : fields)
    text.append(name).append(": ").append(value).append("\r\n");
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
  return text.append(body);
}

Server::Server(const std::string& ip, int port, Handler request_handler)
    : handler(std::move(request_handler)) {
  const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = AddressOf(ip, port);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(listener, kBacklog) != 0) {
    std::perror("listen");
    std::_Exit(2);
  }
  std::thread([this, listener] { this->Accept(listener); }).detach();
}

void Server::Accept(int listener) const {
  while (true) {
    const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0)
      continue;
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    std::thread([this, accepted] {
      Connection connection(accepted);
      Message request;
      while (connection.ReadRequest(&request))
        this->handler(&connection, request);
    }).detach();
  }
}

}  // namespace review
