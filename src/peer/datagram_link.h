#ifndef COLTSFOOTVANE_PEER_DATAGRAM_LINK_H_
#define COLTSFOOTVANE_PEER_DATAGRAM_LINK_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

#include "base/result.h"
#include "http/message.h"
#include "peer/message.h"

namespace coltsfootvane::peer {

/// Totals since the link was created.
struct LinkCounters {
  std::atomic<std::uint64_t> sent{0};
  std::atomic<std::uint64_t> sent_bytes{0};
  std::atomic<std::uint64_t> not_sent{0};  ///< Too large, invalid address or
                                           ///< socket error.
  std::atomic<std::uint64_t> received{0};
  std::atomic<std::uint64_t> received_bytes{0};
  std::atomic<std::uint64_t> malformed{0};
};

/// Sends and receives PeerMessage datagrams on one UDP socket.
class DatagramLink {
 public:
  /// Called on the receiver thread.
  using Receiver =
      std::function<void(const http::Address& from, PeerMessage message)>;

  DatagramLink() = default;
  DatagramLink(const DatagramLink&) = delete;
  DatagramLink& operator=(const DatagramLink&) = delete;
  ~DatagramLink();

  /// Binds to `address` and starts the receiver thread. Errors: kInvalid.
  Result<bool> Start(const http::Address& address, Receiver receiver);
  void Stop();

  /// Thread safe. A datagram that cannot be sent is dropped and counted in
  /// `not_sent`.
  void Send(const http::Address& to, const PeerMessage& message);

  const LinkCounters& Counters() const { return this->counters; }

 private:
  void RunReceiver();
  void HandleDatagram(std::string_view bytes, const http::Address& from);

  int socket = -1;
  std::atomic<bool> stopping{false};
  Receiver receiver;
  std::thread thread;
  LinkCounters counters;
};

}  // namespace coltsfootvane::peer

#endif  // COLTSFOOTVANE_PEER_DATAGRAM_LINK_H_
