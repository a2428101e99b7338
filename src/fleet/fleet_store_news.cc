#include <algorithm>
#include <utility>

#include "fleet/codec.h"
#include "fleet/fleet.h"
#include "fleet/spread_tree.h"

namespace coltsfootvane::fleet {
namespace {

/// How long after its start a daemon counts others that it has not heard yet.
/// The first reports of a fleet that starts as a whole take that long.
constexpr Milliseconds kStartPeriod{3000};
/// A configuration that does not fit into a datagram is fetched from its
/// source by so many daemons at once.
constexpr std::size_t kFetchFanOut = 4;
/// A longer datagram would not fit into the receivers' buffers.
constexpr std::size_t kMaxSentBytes = 1900;

std::vector<std::int32_t> ToWire(const std::vector<std::uint32_t>& addresses) {
  std::vector<std::int32_t> wire;
  wire.reserve(addresses.size());
  for (const std::uint32_t address : addresses)
    wire.push_back(static_cast<std::int32_t>(address));
  return wire;
}

gen::Datagram ToDatagram(const gen::StoreNews& news) {
  gen::Datagram datagram;
  datagram.__set_store_news(news);
  return datagram;
}

/// Encodes news, or the mere fact that there are some if they are too long.
std::string EncodeNews(gen::StoreNews news) {
  std::string bytes = Encode(ToDatagram(news));
  if (bytes.size() <= kMaxSentBytes)
    return bytes;
  for (gen::StoreBatch& batch : news.batches) {
    gen::EndpointNews left_out;
    left_out.__set_left_out(true);
    batch.changes = {left_out};
  }
  return Encode(ToDatagram(news));
}

}  // namespace

bool Fleet::CountsUnheard(TimePoint now) const {
  return now < this->opened_at + kStartPeriod;
}

bool Fleet::IsLarge() const {
  const TimePoint now = BootNow();
  return CountKnown(this->table, this->CountsUnheard(now), now) >=
         kMaxSmallFleet;
}

std::vector<std::uint32_t> Fleet::Readers(std::size_t max_readers) const {
  const TimePoint now = BootNow();
  return ReaderOrder(this->table, this->own_address, this->seen.reachable,
                     this->CountsUnheard(now), max_readers, now);
}

bool Fleet::IsAmongReaders(std::size_t max_readers) const {
  const std::vector<std::uint32_t> readers = this->Readers(max_readers);
  return std::find(readers.begin(), readers.end(), this->own_address) !=
         readers.end();
}

std::vector<std::uint32_t> Fleet::LiveAddresses() const {
  const TimePoint now = BootNow();
  std::vector<std::uint32_t> live;
  for (const auto& [address, member] : this->table.members) {
    if (IsLive(member, now))
      live.push_back(address);
  }
  std::shuffle(live.begin(), live.end(), this->gateway->random);
  return live;
}

std::uint32_t Fleet::PickMember(
    const std::function<bool(const gen::Report&)>& suits,
    std::uint32_t except) const {
  for (const std::uint32_t address : this->LiveAddresses()) {
    const gen::Report& report = this->table.members.at(address).report;
    if (address != except && !report.leaving && suits(report))
      return address;
  }
  return 0;
}

/// Returns when a daemon was heard last, as far as it may be a relay: one that
/// leaves may end before it passes anything on.
TimePoint Fleet::HeardAt(std::uint32_t address) const {
  const auto found = this->table.members.find(address);
  return found == this->table.members.end() || found->second.report.leaving
             ? TimePoint()
             : found->second.last_heard_at;
}

void Fleet::Spread(gen::StoreNews news, const std::vector<std::uint32_t>& to) {
  const auto heard_at = [this](std::uint32_t address) {
    return this->HeardAt(address);
  };
  for (const SpreadGroup& group :
       SplitForSpread(to, FanOut(to.size()), heard_at)) {
    news.relay_to = ToWire(group.others);
    this->SendTo(group.relay, EncodeNews(news));
  }
}

void Fleet::Spread(gen::ConfigNews news, const std::vector<std::uint32_t>& to) {
  const auto heard_at = [this](std::uint32_t address) {
    return this->HeardAt(address);
  };
  const std::size_t fan_out =
      news.__isset.patch ? FanOut(to.size()) : kFetchFanOut;
  for (const SpreadGroup& group : SplitForSpread(to, fan_out, heard_at)) {
    news.relay_to = ToWire(group.others);
    gen::Datagram datagram;
    datagram.__set_config_news(news);
    this->SendTo(group.relay, Encode(datagram));
  }
}

void Fleet::SendStoreNews(std::uint32_t to, const gen::StoreNews& news) {
  this->SendTo(to, EncodeNews(news));
}

void Fleet::RequestStoreNews(std::uint32_t from, const store::Place& known) {
  gen::StoreNewsRequest request;
  request.revision = known.revision;
  request.era = known.era;
  request.__isset.era = known.era != 0;
  gen::Datagram datagram;
  datagram.__set_store_news_request(request);
  this->SendTo(from, Encode(datagram));
}

}  // namespace coltsfootvane::fleet
