#include "gateway/endpoint_connections.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace coltsfootvane::gateway {
namespace {

/// Establishing a connection within a region takes a few ms; one lost packet is
/// sent again after a second.
constexpr Milliseconds kConnectTimeout{700};
/// A silent endpoint is noticed after this time.
constexpr Milliseconds kFailureDetection{1500};
/// Idle time allowed if the endpoint states none.
constexpr Milliseconds kDefaultIdle{3000};
constexpr Milliseconds kMostIdle{20'000};
/// Without a stated time an endpoint may close at any moment.
constexpr Milliseconds kDefaultCarefulIdle{1000};
constexpr std::size_t kMostKept = 64;  ///< Per endpoint.

/// For how long a connection may be used after an answer.
struct IdleTimes {
  Milliseconds careful = kDefaultCarefulIdle;
  Milliseconds usable = kDefaultIdle;
};

/// Stays clear of the moment at which the endpoint closes.
IdleTimes AllowedIdle(const net::Fields& fields) {
  const std::string_view value = net::FieldValue(fields, "keep-alive");
  constexpr std::string_view kName = "timeout=";
  const std::size_t at = value.find(kName);
  if (at == std::string_view::npos)
    return {};
  int seconds = 0;
  const char* const begin = value.data() + at + kName.size();
  std::from_chars(begin, value.data() + value.size(), seconds);
  const Milliseconds stated = std::chrono::seconds(seconds);
  return {std::min(kMostIdle, stated * 7 / 10),
          std::min(kMostIdle, stated * 8 / 10)};
}

}  // namespace

std::shared_ptr<net::TcpStream> EndpointConnections::Take(
    const std::string& endpoint_id,
    bool careful) {
  const auto found = this->kept.find(endpoint_id);
  if (found == this->kept.end())
    return nullptr;
  const TimePoint now = BootNow();
  while (!found->second.empty()) {
    Kept candidate = std::move(found->second.back());
    if (careful && candidate.stream->IsOpen() && now < candidate.usable_until &&
        now >= candidate.careful_until) {
      found->second.back() = std::move(candidate);
      return nullptr;  // The others were idle for longer.
    }
    found->second.pop_back();
    if (candidate.stream->IsOpen() && now < candidate.usable_until)
      return std::move(candidate.stream);
    candidate.stream->Close();
  }
  return nullptr;
}

void EndpointConnections::Open(const net::tcp::endpoint& address,
                               net::ConnectHandler handler) {
  net::Connect(this->io, address, kConnectTimeout, kFailureDetection,
               std::move(handler));
}

void EndpointConnections::Keep(const std::string& endpoint_id,
                               std::shared_ptr<net::TcpStream> stream,
                               const net::ResponseHead& head) {
  const IdleTimes idle = AllowedIdle(head.fields);
  std::vector<Kept>& list = this->kept[endpoint_id];
  if (!stream->IsOpen() || idle.usable.count() == 0 ||
      list.size() >= kMostKept) {
    stream->Close();
    return;
  }
  net::StreamEvents events;
  std::weak_ptr<net::TcpStream> weak = stream;
  // Bytes that arrive while no request waits belong to none.
  events.on_data = [weak](std::string_view) {
    if (const auto unexpected = weak.lock())
      unexpected->Close();
  };
  stream->Start(std::move(events));
  const TimePoint now = BootNow();
  list.push_back({std::move(stream), now + idle.careful, now + idle.usable});
}

void EndpointConnections::DropEndpoint(const std::string& endpoint_id) {
  const auto found = this->kept.find(endpoint_id);
  if (found == this->kept.end())
    return;
  for (Kept& connection : found->second)
    connection.stream->Close();
  this->kept.erase(found);
}

void EndpointConnections::DropExpired() {
  const TimePoint now = BootNow();
  for (auto& [id, list] : this->kept) {
    const auto expired =
        std::remove_if(list.begin(), list.end(), [now](const Kept& connection) {
          if (connection.stream->IsOpen() && now < connection.usable_until)
            return false;
          connection.stream->Close();
          return true;
        });
    list.erase(expired, list.end());
  }
}

}  // namespace coltsfootvane::gateway
