#include "tools/membership_simulation/simulation.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "base/digest.h"
#include "peer/codec.h"

namespace coltsfootvane::tools {
namespace {

constexpr std::array<int, 10> kRegionOfCentre{1, 1, 1, 2, 2, 2, 3, 3, 4, 4};
constexpr Milliseconds kStep{10};
constexpr Milliseconds kTick{100};
constexpr Milliseconds kNearDelay{1};
constexpr Milliseconds kFarDelay{40};
constexpr int kFirstPort = 12000;
/// One first peer in each region.
constexpr std::array<int, 4> kFirstPeers{0, 3, 6, 8};

http::Address AddressOf(int number) {
  const int centre = Simulation::CentreOf(number);
  return {"127." + std::to_string(Simulation::RegionOf(number)) + "." +
              std::to_string(centre) + ".1",
          kFirstPort + number};
}

double Seconds(Clock::duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

Simulation::Simulation(const SimulationOptions& options)
    : options(options),
      random(options.seed),
      now(std::chrono::hours{1}),
      counted_from(this->now) {}

int Simulation::CentreOf(int number) {
  return number % static_cast<int>(kRegionOfCentre.size());
}

int Simulation::RegionOf(int number) {
  return kRegionOfCentre.at(CentreOf(number));
}

void Simulation::Start(int number) {
  membership::MemberTable table;
  table.self.id = "entry-" + std::to_string(number);
  table.self.incarnation = 1;
  table.self.instance = DigestHex(std::to_string(++this->instances));
  table.self.data_centre = "dc" + std::to_string(CentreOf(number));
  table.self.region = "r" + std::to_string(RegionOf(number));
  table.self.address = AddressOf(number);
  table.self.version = 1;
  table.self.digest = DigestHex("configuration");
  table.random.seed(this->random());
  std::vector<http::Address> peers;
  peers.reserve(kFirstPeers.size() +
                static_cast<std::size_t>(this->options.members));
  for (const int peer : kFirstPeers)
    peers.push_back(AddressOf(peer));
  // As with the platform's list of daemons, which a daemon reads at its start.
  for (int n = 0; n < this->options.members; ++n)
    peers.push_back(AddressOf(n));
  membership::AddFirstPeers(table, peers);
  this->tables[number] = std::move(table);
  std::uniform_int_distribution<int> any(0, 99);
  this->next_ticks[number] = this->now + Milliseconds{any(this->random)};
}

void Simulation::Kill(int number) {
  this->tables.erase(number);
  this->next_ticks.erase(number);
}

bool Simulation::Passes(int from, int to) {
  if (this->cut && RegionOf(from) != RegionOf(to))
    return false;
  return std::uniform_real_distribution<double>(0, 1)(this->random) >=
         this->options.loss;
}

void Simulation::Count(int number, std::size_t bytes) {
  Counted& one = this->counted[number];
  one.bytes += bytes;
  const auto second = std::chrono::duration_cast<std::chrono::seconds>(
      this->now.time_since_epoch());
  one.by_second[second.count()] += bytes;
  this->largest = std::max(this->largest, bytes);
}

void Simulation::Send(int from, const std::vector<membership::Outgoing>& out) {
  for (const membership::Outgoing& one : out) {
    peer::PeerMessage message;
    message.sender = "entry-" + std::to_string(from);
    message.membership = one.message;
    std::string bytes = peer::EncodeMessage(message, this->now);
    const int to = one.address.port - kFirstPort;
    this->Count(from, bytes.size());
    if (!this->Passes(from, to))
      continue;
    const bool near = RegionOf(from) == RegionOf(to);
    this->in_flight.push({this->now + (near ? kNearDelay : kFarDelay),
                          ++this->sent, from, to, std::move(bytes)});
  }
}

void Simulation::Deliver(const Datagram& datagram) {
  const auto target = this->tables.find(datagram.to);
  if (target == this->tables.end())
    return;
  this->Count(datagram.to, datagram.bytes.size());
  const auto message = peer::DecodeMessage(datagram.bytes, this->now);
  if (!message || !message->membership)
    return;
  this->Send(datagram.to,
             membership::OnMessage(target->second, AddressOf(datagram.from),
                                   *message->membership, this->now));
}

void Simulation::Step() {
  while (!this->in_flight.empty() && this->in_flight.top().at <= this->now) {
    const Datagram datagram = this->in_flight.top();
    this->in_flight.pop();
    this->Deliver(datagram);
  }
  for (auto& [number, due] : this->next_ticks) {
    if (due > this->now)
      continue;
    due += kTick;
    this->Send(number, membership::OnTick(this->tables[number], this->now));
  }
  this->now += kStep;
}

void Simulation::Run(Milliseconds time) {
  const TimePoint end = this->now + time;
  while (this->now < end)
    this->Step();
}

std::pair<double, double> Simulation::RunUntil(
    const std::function<bool(const membership::MemberTable&)>& is_done,
    Milliseconds limit) {
  const TimePoint start = this->now;
  std::map<int, double> times;
  while (times.size() < this->tables.size()) {
    if (this->now > start + limit) {
      const double never = std::numeric_limits<double>::infinity();
      return {never, never};
    }
    this->Step();
    for (const auto& [number, table] : this->tables) {
      if (times.count(number) == 0 && is_done(table))
        times[number] = Seconds(this->now - start);
    }
  }
  std::vector<double> sorted;
  sorted.reserve(times.size());
  for (const auto& [number, time] : times)
    sorted.push_back(time);
  std::sort(sorted.begin(), sorted.end());
  return {sorted[sorted.size() / 2], sorted.back()};
}

void Simulation::ResetTraffic() {
  this->counted.clear();
  this->counted_from = this->now;
  this->largest = 0;
}

Traffic Simulation::MeasureTraffic() const {
  Traffic traffic;
  const double seconds = std::max(1.0, Seconds(this->now - this->counted_from));
  for (const auto& [number, one] : this->counted) {
    if (this->tables.count(number) == 0)
      continue;
    const double kb_s = static_cast<double>(one.bytes) / 1000 / seconds;
    traffic.mean_kb_s += kb_s / static_cast<double>(this->tables.size());
    traffic.most_kb_s = std::max(traffic.most_kb_s, kb_s);
    for (const auto& [second, bytes] : one.by_second)
      traffic.worst_second_kb =
          std::max(traffic.worst_second_kb, static_cast<double>(bytes) / 1000);
  }
  traffic.largest_bytes = this->largest;
  return traffic;
}

}  // namespace coltsfootvane::tools
