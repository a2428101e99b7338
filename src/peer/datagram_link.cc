#include "peer/datagram_link.h"

#include <netdb.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <memory>
#include <utility>

#include "peer/codec.h"

namespace coltsfootvane::peer {
namespace {

constexpr int kPollMs = 100;
constexpr int kReceiveBufferBytes = 1 << 20;

struct FreeAddressInfo {
  void operator()(addrinfo* info) const { ::freeaddrinfo(info); }
};
using AddressInfo = std::unique_ptr<addrinfo, FreeAddressInfo>;

AddressInfo Resolve(const http::Address& address) {
  addrinfo hints{};
  hints.ai_family = AF_UNSPEC;
  hints.ai_socktype = SOCK_DGRAM;
  hints.ai_flags = AI_NUMERICHOST | AI_NUMERICSERV;
  addrinfo* info = nullptr;
  const std::string port = std::to_string(address.port);
  if (::getaddrinfo(address.host.c_str(), port.c_str(), &hints, &info) != 0)
    return nullptr;
  return AddressInfo(info);
}

http::Address ToAddress(const sockaddr_storage& from, socklen_t size) {
  std::array<char, NI_MAXHOST> host{};
  std::array<char, NI_MAXSERV> port{};
  if (::getnameinfo(reinterpret_cast<const sockaddr*>(&from), size, host.data(),
                    host.size(), port.data(), port.size(),
                    NI_NUMERICHOST | NI_NUMERICSERV) != 0)
    return {};
  return {host.data(), std::atoi(port.data())};
}

}  // namespace

DatagramLink::~DatagramLink() {
  this->Stop();
}

Result<bool> DatagramLink::Start(const http::Address& address,
                                 Receiver receiver) {
  const AddressInfo info = Resolve(address);
  if (!info)
    return Error{ErrorCode::kInvalid,
                 "not an IP address: " + http::FormatAddress(address), 0};
  this->socket = ::socket(info->ai_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  ::setsockopt(this->socket, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes,
               sizeof(kReceiveBufferBytes));
  if (::bind(this->socket, info->ai_addr, info->ai_addrlen) != 0) {
    const int error = errno;
    ::close(this->socket);
    this->socket = -1;
    return Error{ErrorCode::kInvalid,
                 "cannot bind " + http::FormatAddress(address) + ": " +
                     std::strerror(error),
                 0};
  }
  this->receiver = std::move(receiver);
  this->stopping = false;
  this->thread = std::thread([this] { this->RunReceiver(); });
  return true;
}

void DatagramLink::Stop() {
  this->stopping = true;
  if (this->thread.joinable())
    this->thread.join();
  if (this->socket >= 0)
    ::close(this->socket);
  this->socket = -1;
}

void DatagramLink::Send(const http::Address& to, const PeerMessage& message) {
  const std::string bytes = EncodeMessage(message, Clock::now());
  const AddressInfo info = Resolve(to);
  if (bytes.size() > kMaxDatagramBytes || !info || this->socket < 0) {
    ++this->counters.not_sent;
    return;
  }
  const auto sent =
      ::sendto(this->socket, bytes.data(), bytes.size(),
               MSG_NOSIGNAL | MSG_DONTWAIT, info->ai_addr, info->ai_addrlen);
  if (sent < 0) {
    ++this->counters.not_sent;
    return;
  }
  ++this->counters.sent;
  this->counters.sent_bytes += bytes.size();
}

void DatagramLink::HandleDatagram(std::string_view bytes,
                                  const http::Address& from) {
  auto message = DecodeMessage(bytes, Clock::now());
  if (!message) {
    ++this->counters.malformed;
    return;
  }
  this->receiver(from, std::move(*message));
}

void DatagramLink::RunReceiver() {
  // One byte more than the maximum, so that oversized datagrams are detected.
  std::array<char, kMaxDatagramBytes + 1> buffer{};
  while (!this->stopping) {
    pollfd poll_entry{this->socket, POLLIN, 0};
    if (::poll(&poll_entry, 1, kPollMs) <= 0)
      continue;
    sockaddr_storage from{};
    socklen_t from_size = sizeof(from);
    const auto size =
        ::recvfrom(this->socket, buffer.data(), buffer.size(), MSG_DONTWAIT,
                   reinterpret_cast<sockaddr*>(&from), &from_size);
    if (size < 0)
      continue;
    ++this->counters.received;
    this->counters.received_bytes += static_cast<std::uint64_t>(size);
    if (static_cast<std::size_t>(size) > kMaxDatagramBytes) {
      ++this->counters.malformed;
      continue;
    }
    this->HandleDatagram({buffer.data(), static_cast<std::size_t>(size)},
                         ToAddress(from, from_size));
  }
}

}  // namespace coltsfootvane::peer
