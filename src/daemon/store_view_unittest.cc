#include "daemon/store_view.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/codec.h"
#include "support/store_view_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using store::Changes;
using store::Listing;
using testing::kLimit;
using testing::kPeer;
using testing::MakeObject;
using testing::PeerServer;
using testing::SnapshotResponse;
using testing::StoreViewFixture;

namespace {

constexpr std::int64_t kLeftProcess = 7;
constexpr store::Place kLeftAt(30, 2);

/// Returns a response that "a" and "b" have left.
std::string DeparturesResponse() {
  fleet::gen::Departures told;
  for (const char* const id : {"a", "b"}) {
    fleet::gen::Departure one;
    one.id = id;
    one.incarnation = kLeftProcess;
    one.removed = one.id == "a";
    one.revision = kLeftAt.revision;
    one.__set_era(kLeftAt.era);
    one.remaining_ms = 60'000;
    told.left.push_back(one);
  }
  return testing::MakeResponse(fleet::Encode(told));
}

/// The other daemon is heard, and asked.
void AwaitDepartures(StoreViewFixture* fixture) {
  fixture->Report(kPeer, 1);
  const TimePoint start = BootNow();
  while (!fixture->view.KnowsWhoHasLeft() && BootNow() < start + kLimit) {
    fixture->view.Tick();
    fixture->io.run_for(Milliseconds(20));
  }
  CHECK(fixture->view.KnowsWhoHasLeft());
}

/// Returns how many entries were counted as skipped.
int CountSkipped(StoreViewFixture* fixture) {
  double count = 0;
  for (const auto& family : fixture->gateway.registry.Collect()) {
    if (family.name == "coltsfootvane_store_entries_skipped_total")
      count += family.metric.at(0).counter.value;
  }
  return static_cast<int>(count);
}

}  // namespace

TEST_GROUP(StoreView){};

// Guards against a batch that leads others past a departure without containing
// it: a later page of the reader's listing has shown it already, so that the
// watch that follows changes nothing in the reader. The others would count as
// complete without it.
TEST(StoreView, TellsWhatALaterPageOfAListingHasShown) {
  struct Row {
    const char* name;
    bool deleted;
  };
  const Row rows[] = {{"deleted", true}, {"draining", false}};
  for (const Row& row : rows) {
    StoreViewFixture fixture;
    fixture.lists[0](
        Listing{{MakeObject("a", 5), MakeObject("b", 6)}, store::Place(10)});
    fixture.view.Tick();
    fixture.lists.clear();
    fixture.view.Refresh();
    CHECK_TEXT(!fixture.lists.empty(), row.name);
    // The revision is that of the first page, "b" is on the second.
    Listing listing{{MakeObject("a", 5)}, store::Place(20)};
    if (!row.deleted)
      listing.objects.push_back(MakeObject("b", 21, true));
    fixture.lists[0](listing);
    while (fixture.watches.empty())
      fixture.io.run_one_for(kLimit);
    Changes changes;
    changes.place = store::Place(21);
    changes.changes = {{MakeObject("b", 21, true), row.deleted}};
    fixture.watches.back()(changes);
    // To a daemon whose own listing had the same revision, but not that entry.
    const auto batches = fixture.BatchesSince(20);
    LONGS_EQUAL_TEXT(1, batches.size(), row.name);
    LONGS_EQUAL_TEXT(21, batches[0].to_revision, row.name);
    LONGS_EQUAL_TEXT(1, batches[0].changes.size(), row.name);
    CHECK_EQUAL_TEXT(row.deleted, batches[0].changes[0].deleted, row.name);
  }
}

// Guards against a daemon that starts and serves nothing while a later page of
// each listing fails (RECOVER, issue 58), and against a part of a listing that
// counts as the whole.
TEST(StoreView, UsesPartsOfAFirstListingOnly) {
  StoreViewFixture fixture;
  CHECK_FALSE(fixture.view.KnowsEndpoints());
  fixture.partial_lists[0](Listing{{MakeObject("a", 5)}, store::Place(10)});
  fixture.lists[0](Error{ErrorCode::kRefused, "test"});
  CHECK(fixture.view.KnowsEndpoints());
  LONGS_EQUAL(1, fixture.gateway.endpoints.endpoints.count("a"));
  LONGS_EQUAL(0, fixture.BatchesSince(4).size());
  while (fixture.lists.size() < 2)
    fixture.io.run_one_for(kLimit);
  fixture.lists[1](Listing{{MakeObject("b", 6)}, store::Place(20)});
  LONGS_EQUAL(0, fixture.gateway.endpoints.endpoints.count("a"));
  LONGS_EQUAL(1, fixture.gateway.endpoints.endpoints.count("b"));
  // A later listing that fails changes nothing.
  fixture.partial_lists[0](Listing{{MakeObject("c", 7)}, store::Place(30)});
  LONGS_EQUAL(0, fixture.gateway.endpoints.endpoints.count("c"));
}

// Guards against a log line and a count for each heartbeat of another writer,
// whose entry names no endpoint.
TEST(StoreView, SkippedEntriesAreCountedOnce) {
  StoreViewFixture fixture;
  std::int64_t revision = 10;
  const auto odd = [&revision] {
    store::Object object = MakeObject("a&x", ++revision);
    object.fault = "test";
    return object;
  };
  const auto change = [&](const store::Object& object, bool deleted) {
    while (fixture.watches.empty())
      fixture.io.run_one_for(kLimit);
    Changes changes;
    changes.place = object.place;
    changes.changes = {{object, deleted}};
    std::exchange(fixture.watches, {}).back()(changes);
  };
  fixture.partial_lists[0](Listing{{odd()}, store::Place(revision)});
  fixture.lists[0](Listing{{odd()}, store::Place(revision)});
  for (int heartbeat = 0; heartbeat < 5; ++heartbeat)
    change(odd(), false);
  LONGS_EQUAL(1, CountSkipped(&fixture));
  change(odd(), true);
  change(odd(), false);
  LONGS_EQUAL(2, CountSkipped(&fixture));
  change(MakeObject("a&x", ++revision), false);
  change(odd(), false);
  LONGS_EQUAL(3, CountSkipped(&fixture));
}

// Guards against an endpoint with an odd name that a daemon of an older version
// tells, and against news that are left out without a word.
TEST(StoreView, OddNamesInNewsNameNoEndpoint) {
  StoreViewFixture fixture;
  fixture.lists[0](Listing{{}, store::Place(10)});
  for (std::int64_t revision = 11; revision < 14; ++revision) {
    fleet::gen::StoreBatch batch;
    for (const char* const id : {"a", "a x"}) {
      fleet::gen::EndpointNews change;
      change.id = id;
      change.revision = revision;
      change.__set_fields(fleet::ToWire(
          testing::ReadEndpoint("a", nlohmann::json::object()).value()));
      batch.changes.push_back(change);
    }
    fleet::SetRange({store::Place(revision - 1), store::Place(revision - 1),
                     store::Place(revision)},
                    &batch);
    fleet::gen::Datagram datagram;
    datagram.__set_store_news({});
    datagram.store_news.batches = {batch};
    fixture.peer.send_to(boost::asio::buffer(fleet::Encode(datagram)),
                         fixture.Own());
    fixture.view.Tick();
    fixture.io.run_for(Milliseconds(50));
  }
  LONGS_EQUAL(13, fixture.view.Endpoints().At().revision);
  LONGS_EQUAL(1, fixture.gateway.endpoints.endpoints.count("a"));
  LONGS_EQUAL(0, fixture.gateway.endpoints.endpoints.count("a x"));
  LONGS_EQUAL(1, CountSkipped(&fixture));
}

// Guards against requests at an endpoint that left before a drill, beyond the
// time allowed: the time in which endpoints may register again began with the
// daemon's own listing, up to a second after the return of the store (DRAIN,
// DrillSoak).
TEST(StoreView, TheTimeToRegisterAgainBeginsWithTheEra) {
  constexpr Milliseconds kListedAfter{900};
  constexpr Milliseconds kKnownAfter{2600};
  StoreViewFixture fixture;
  store::LearnEra(1, fixture.store.eras.get());
  fixture.lists[0](
      Listing{{MakeObject("a", 5), MakeObject("b", 6)}, store::Place(10, 1)});
  fixture.view.Tick();
  const TimePoint learned = BootNow();
  store::LearnEra(2, fixture.store.eras.get());
  fixture.io.run_for(kListedAfter);
  for (const Milliseconds after : {kListedAfter, kKnownAfter}) {
    fixture.lists.clear();
    while (BootNow() < learned + after)
      fixture.io.run_one_for(Milliseconds(20));
    if (after == kListedAfter)
      fixture.view.Refresh();
    fixture.view.Tick();
    CHECK_TEXT(!fixture.lists.empty(), "reads again by itself");
    store::Object a = MakeObject("a", 5);
    a.place.era = 2;
    fixture.lists.back()(Listing{{a}, store::Place(20, 2)});
    fixture.view.Tick();
    const bool has_b = fixture.gateway.endpoints.endpoints.count("b") > 0;
    CHECK_EQUAL(after == kListedAfter, has_b);
  }
  CHECK(fixture.gateway.endpoints.endpoints.count("a") > 0);
}

// Guards against requests at endpoints that had left before the daemon started,
// as an older copy of the store calls them ready (DrillSoak).
TEST(StoreView, ADaemonThatStartsLearnsWhoHasLeft) {
  struct Row {
    const char* name;
    store::Place listed;  ///< The first listing, before the answer.
    std::int64_t listed_process;
    std::int64_t copy_era;  ///< Of a later listing; 0 if there is none.
    std::int64_t copy_process;
    bool uses_a;
    bool uses_b;
  };
  const Row rows[] = {
      {"comes back in the copy", store::Place(40, 2), 0, 3, kLeftProcess, false,
       false},
      {"a new process in the copy", store::Place(40, 2), 0, 3, kLeftProcess + 1,
       true, true},
      {"has started in the copy", store::Place(20, 3), kLeftProcess, 0, 0,
       false, false},
      {"has come back since", store::Place(40, 2), kLeftProcess, 0, 0, true,
       true},
      {"is leaving just now", store::Place(20, 2), kLeftProcess, 0, 0, true,
       true},
  };
  for (const Row& row : rows) {
    StoreViewFixture fixture;
    const PeerServer other(&fixture.io, kPeer, fixture.port,
                           DeparturesResponse());
    const auto list = [&](const store::Place& place, std::int64_t process) {
      Listing listing{{}, place};
      for (const char* const id : {"a", "b"}) {
        store::Object object = MakeObject(id, 5);
        object.place.era = place.era;
        object.spec["born"] = process;
        if (process != 0)
          listing.objects.push_back(object);
      }
      fixture.lists.back()(listing);
    };
    store::LearnEra(row.listed.era, fixture.store.eras.get());
    list(row.listed, row.listed_process);
    AwaitDepartures(&fixture);
    if (row.copy_era != 0) {
      store::LearnEra(row.copy_era, fixture.store.eras.get());
      fixture.lists.clear();
      fixture.view.Refresh();
      CHECK_TEXT(!fixture.lists.empty(), row.name);
      list(store::Place(20, row.copy_era), row.copy_process);
    }
    const auto& endpoints = fixture.gateway.endpoints.endpoints;
    const auto uses = [&endpoints](const char* id) {
      return endpoints.count(id) > 0 && !endpoints.at(id)->entry.draining;
    };
    CHECK_EQUAL_TEXT(row.uses_a, uses("a"), row.name);
    CHECK_EQUAL_TEXT(row.uses_b, uses("b"), row.name);
  }
}

// Guards against a daemon that has just started and tells the next one that
// nobody has left.
TEST(StoreView, OnlyWhoKnowsTellsWhoHasLeft) {
  constexpr char kPath[] = "/store/departures";
  StoreViewFixture fixture;
  fixture.lists[0](Listing{{}, store::Place(40, 2)});
  LONGS_EQUAL(503, fixture.view.Answer(kPath).status);
  const PeerServer other(&fixture.io, kPeer, fixture.port,
                         DeparturesResponse());
  AwaitDepartures(&fixture);
  const gateway::HealthAnswer answer = fixture.view.Answer(kPath);
  LONGS_EQUAL(200, answer.status);
  const auto told = fleet::DecodeDepartures(answer.body);
  CHECK(static_cast<bool>(told));
  LONGS_EQUAL(2, told.value().left.size());
  const fleet::gen::Departure& a = told.value().left[0];
  STRCMP_EQUAL("a", a.id.c_str());
  LONGS_EQUAL(kLeftProcess, a.incarnation);
  CHECK(a.removed);
  LONGS_EQUAL(kLeftAt.revision, a.revision);
  LONGS_EQUAL(kLeftAt.era, a.era);
  CHECK(a.remaining_ms > 0);
}

// Guards against standbys that read the store beside a reader that is back, as
// after each outage (DrillCalls).
TEST(StoreView, AStandbyReadsUntilAReaderBeforeItDoes) {
  constexpr Milliseconds kUntilItReads{1550};
  constexpr Milliseconds kOneWatch{10};
  constexpr Milliseconds kSinceItsRead{200};
  constexpr Milliseconds kReportOnItsWay{40};
  constexpr Milliseconds kSeveralWatches{400};
  const std::vector<std::uint32_t> readers =
      StoreViewFixture().fleet.Readers(3);
  const auto text = [](std::uint32_t address) {
    return boost::asio::ip::address_v4(address).to_string();
  };
  // The socket of the other daemon has one of the addresses.
  const std::size_t rank = text(readers[1]) == kPeer ? 2 : 1;
  struct Row {
    const char* name;
    std::string from;
    bool reachable;
    int age_ms;
    bool yields;
  };
  const Row rows[] = {
      {"reader", text(readers[0]), true, 0, true},
      {"reader without the store", text(readers[0]), false, 0, false},
      {"the own read comes back", text(readers[0]), true, 150, false},
      {"follower", "127.0.0.50", true, 0, false},
  };
  for (const Row& row : rows) {
    StoreViewFixture fixture(text(readers[rank]));
    const Listing listing{{MakeObject("a", 5)}, store::Place(10)};
    fixture.lists[0](listing);
    fixture.config_lists[0](Listing{{}, store::Place(10)});
    CHECK_TEXT(fixture.AnswerWatches(kUntilItReads) > 0, row.name);
    while (fixture.AnswerWatches(kOneWatch) == 0)
      continue;
    fixture.io.run_for(kSinceItsRead);
    fleet::gen::Report report;
    report.store_reachable = row.reachable;
    report.endpoints_revision = 10;
    report.config_revision = 10;
    report.__set_max_departure_revision(10);
    report.__set_confirmed_age_ms(row.age_ms);
    fixture.Send(row.from, report);
    fixture.io.run_for(kReportOnItsWay);
    fixture.AnswerWatches(kReportOnItsWay);
    const bool goes_on = fixture.AnswerWatches(kSeveralWatches) > 0;
    CHECK_EQUAL_TEXT(!row.yields, goes_on, row.name);
  }
}

// Guards against a departure that stays unknown for as long as a connection to
// one other daemon takes to time out, while the next daemon would answer.
TEST(StoreView, RecoversBesideASilentDaemon) {
  constexpr std::int64_t kDeparture = 30;
  constexpr Milliseconds kMost{1100};
  StoreViewFixture fixture;
  fixture.lists[0](
      Listing{{MakeObject("a", 5), MakeObject("b", 6)}, store::Place(10)});
  fixture.view.Tick();
  const PeerServer silent(&fixture.io, kPeer, fixture.port, "");
  const PeerServer other(&fixture.io, "127.0.0.3", fixture.port,
                         SnapshotResponse(kDeparture));
  // Nobody answers requests for single changes. The silent one is the only one
  // whose report shows the departure when the first fetch begins.
  const TimePoint start = BootNow();
  fixture.Report(kPeer, kDeparture);
  while (silent.held.empty() && BootNow() < start + kLimit)
    fixture.io.run_one_for(kLimit);
  CHECK(!silent.held.empty());
  const TimePoint silent_at = BootNow();
  while (fixture.view.Endpoints().At().revision < kDeparture &&
         BootNow() < start + kLimit) {
    fixture.Report("127.0.0.3", kDeparture);
    fixture.io.run_for(Milliseconds(20));
  }
  CHECK(fixture.view.Endpoints().At().revision >= kDeparture);
  CHECK(fixture.gateway.endpoints.endpoints.count("b") == 0);
  CHECK(BootNow() - silent_at < kMost);
  // Ends the call in progress, which owns its connection until then.
  for (const std::shared_ptr<testing::tcp::socket>& socket : silent.held)
    socket->close();
  fixture.io.run_for(Milliseconds(20));
}
