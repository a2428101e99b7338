#include "http.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <cstdlib>
#include <sstream>
#include <thread>

namespace review {
namespace {

constexpr std::size_t kReadBytes = 16384;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(port));
  return address;
}

int MsUntil(TimePoint deadline) {
  const auto left = std::chrono::duration_cast<Milliseconds>(
      deadline - Clock::now() + Milliseconds(1));
  return static_cast<int>(std::max<long long>(0, left.count()));
}

/// Waits until the descriptor is ready. Returns false at the deadline.
bool Await(int descriptor, short events, TimePoint deadline) {
  pollfd waited{descriptor, events, 0};
  return poll(&waited, 1, MsUntil(deadline)) > 0;
}

std::string ToLower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

/// Reads the fields after the first line of a head.
Fields ReadFields(std::istringstream* lines) {
  Fields fields;
  std::string line;
  while (std::getline(*lines, line)) {
    while (!line.empty() && line.back() == '\r')
      line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    fields[ToLower(line.substr(0, colon))] =
        value == std::string::npos ? "" : line.substr(value);
  }
  return fields;
}

std::size_t ToSize(const std::string& text, int base) {
  return std::strtoul(text.c_str(), nullptr, base);
}

}  // namespace

long long ElapsedMs() {
  static const TimePoint start = Clock::now();
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - start).count();
}

int FreePort() {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t length = sizeof(address);
  int port = -1;
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
      getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length) ==
          0)
    port = ntohs(address.sin_port);
  close(descriptor);
  return port;
}

int Listen(int port) {
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address = LoopbackAddress(port);
  constexpr int kBacklog = 256;
  if (bind(descriptor, reinterpret_cast<sockaddr*>(&address),
           sizeof(address)) != 0 ||
      listen(descriptor, kBacklog) != 0) {
    close(descriptor);
    return -1;
  }
  return descriptor;
}

int Connect(int port, Milliseconds timeout) {
  const int descriptor =
      socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  const sockaddr_in address = LoopbackAddress(port);
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  const int result = connect(
      descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  const bool pending = result != 0 && errno == EINPROGRESS;
  int error = result != 0 && !pending ? errno : 0;
  if (pending) {
    socklen_t length = sizeof(error);
    if (!Await(descriptor, POLLOUT, Clock::now() + timeout) ||
        getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) != 0)
      error = ETIMEDOUT;
  }
  if (error != 0) {
    close(descriptor);
    return -1;
  }
  fcntl(descriptor, F_SETFL, 0);
  return descriptor;
}

bool Write(int descriptor, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t count = send(descriptor, bytes.data() + sent,
                               bytes.size() - sent, MSG_NOSIGNAL);
    if (count <= 0)
      return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}

bool Reader::ReadMore(TimePoint deadline) {
  if (!Await(this->descriptor, POLLIN, deadline)) {
    this->was_reset = true;
    return false;
  }
  char bytes[kReadBytes];
  const ssize_t count = recv(this->descriptor, bytes, sizeof(bytes), 0);
  this->was_reset = this->was_reset || count < 0;
  if (count <= 0)
    return false;
  this->buffer.append(bytes, static_cast<std::size_t>(count));
  return true;
}

bool Reader::ReadHead(std::string* head, TimePoint deadline) {
  std::size_t end = std::string::npos;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->ReadMore(deadline))
      return false;
  }
  *head = this->buffer.substr(0, end + 2);
  this->buffer.erase(0, end + 4);
  return true;
}

bool Reader::ReadBytes(std::size_t count,
                       std::string* bytes,
                       TimePoint deadline) {
  bool whole = true;
  while (whole && this->buffer.size() < count)
    whole = this->ReadMore(deadline);
  const std::size_t taken = std::min(count, this->buffer.size());
  bytes->append(this->buffer, 0, taken);
  this->buffer.erase(0, taken);
  return whole;
}

bool Reader::ReadChunks(std::string* body, TimePoint deadline) {
  while (true) {
    std::size_t end = std::string::npos;
    while ((end = this->buffer.find("\r\n")) == std::string::npos) {
      if (!this->ReadMore(deadline))
        return false;
    }
    const std::size_t size = ToSize(this->buffer.substr(0, end), 16);
    this->buffer.erase(0, end + 2);
    std::string line_end;
    if (!this->ReadBytes(size, body, deadline) ||
        !this->ReadBytes(2, &line_end, deadline))
      return false;
    if (size == 0)
      return true;
  }
}

bool Reader::ReadRequest(Request* request, TimePoint deadline) {
  std::string head;
  if (!this->ReadHead(&head, deadline))
    return false;
  std::istringstream lines(head);
  std::string version;
  *request = Request();
  lines >> request->method >> request->target >> version;
  request->fields = ReadFields(&lines);
  const auto length = request->fields.find("content-length");
  return length == request->fields.end() ||
         this->ReadBytes(ToSize(length->second, 10), &request->body, deadline);
}

Answer Reader::ReadAnswer(TimePoint deadline) {
  Answer answer;
  std::string head;
  if (!this->ReadHead(&head, deadline)) {
    answer.broken = this->was_reset;
    return answer;
  }
  std::istringstream lines(head);
  std::string version;
  lines >> version >> answer.status;
  answer.fields = ReadFields(&lines);
  const auto length = answer.fields.find("content-length");
  const auto coding = answer.fields.find("transfer-encoding");
  if (coding != answer.fields.end()) {
    answer.complete = this->ReadChunks(&answer.body, deadline);
  } else if (length != answer.fields.end()) {
    answer.complete =
        this->ReadBytes(ToSize(length->second, 10), &answer.body, deadline);
  } else {
    while (this->ReadMore(deadline)) {
    }
    answer.body = this->buffer;
    answer.complete = !this->was_reset;
  }
  answer.broken = this->was_reset;
  return answer;
}

Answer Call(int port, const std::string& request, Milliseconds timeout) {
  const TimePoint deadline = Clock::now() + timeout;
  const int descriptor = Connect(port, timeout);
  if (descriptor < 0)
    return {};
  Answer answer;
  if (Write(descriptor, request))
    answer = Reader(descriptor).ReadAnswer(deadline);
  close(descriptor);
  return answer;
}

void Serve(int listening,
           const std::function<bool(const Request&, int)>& handler) {
  while (true) {
    const int descriptor = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0)
      return;
    std::thread([descriptor, handler] {
      const int on = 1;
      setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      Reader reader(descriptor);
      Request request;
      constexpr std::chrono::minutes kIdleTime{5};
      while (reader.ReadRequest(&request, Clock::now() + kIdleTime) &&
             handler(request, descriptor)) {
      }
      close(descriptor);
    }).detach();
  }
}

std::string FormatAnswer(int status,
                         const std::string& body,
                         const std::string& more_fields) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + more_fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace review
