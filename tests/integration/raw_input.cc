#include "raw_input.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <iterator>
#include <utility>

namespace coltsfootvane::testing {
namespace {

constexpr Milliseconds kBytePause{50};

sockaddr_in SocketAddress(const http::Address& to) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(to.port));
  ::inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
  return address;
}

std::string RandomBytes(std::mt19937* random, std::size_t size) {
  std::string bytes(size, '\0');
  for (char& byte : bytes)
    byte = static_cast<char>((*random)() & 0xffU);
  return bytes;
}

std::string ValidPost() {
  const std::string body =
      R"({"model":"diagnosis","messages":[{"role":"user","content":"x"}]})";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
         "Authorization: Bearer key-counter\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

RawConnection::RawConnection(const http::Address& to)
    : fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
  const sockaddr_in address = SocketAddress(to);
  const timeval timeout{2, 0};
  ::setsockopt(this->fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
  this->connected =
      ::connect(this->fd, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) == 0;
}

RawConnection::~RawConnection() {
  ::close(this->fd);
}

bool RawConnection::Write(std::string_view data) const {
  while (!data.empty()) {
    const ssize_t sent =
        ::send(this->fd, data.data(), data.size(), MSG_NOSIGNAL);
    if (sent <= 0)
      return false;
    data.remove_prefix(static_cast<std::size_t>(sent));
  }
  return this->connected;
}

std::string RawConnection::Read(Milliseconds timeout) const {
  std::string text;
  const TimePoint deadline = Clock::now() + timeout;
  std::array<char, 4096> buffer;
  for (;;) {
    pollfd entry{this->fd, POLLIN, 0};
    const Milliseconds left = TimeLeft(deadline, Clock::now());
    if (::poll(&entry, 1, static_cast<int>(left.count())) <= 0)
      return text;
    const ssize_t count = ::recv(this->fd, buffer.data(), buffer.size(), 0);
    if (count <= 0)
      return text;
    text.append(buffer.data(), static_cast<std::size_t>(count));
  }
}

std::string BadHttp(std::mt19937* random) {
  const std::string valid = ValidPost();
  const std::string lengths[] = {"-1",
                                 "-99999999999",
                                 "18446744073709551616",
                                 "99999999999999999999",
                                 "4294967296",
                                 "1e9",
                                 "0x10",
                                 "x",
                                 ""};
  switch ((*random)() % 4) {
    case 0:
      return RandomBytes(random, 1 + (*random)() % 2000);
    case 1:
      return valid.substr(0, (*random)() % valid.size());
    case 2:
      return "POST /v1/chat/completions HTTP/1.1\r\nContent-Length: " +
             lengths[(*random)() % std::size(lengths)] + "\r\n\r\n{}";
    default: {
      std::string changed = valid;
      for (int i = 0; i < 4; ++i)
        changed[(*random)() % changed.size()] =
            static_cast<char>((*random)() & 0xffU);
      return changed;
    }
  }
}

std::string BadFrame(std::mt19937* random) {
  const std::string sizes[] = {
      std::string("\xff\xff\xff\xff", 4), std::string("\x7f\xff\xff\xff", 4),
      std::string("\x00\x00\x10\x01", 4), std::string("\x00\x00\x00\x40", 4)};
  std::string frame = sizes[(*random)() % std::size(sizes)];
  if ((*random)() % 2 == 0)
    frame +=
        "\x82\x21\x01\x05"
        "Fetch";
  return frame + RandomBytes(random, (*random)() % 200);
}

void SendInputs(const http::Address& to,
                int count,
                const std::function<std::string()>& make) {
  for (int i = 0; i < count; ++i) {
    const RawConnection connection(to);
    connection.Write(make());
    // Most inputs are left without an answer, so only a few are waited for.
    if (i % 30 == 0)
      static_cast<void>(connection.Read(Milliseconds{50}));
  }
}

void SendDatagrams(const http::Address& to,
                   int count,
                   const std::function<std::string()>& make) {
  const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddress(to);
  for (int i = 0; i < count; ++i) {
    const std::string bytes = make();
    ::sendto(fd, bytes.data(), bytes.size(), 0,
             reinterpret_cast<const sockaddr*>(&address), sizeof(address));
  }
  ::close(fd);
}

std::string BadDatagram(std::mt19937* random, const std::string& valid) {
  if ((*random)() % 2 == 0)
    return RandomBytes(random, 1 + (*random)() % 2000);
  std::string changed = valid;
  changed[(*random)() % changed.size()] =
      static_cast<char>((*random)() & 0xffU);
  return changed.substr(0, 1 + (*random)() % changed.size());
}

SlowSenders::SlowSenders(const http::Address& to,
                         const std::string& text,
                         int count) {
  this->thread = std::thread([this, to, text, count] {
    Connections connections;
    for (int i = 0; i < count; ++i)
      connections.push_back(std::make_unique<RawConnection>(to));
    for (std::size_t at = 0; !this->stopping; at = (at + 1) % text.size()) {
      for (const auto& connection : connections)
        static_cast<void>(connection->Write(text.substr(at, 1)));
      ++this->rounds;
      std::this_thread::sleep_for(kBytePause);
    }
  });
}

SlowSenders::~SlowSenders() {
  this->stopping = true;
  this->thread.join();
}

}  // namespace coltsfootvane::testing
