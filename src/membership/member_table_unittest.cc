#include "membership/member_table.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "membership/updates.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane::membership {
namespace {

constexpr Milliseconds kStep{100};
constexpr Milliseconds kDelay{1};

/// Simulates a network of member tables in virtual time, with seeded packet
/// loss.
struct Network {
  explicit Network(int count) : random(Seed()) {
    for (int i = 0; i < count; ++i)
      this->Add("d" + std::to_string(i), i);
  }

  static std::uint64_t Seed() {
    const char* given = std::getenv("TEST_SEED");
    return given != nullptr ? std::strtoull(given, nullptr, 10) : 20261204;
  }

  void Add(const std::string& id, int number) {
    MemberTable table;
    table.self.id = id;
    table.self.incarnation = 1;
    table.self.instance = id + "-instance-" + std::to_string(this->instances++);
    table.self.data_centre = number % 2 == 0 ? "a" : "b";
    table.self.address = {"10.0.0.1", 1000 + number};
    table.random.seed(this->random());
    AddFirstPeers(table, {{"10.0.0.1", 1000}, {"10.0.0.1", 1001}});
    this->tables[1000 + number] = std::move(table);
  }

  bool IsDelivered(int from, int to) {
    if (this->tables.count(to) == 0)
      return false;
    if (this->split && (from % 2) != (to % 2))
      return false;
    return std::uniform_real_distribution<double>(0, 1)(this->random) >=
           this->loss;
  }

  void Send(int from, const std::vector<Outgoing>& out) {
    for (const Outgoing& outgoing : out) {
      ++this->sent;
      if (this->IsDelivered(from, outgoing.address.port))
        this->in_flight.push({this->now + kDelay, from, outgoing});
    }
  }

  void Deliver() {
    while (!this->in_flight.empty()) {
      const InFlightMessage in_flight_message = this->in_flight.front();
      this->in_flight.pop();
      const auto target = this->tables.find(in_flight_message.out.address.port);
      if (target == this->tables.end())
        continue;
      this->Send(target->first,
                 OnMessage(target->second, {"10.0.0.1", in_flight_message.from},
                           in_flight_message.out.message, this->now));
    }
  }

  void Run(double seconds) {
    const TimePoint end =
        this->now + Milliseconds{static_cast<int>(seconds * 1000)};
    while (this->now < end) {
      for (auto& [port, table] : this->tables)
        this->Send(port, OnTick(table, this->now));
      this->Deliver();
      this->FetchVersions();
      this->now += kStep;
    }
  }

  /// Sets each daemon to the newest version among its members.
  void FetchVersions() {
    for (auto& [port, table] : this->tables) {
      std::int64_t newest = 0;
      for (const auto& [id, record] : table.members)
        newest = std::max(newest, record.member.version);
      this->Send(port, ChangeVersion(table, newest, "digest"));
    }
  }

  /// Counts the member records in `state` over all tables.
  std::size_t CountRecordsInState(MemberState state) const {
    std::size_t count = 0;
    for (const auto& [port, table] : this->tables) {
      for (const auto& [id, record] : table.members)
        count += record.member.state == state ? 1 : 0;
    }
    return count;
  }

  bool AllMembersAlive() const {
    const std::size_t size = this->tables.size();
    return this->CountRecordsInState(MemberState::kAlive) == size * (size - 1);
  }

  struct InFlightMessage {
    TimePoint at;
    int from;
    Outgoing out;
  };
  std::map<int, MemberTable> tables;  ///< By port.
  std::queue<InFlightMessage> in_flight;
  std::mt19937_64 random;
  TimePoint now{std::chrono::hours{1}};
  double loss = 0;
  bool split = false;
  int instances = 0;
  std::size_t sent = 0;
};

}  // namespace

TEST_GROUP(Membership){};

// Guards against members that do not discover each other, undetected failures,
// and live members that are declared dead because of packet loss.
TEST(Membership, DetectsJoinsAndFailuresUnderLoss) {
  Network network(40);
  network.loss = 0.05;
  network.Run(20);
  // With loss, some live member is suspect about 1/25 of the time, so suspects
  // count as alive.
  CHECK_EQUAL(1560U, network.CountRecordsInState(MemberState::kAlive) +
                         network.CountRecordsInState(MemberState::kSuspect));
  CHECK_EQUAL(0U, network.CountRecordsInState(MemberState::kDead));
  network.loss = 0;
  network.Run(10);
  CHECK(network.AllMembersAlive());
  network.loss = 0.05;
  network.tables.erase(1017);
  network.Run(60);
  CHECK_EQUAL(39U, network.CountRecordsInState(MemberState::kDead));
  network.loss = 0;
  network.Run(10);
  // Each of the 39 members has 38 others.
  CHECK_EQUAL(1482U, network.CountRecordsInState(MemberState::kAlive));
}

// Guards against a restarted daemon that the others still consider dead because
// its incarnation is reset.
TEST(Membership, AcceptsRestartedDaemon) {
  Network network(10);
  network.Run(10);
  network.tables.erase(1004);
  network.Run(30);
  network.Add("d4", 4);
  network.Run(10);
  CHECK(network.AllMembersAlive());
}

// Guards against regions that do not find each other after a partition of one
// hour.
TEST(Membership, RecoversFromNetworkPartition) {
  Network network(10);
  network.Run(10);
  network.split = true;
  network.Run(3600);
  CHECK_EQUAL(50U, network.CountRecordsInState(MemberState::kDead));
  network.split = false;
  network.Run(120);
  CHECK(network.AllMembersAlive());
}

// Guards against tables that keep re-adding dead members from each other: with
// 110 VMs replaced a day, no space would be left for live members within a
// month.
TEST(Membership, ExpiresDeadMembers) {
  Network network(10);
  network.Run(10);
  network.tables.erase(1004);
  network.Run(7000);
  CHECK_EQUAL(9U, network.CountRecordsInState(MemberState::kDead));
  network.Add("d11", 11);
  network.Run(1000);
  CHECK_EQUAL(0U, network.CountRecordsInState(MemberState::kDead));
  CHECK(network.AllMembersAlive());
}

// Guards against traffic per member that grows with the fleet.
TEST(Membership, KeepsTrafficPerMemberConstant) {
  std::map<int, double> rates;
  for (const int size : {20, 80}) {
    Network network(size);
    network.Run(60);
    network.sent = 0;
    network.Run(60);
    rates[size] = static_cast<double>(network.sent) / size / 60;
  }
  CHECK(rates[20] < 4);
  // The margin is for synchronisation answers, which take more datagrams in a
  // larger fleet, up to the limit of members per answer.
  CHECK(rates[80] < rates[20] + 1);
}

// Guards against slow dissemination of versions, leaving endpoints and leaving
// members: a configuration must be in force within 9 s.
TEST(Membership, DisseminatesVersionsAndLeavingInSeconds) {
  Network network(60);
  network.Run(20);
  network.Send(1000, ChangeVersion(network.tables[1000], 5, "digest"));
  network.Send(1001,
               AddLeavingEndpoint(network.tables[1001], "e7", network.now));
  network.Send(1002, AnnounceLeaving(network.tables[1002]));
  network.Run(6);
  std::size_t versions = 0;
  std::size_t endpoints = 0;
  for (const auto& [port, table] : network.tables) {
    endpoints += table.leaving_endpoints.count("e7");
    versions += table.self.version == 5 ? 1 : 0;
  }
  CHECK_EQUAL(60U, versions);
  CHECK_EQUAL(60U, endpoints);
  CHECK_EQUAL(59U, network.CountRecordsInState(MemberState::kLeaving));
  network.Run(70);
  for (const auto& [port, table] : network.tables)
    CHECK_EQUAL(0U, table.leaving_endpoints.count("e7"));
}

// Guards against an endpoint that stays out of use because members still
// forward leaving notices from before it was live again.
TEST(Membership, IgnoresLeavingNoticeOlderThanReturn) {
  MemberTable table;
  const TimePoint start = Clock::now();
  const TimePoint returned = start + Milliseconds{5000};
  AddLeavingEndpoint(table, "e1", start);
  RemoveLeavingEndpoint(table, "e1", returned);
  CHECK(table.leaving_endpoints.empty());
  const TimePoint now = returned + Milliseconds{1000};
  CHECK_FALSE(
      ApplyLeaving(table, {"e1", start + kLeavingEndpointRetention}, now));
  CHECK(ApplyLeaving(table, {"e1", now + kLeavingEndpointRetention}, now));
  RemoveLeavingEndpoint(table, "e1", now);
  ExpireRecords(table, now + kLeavingEndpointRetention);
  CHECK(table.returned_endpoints.empty());
}

// Guards against oversized datagrams and unbounded tables.
TEST(Membership, KeepsMessagesSmall) {
  Network network(1);
  MemberTable& table = network.tables[1000];
  for (int i = 0; i < 5000; ++i) {
    Member member;
    member.id = "member-with-a-long-name-" + std::to_string(i);
    member.address = {"10.10.10.10", 7000};
    member.digest.assign(32, 'f');
    member.instance.assign(32, 'e');
    ApplyUpdate(table, member, network.now);
  }
  CHECK_EQUAL(kMaxMembers, table.members.size());
  const Message message = MakeMessage(table, MessageKind::kPing, 1);
  CHECK(!message.updates.empty());
  CHECK(message.updates.size() <= 7);
  std::size_t listed = 0;
  for (const Message& part : MakeFullTableMessages(table, 1)) {
    CHECK(part.updates.size() <= 7);
    listed += part.updates.size();
  }
  CHECK_EQUAL(kMaxMembers, listed);
}

}  // namespace coltsfootvane::membership
