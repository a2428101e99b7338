#include "gateway/endpoint_connections.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace coltsfootvane::gateway {
namespace {

/// Establishing a connection within a region takes a few ms. A lost packet is
/// retransmitted only after a second.
constexpr Milliseconds kConnectTimeout{700};
/// A connection fails when the endpoint's host does not respond for this long.
/// 1.5 s ended silent streams with one lost keep-alive probe, after 2 s.
constexpr Milliseconds kFailureDetection{3000};
/// Idle time allowed if the endpoint states no timeout.
constexpr Milliseconds kDefaultIdle{3000};
constexpr Milliseconds kMaxIdle{20'000};
/// Idle time of a fresh connection if the endpoint states no timeout. It may
/// then close at any moment.
constexpr Milliseconds kDefaultFreshIdle{1000};
constexpr std::size_t kMaxIdleConnections = 64;  ///< Per endpoint.

/// For how long a connection counts as fresh and as usable after an answer.
struct IdleTimes {
  Milliseconds fresh = kDefaultFreshIdle;
  Milliseconds usable = kDefaultIdle;
};

/// Returns times that end well before the endpoint's own idle timeout.
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
  return {std::min(kMaxIdle, stated * 7 / 10),
          std::min(kMaxIdle, stated * 8 / 10)};
}

}  // namespace

std::shared_ptr<net::TcpStream> EndpointConnections::Take(
    const std::string& endpoint_id,
    bool require_fresh) {
  const auto found = this->idle_connections.find(endpoint_id);
  if (found == this->idle_connections.end())
    return nullptr;
  const TimePoint now = BootNow();
  while (!found->second.empty()) {
    IdleConnection candidate = std::move(found->second.back());
    if (require_fresh && candidate.stream->IsOpen() &&
        now < candidate.usable_until && now >= candidate.fresh_until) {
      found->second.back() = std::move(candidate);
      return nullptr;  // The others have been idle for longer.
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
  std::vector<IdleConnection>& list = this->idle_connections[endpoint_id];
  // An endpoint may answer before it has taken the whole request.
  if (!stream->IsOpen() || stream->UnsentBytes() > 0 ||
      idle.usable.count() == 0 || list.size() >= kMaxIdleConnections) {
    stream->Close();
    return;
  }
  net::StreamEvents events;
  std::weak_ptr<net::TcpStream> weak = stream;
  // Bytes that arrive without a request belong to no answer.
  events.on_data = [weak](std::string_view) {
    if (const auto unexpected = weak.lock())
      unexpected->Close();
  };
  stream->Start(std::move(events));
  // Paused for a slow caller of the last answer.
  stream->ResumeReading();
  const TimePoint now = BootNow();
  list.push_back({std::move(stream), now + idle.fresh, now + idle.usable});
}

void EndpointConnections::DropEndpoint(const std::string& endpoint_id) {
  const auto found = this->idle_connections.find(endpoint_id);
  if (found == this->idle_connections.end())
    return;
  for (IdleConnection& connection : found->second)
    connection.stream->Close();
  this->idle_connections.erase(found);
}

std::size_t EndpointConnections::DropIdle() {
  std::size_t dropped = 0;
  for (auto& [id, list] : this->idle_connections) {
    dropped += list.size();
    for (IdleConnection& connection : list)
      connection.stream->Close();
  }
  this->idle_connections.clear();
  return dropped;
}

void EndpointConnections::DropExpired() {
  const TimePoint now = BootNow();
  for (auto& [id, list] : this->idle_connections) {
    const auto expired = std::remove_if(
        list.begin(), list.end(), [now](const IdleConnection& connection) {
          if (connection.stream->IsOpen() && now < connection.usable_until)
            return false;
          connection.stream->Close();
          return true;
        });
    list.erase(expired, list.end());
  }
}

}  // namespace coltsfootvane::gateway
