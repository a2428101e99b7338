#include "fleet/store_batches.h"

#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/codec.h"
#include "fleet/spread_tree.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using fleet::Append;
using fleet::BatchesSince;
using fleet::BatchFit;
using fleet::Encode;
using fleet::Fit;
using fleet::IsNews;
using fleet::OrderListed;
using fleet::SplitBatch;
using fleet::gen::EndpointNews;
using fleet::gen::StoreBatch;
using store::Place;

namespace {

EndpointNews Upsert(const std::string& id,
                    std::int64_t revision,
                    bool draining = false,
                    std::size_t padding = 0) {
  EndpointNews change;
  change.id = id;
  change.revision = revision;
  fleet::gen::EndpointFields fields;
  fields.host = "10.0.0.1";
  fields.port = 80;
  fields.slots = 4;
  fields.draining = draining;
  if (padding > 0)
    fields.cached_on_disk.emplace_back(padding, 'x');
  change.__set_fields(fields);
  return change;
}

EndpointNews Deletion(const std::string& id) {
  EndpointNews change;
  change.id = id;
  change.deleted = true;
  return change;
}

StoreBatch MakeBatch(std::int64_t from, std::int64_t base, std::int64_t to) {
  StoreBatch batch;
  batch.from_revision = from;
  batch.base_until = base;
  batch.to_revision = to;
  return batch;
}

}  // namespace

TEST_GROUP(StoreBatches){};

// Guards against a view that is brought forward though changes are missing.
TEST(StoreBatches, ApplyOnlyToViewsThatLackNothingBefore) {
  struct Row {
    const char* name;
    StoreBatch batch;
    std::int64_t revision;
    BatchFit fit;
  };
  StoreBatch left_out = MakeBatch(10, 20, 20);
  left_out.changes.resize(1);
  left_out.changes[0].__set_left_out(true);
  const Row rows[] = {
      {"next", MakeBatch(10, 20, 20), 10, BatchFit::kApplies},
      {"in part", MakeBatch(10, 20, 20), 15, BatchFit::kApplies},
      {"known", MakeBatch(10, 20, 20), 20, BatchFit::kKnown},
      {"gap", MakeBatch(10, 20, 20), 9, BatchFit::kGap},
      {"listed, from its base", MakeBatch(10, 12, 20), 12, BatchFit::kApplies},
      {"listed, from later", MakeBatch(10, 12, 20), 13, BatchFit::kGap},
      {"with an entry left out", left_out, 10, BatchFit::kGap},
  };
  for (const Row& row : rows)
    CHECK_TEXT(row.fit == Fit(row.batch, Place(row.revision)), row.name);
}

// Guards against a view that misses the change of the store's history, and
// against one that applies changes to another history.
TEST(StoreBatches, LeadFromOneEraToTheNext) {
  struct Row {
    const char* name;
    Place known;
    BatchFit fit;
  };
  const Row rows[] = {{"at the base", Place(280, 1), BatchFit::kApplies},
                      {"within the range", Place(275, 1), BatchFit::kApplies},
                      {"before", Place(260, 1), BatchFit::kGap},
                      {"later in the old era", Place(285, 1), BatchFit::kGap},
                      {"new era, before", Place(240, 2), BatchFit::kGap},
                      {"new era, reached", Place(250, 2), BatchFit::kKnown},
                      {"an era later", Place(110, 3), BatchFit::kKnown}};
  StoreBatch batch;
  fleet::SetRange({Place(270, 1), Place(280, 1), Place(250, 2)}, &batch);
  batch.changes = {Upsert("a", 240)};
  fleet::BatchLog log;
  log.covered_to = Place(270, 1);
  Append(batch, &log);
  for (const Row& row : rows) {
    CHECK_TEXT(row.fit == Fit(batch, row.known), row.name);
    CHECK_EQUAL_TEXT(row.fit == BatchFit::kApplies,
                     BatchesSince(log, row.known).has_value() &&
                         !BatchesSince(log, row.known).value().empty(),
                     row.name);
  }
  CHECK(IsNews(batch, 0, Place(280, 1)));
}

// Guards against a batch that removes an entry which has returned since, since
// only a part of the batch is news to the receiver.
TEST(StoreBatches, DoNotRemoveWhatHasReturned) {
  StoreBatch batch = MakeBatch(10, 20, 20);
  batch.changes = {Deletion("a"), Upsert("a", 12), Upsert("b", 16)};
  CHECK(IsNews(batch, 0, Place(10)) && IsNews(batch, 1, Place(10)));
  CHECK(!IsNews(batch, 0, Place(14)) && !IsNews(batch, 1, Place(14)) &&
        IsNews(batch, 2, Place(14)));
  batch.changes = {Upsert("a", 12), Deletion("a")};
  CHECK(!IsNews(batch, 0, Place(14)) && IsNews(batch, 1, Place(14)));
}

// Guards against an answer that leaves out changes that the log has lost.
TEST(StoreBatches, LogAnswersOnlyWhatItCovers) {
  fleet::BatchLog log;
  log.covered_to = Place(10);
  Append(MakeBatch(10, 20, 20), &log);
  Append(MakeBatch(20, 25, 30), &log);
  LONGS_EQUAL(2, BatchesSince(log, Place(12)).value().size());
  LONGS_EQUAL(1, BatchesSince(log, Place(20)).value().size());
  LONGS_EQUAL(0, BatchesSince(log, Place(30)).value().size());
  CHECK(!BatchesSince(log, Place(9)));
  CHECK(!BatchesSince(log, Place(26)));
  Append(MakeBatch(40, 50, 50), &log);
  CHECK(!BatchesSince(log, Place(30)));
  LONGS_EQUAL(50, log.covered_to.revision);
  for (int i = 50; i < 300; ++i)
    Append(MakeBatch(i, i + 1, i + 1), &log);
  CHECK(!BatchesSince(log, Place(60)));
  LONGS_EQUAL(10, BatchesSince(log, Place(290)).value().size());
}

// Guards against parts of which one is taken for the whole, and against
// datagrams that do not fit.
TEST(StoreBatches, PartsFollowOnEachOtherAndFit) {
  for (const bool listed : {false, true}) {
    StoreBatch batch = MakeBatch(10, listed ? 10 : 100, 100);
    batch.changes = {Upsert("old", 11, true), Deletion("gone")};
    for (int i = 20; i < 60; ++i)
      batch.changes.push_back(Upsert("e" + std::to_string(i), i, false, 150));
    batch.changes.push_back(Upsert("huge", 70, false, 3000));
    OrderListed(&batch.changes);
    const std::vector<StoreBatch> parts = SplitBatch(batch);
    CHECK(parts.size() > 5);
    std::map<std::string, std::int64_t> applied;
    std::int64_t revision = 10;
    std::size_t left_out = 0;
    for (const StoreBatch& part : parts) {
      for (const EndpointNews& change : part.changes)
        left_out += change.left_out ? 1 : 0;
      fleet::gen::Datagram datagram;
      fleet::gen::StoreNews news;
      news.batches = {part};
      datagram.__set_store_news(news);
      CHECK(Encode(datagram).size() < 1300);
      if (revision > 10)
        CHECK(Fit(part, Place(10)) == BatchFit::kGap);
      if (Fit(part, Place(revision)) != BatchFit::kApplies)
        continue;
      for (const EndpointNews& change : part.changes)
        applied[change.id] = change.revision;
      revision = part.to_revision;
    }
    LONGS_EQUAL(1, left_out);
    CHECK(applied.count("gone") == 1 && applied.size() >= 40);
  }
}

// Guards against a departure that a daemon never hears of (DRAIN): a listing
// is told in parts, of which the first has the departures. A view that holds
// the end of a part already, by another way, takes it for known.
TEST(StoreBatches, PartsOfAListingLeadNoViewPastADeparture) {
  constexpr std::int64_t kSince = 1150;
  constexpr std::int64_t kTo = 1192;
  constexpr std::int64_t kLeaves = 1182;
  constexpr std::size_t kPadding = 60;
  for (const int removals : {1, 20, 40, 200}) {
    StoreBatch listing = MakeBatch(kSince, kSince, kTo);
    for (int i = 0; i < removals; ++i)
      listing.changes.push_back(Deletion("removed" + std::to_string(i)));
    listing.changes.push_back(Upsert("draining", kLeaves, true));
    for (std::int64_t revision = kSince + 1; revision < kTo; ++revision) {
      if (revision != kLeaves)
        listing.changes.push_back(
            Upsert(std::to_string(revision), revision, false, kPadding));
    }
    OrderListed(&listing.changes);
    const std::vector<StoreBatch> parts = SplitBatch(listing);
    CHECK(parts.size() > 2);
    for (std::int64_t held = kSince; held < kTo; ++held) {
      Place reached(held);
      std::set<std::string> removed;
      bool knows_draining = held >= kLeaves;
      for (const StoreBatch& part : parts) {
        if (Fit(part, reached) != BatchFit::kApplies)
          continue;
        for (std::size_t i = 0; i < part.changes.size(); ++i) {
          const bool is_news = IsNews(part, i, reached);
          if (is_news && part.changes[i].deleted)
            removed.insert(part.changes[i].id);
          knows_draining |= is_news && part.changes[i].id == "draining";
        }
        reached = fleet::RangeOf(part).to;
      }
      const std::string name =
          std::to_string(removals) + " held " + std::to_string(held);
      // The others ask for what they lack.
      const bool is_complete =
          removed.size() == static_cast<std::size_t>(removals) &&
          knows_draining;
      CHECK_TEXT(reached == Place(held) || is_complete, name.c_str());
    }
  }
}

TEST(StoreBatches, EntriesStayTheSameOnTheWay) {
  gateway::EndpointEntry entry;
  entry.id = "e";
  entry.service = "s";
  entry.address = {boost::asio::ip::make_address("10.1.2.3"), 8080};
  entry.data_centre = "dc";
  entry.slots = 16;
  entry.draining = true;
  entry.incarnation = 7;
  entry.models = {{"m", {"a", "b"}}};
  entry.cached_in_memory = {"m"};
  entry.cached_on_disk = {"n"};
  const auto fields = fleet::ToWire(entry);
  const auto read = fleet::FromWire("e", fields);
  CHECK(read && fleet::ToWire(read.value()) == fields);
  CHECK(read.value().address == entry.address && read.value().id == "e");
  fleet::gen::EndpointFields bad = fields;
  bad.slots = 0;
  CHECK(!fleet::FromWire("e", bad));
  bad = fields;
  bad.host = "nowhere";
  CHECK(!fleet::FromWire("e", bad));
}

// Guards against a daemon of an older version that tells an entry of another
// writer as an endpoint.
TEST(StoreBatches, OddNamesNameNoEndpoint) {
  const auto fields = Upsert("e", 5).fields;
  CHECK(fleet::FromWire("i-7f3a91c2", fields).has_value());
  for (const char* const name :
       {"", "e&x", "e+x", "e#x", "e%x", "e x", "e\"x\\", "e\xc3\xa9"})
    CHECK_TEXT(!fleet::FromWire(name, fields), name);
}

// Guards against a reader whose link carries a copy for each daemon, and
// against daemons that no relay is told of.
TEST(StoreBatches, RelaysReachAllInThreeHops) {
  for (const std::size_t daemons : {1U, 25U, 115U, 143U, 295U, 320U}) {
    std::vector<std::uint32_t> addresses;
    for (std::size_t i = 1; i <= daemons; ++i)
      addresses.push_back(static_cast<std::uint32_t>(i));
    const auto heard_at = [](std::uint32_t address) {
      return TimePoint(Milliseconds(address * 7919 % 1000));
    };
    std::size_t reached = 0;
    std::size_t longest = 0;
    const std::function<void(const std::vector<std::uint32_t>&, std::size_t)>
        spread = [&](const std::vector<std::uint32_t>& to, std::size_t hop) {
          const std::size_t fan_out = fleet::FanOut(to.size());
          CHECK(fan_out <= 8);
          for (const auto& group :
               fleet::SplitForSpread(to, fan_out, heard_at)) {
            ++reached;
            longest = std::max(longest, hop);
            for (const std::uint32_t other : group.others)
              CHECK(heard_at(other) <= heard_at(group.relay));
            spread(group.others, hop + 1);
          }
        };
    spread(addresses, 1);
    LONGS_EQUAL(daemons, reached);
    CHECK(longest <= 3);
  }
}
