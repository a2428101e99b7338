#include "fleet/member_table.h"

#include <random>

#include "fleet/codec.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using fleet::MemberTable;

namespace {

constexpr TimePoint kNow{Milliseconds(5'000'000)};
constexpr Milliseconds kInterval{250};

fleet::gen::Report Report(std::int64_t incarnation, std::int64_t sequence) {
  fleet::gen::Report report;
  report.incarnation = incarnation;
  report.sequence = sequence;
  report.store_reachable = true;
  return report;
}

}  // namespace

TEST_GROUP(MemberTable){};

TEST(MemberTable, OldReportsOfAProcessAreIgnored) {
  struct Row {
    const char* name;
    std::int64_t incarnation;
    std::int64_t sequence;
    bool applied;
  };
  const Row rows[] = {{"next", 1, 6, true},
                      {"repeated", 1, 5, false},
                      {"out of order", 1, 4, false},
                      {"of a new process", 2, 1, true}};
  for (const Row& row : rows) {
    MemberTable table;
    CHECK(ApplyReport(&table, 7, Report(1, 5), kNow, kInterval));
    CHECK_EQUAL_TEXT(
        row.applied,
        ApplyReport(&table, 7, Report(row.incarnation, row.sequence), kNow,
                    kInterval),
        row.name);
  }
}

TEST(MemberTable, OnlyAHolderThatWasHeardCanBeSilent) {
  struct Row {
    const char* name;
    std::int64_t reported_epoch;
    Milliseconds since{0};
    bool silent;
  };
  const Row rows[] = {
      {"live", 3, Milliseconds(100), false},
      {"silent", 3, fleet::kMemberTimeout, true},
      {"reported another epoch", 2, fleet::kMemberTimeout, false},
      {"reported none", 0, fleet::kMemberTimeout, false},
  };
  for (const Row& row : rows) {
    MemberTable table;
    fleet::gen::Report report = Report(1, 1);
    report.lease_epoch = row.reported_epoch;
    ApplyReport(&table, 1, report, kNow, kInterval);
    table.members.try_emplace(2);  // Known, has never reported.
    CHECK_EQUAL_TEXT(row.silent, IsHolderSilent(table, 3, kNow + row.since),
                     row.name);
    CHECK_FALSE(IsHolderSilent(table, 0, kNow + row.since));
  }
}

/// Guards against an undercount in a large fleet, whose daemons report less
/// often.
TEST(MemberTable, MembersCountUntilSeveralReportsAreMissed) {
  struct Row {
    const char* name;
    Milliseconds interval;
    Milliseconds since;
    int live;
  };
  const Row rows[] = {
      {"small fleet", Milliseconds(250), Milliseconds(2499), 1},
      {"small fleet, silent", Milliseconds(250), Milliseconds(2500), 0},
      {"large fleet", Milliseconds(3200), Milliseconds(15'999), 1},
      {"large fleet, silent", Milliseconds(3200), Milliseconds(16'000), 0},
  };
  for (const Row& row : rows) {
    MemberTable table;
    ApplyReport(&table, 1, Report(1, 1), kNow, row.interval);
    LONGS_EQUAL_TEXT(row.live, CountLive(table, kNow + row.since), row.name);
  }
}

TEST(MemberTable, SilentAndLeavingMembersDoNotCount) {
  MemberTable table;
  ApplyReport(&table, 1, Report(1, 1), kNow, kInterval);
  fleet::gen::Report leaving = Report(1, 1);
  leaving.leaving = true;
  ApplyReport(&table, 2, leaving, kNow, kInterval);
  table.members.try_emplace(3);  // Known, has never reported.
  LONGS_EQUAL(1, CountLive(table, kNow));
  LONGS_EQUAL(0, CountLive(table, kNow + fleet::kMemberTimeout));
  RemoveSilent(&table, kNow + fleet::kMemberRetention + kInterval);
  LONGS_EQUAL(1, table.members.size());
}

/// The first daemons that reach the store read its latest state for the others.
/// When they fall silent or lose the store, the next ones replace them.
TEST(MemberTable, FirstDaemonsThatReachTheStoreReadItsLatestState) {
  MemberTable table;
  for (std::uint32_t address = 1; address <= 5; ++address)
    ApplyReport(&table, address, Report(1, 1), kNow, kInterval);
  CHECK(ReadsLatestState(table, 3, kInterval, kNow));
  CHECK_FALSE(ReadsLatestState(table, 4, kInterval, kNow));
  fleet::gen::Report without_store = Report(1, 2);
  without_store.store_reachable = false;
  ApplyReport(&table, 1, without_store, kNow, kInterval);
  CHECK(ReadsLatestState(table, 4, kInterval, kNow));
  CHECK_FALSE(ReadsLatestState(table, 5, kInterval, kNow));
  CHECK(ReadsLatestState(table, 5, kInterval, kNow + kInterval * 6));
  CHECK(ReadsLatestState(MemberTable(), 9, kInterval, kNow));
}

TEST(MemberTable, WorkIsAddedUpOverLiveMembers) {
  MemberTable table;
  auto endpoint = std::make_shared<gateway::Endpoint>();
  endpoint->key = gateway::KeyOf("e1");
  fleet::gen::EndpointWork work;
  work.endpoint = static_cast<std::int32_t>(endpoint->key);
  work.running = 3;
  work.prompt_tokens = 500;
  work.bad = 1;
  for (std::uint32_t address = 1; address <= 2; ++address) {
    fleet::gen::Report report = Report(1, 1);
    report.work = {work};
    ApplyReport(&table, address, report, kNow + kInterval * address, kInterval);
  }
  const std::vector<gateway::EndpointPtr> endpoints = {endpoint};
  CopyPeerWork(SumWork(table, kNow + kInterval * 2), endpoints);
  LONGS_EQUAL(6, endpoint->peers.running);
  LONGS_EQUAL(1000, endpoint->peers.prompt_tokens);
  LONGS_EQUAL(2, endpoint->peer_failures);
  CopyPeerWork(SumWork(table, kNow + kInterval + fleet::kMemberTimeout),
               endpoints);
  LONGS_EQUAL(3, endpoint->peers.running);
}

/// The sums that are kept up with each report are those of a whole addition,
/// whatever reports are lost or late.
TEST(MemberTable, ChangesOfWorkGiveTheSums) {
  std::mt19937 random(20261204);
  MemberTable table;
  fleet::PeerWorkByEndpoint sums;
  std::vector<gateway::EndpointPtr> kept;
  std::vector<gateway::EndpointPtr> summed;
  for (std::uint32_t key = 1; key <= 5; ++key) {
    for (auto* endpoints : {&kept, &summed}) {
      endpoints->push_back(std::make_shared<gateway::Endpoint>());
      endpoints->back()->key = key;
    }
  }
  for (int round = 1; round < 2000; ++round) {
    fleet::gen::Report report =
        Report(1 + static_cast<int>(random() % 50 == 0), round);
    for (int i = 0; i < 3; ++i) {
      fleet::gen::EndpointWork work;
      work.endpoint = static_cast<std::int32_t>(1 + random() % 5);
      work.running = static_cast<std::int32_t>(random() % 3);
      work.__set_yielding(static_cast<std::int16_t>(random() % 2));
      report.work.push_back(work);
    }
    report.__set_lists_all_work(random() % 10 == 0);
    std::vector<fleet::WorkChange> changes;
    ApplyReport(&table, 1 + random() % 4, report, kNow, kInterval, &changes);
    ApplyWorkChanges(changes, &sums);
    CopyPeerWork(sums, kept);
    CopyPeerWork(SumWork(table, kNow), summed);
    for (std::size_t i = 0; i < kept.size(); ++i) {
      LONGS_EQUAL(summed[i]->peers.running, kept[i]->peers.running);
      LONGS_EQUAL(summed[i]->peers.yielding, kept[i]->peers.yielding);
    }
  }
}

/// Guards against sums below zero for an endpoint that is listed after peers
/// have reported their work there, as in a daemon that has just been started.
TEST(MemberTable, EndpointsListedAfterReportsHaveTheirSums) {
  MemberTable table;
  fleet::gen::EndpointWork work;
  work.endpoint = 7;
  work.running = 3;
  work.__set_bad(3);
  fleet::gen::Report before = Report(1, 1);
  before.work = {work};
  std::vector<fleet::WorkChange> changes;
  ApplyReport(&table, 1, before, kNow, kInterval, &changes);
  fleet::PeerWorkByEndpoint sums;
  ApplyWorkChanges(changes, &sums);
  CopyPeerWork(sums, {});
  std::vector<gateway::EndpointPtr> listed = {
      std::make_shared<gateway::Endpoint>()};
  listed[0]->key = 7;
  work.running = 1;
  work.__set_bad(2);
  fleet::gen::Report after = Report(1, 2);
  after.work = {work};
  changes.clear();
  ApplyReport(&table, 1, after, kNow, kInterval, &changes);
  ApplyWorkChanges(changes, &sums);
  CopyPeerWork(sums, listed);
  LONGS_EQUAL(1, listed[0]->peers.running);
  LONGS_EQUAL(2, listed[0]->peer_failures);
}

TEST(MemberTable, HolderIsTheLiveMemberWithTheHighestEpoch) {
  MemberTable table;
  fleet::gen::Report old_holder = Report(1, 1);
  old_holder.lease_epoch = 4;
  fleet::gen::Report new_holder = Report(1, 1);
  new_holder.lease_epoch = 5;
  ApplyReport(&table, 1, old_holder, kNow + kInterval, kInterval);
  ApplyReport(&table, 2, new_holder, kNow, kInterval);
  LONGS_EQUAL(2, FindHolder(table, kNow));
  LONGS_EQUAL(1, FindHolder(table, kNow + fleet::kMemberTimeout));
}

/// Malformed bytes from the network must not crash the process.
TEST(MemberTable, MalformedDatagramsAreRejected) {
  fleet::gen::Datagram datagram;
  datagram.__set_report(Report(3, 9));
  const std::string bytes = fleet::Encode(datagram);
  const auto decoded = fleet::Decode(bytes);
  CHECK(decoded.has_value());
  LONGS_EQUAL(9, decoded.value().report.sequence);
  for (std::size_t length = 0; length < bytes.size(); ++length)
    CHECK_FALSE(
        fleet::Decode(std::string_view(bytes).substr(0, length)).has_value());
  CHECK_FALSE(fleet::Decode(std::string(64, '\x7f')).has_value());
}
