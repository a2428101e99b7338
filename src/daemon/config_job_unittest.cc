#include "daemon/config_job.h"

#include <nlohmann/json.hpp>
#include <string>

#include "fleet/config_frames.h"
#include "platform/config_codec.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using daemon::ConfigJob;
using daemon::ConfigStage;
using nlohmann::json;

namespace {

/// The configuration as one daemon holds it.
struct Holder {
  daemon::Deployment deployment;
  replication::Document document;
  gateway::RoutingTable table;
  bool table_matches = true;
  std::uint32_t jobs = 0;
  int steps = 0;
  std::string encoded;

  Holder() {
    this->deployment.config_item_name = platform::kConfigItemName;
    this->deployment.read_config_part = platform::ReadConfigPart;
  }

  ConfigStage Run(ConfigJob job) {
    job.encodes = this->document.place.IsKnown();
    StartFrom(this->document, this->table_matches ? &this->table : nullptr,
              ++this->jobs, &job);
    for (this->steps = 0;
         job.stage != ConfigStage::kDone && job.stage != ConfigStage::kFailed;
         ++this->steps)
      Step(this->deployment, &this->document, &job);
    if (job.stage == ConfigStage::kFailed)
      return job.stage;
    this->encoded = job.encoded;
    this->table_matches = !job.table_fault;
    if (this->table_matches)
      this->table = job.table;
    return job.stage;
  }
  ConfigStage Read(int revision, const json& config) {
    return this->Run(BeginFromText(store::Place(revision, 1), config.dump(),
                                   this->deployment));
  }
  ConfigStage Take(const std::string& frames) {
    return this->Run(daemon::BeginFromFrames(frames));
  }
  std::string Whole() const {
    std::string next_key;
    std::string frames;
    while (!daemon::EncodeWhole(this->document, &next_key, &frames)) {
    }
    return frames;
  }
  bool Has(const std::string& path) const {
    return FindRoute(this->table.routes, "h", path) != nullptr;
  }
};

json Config(int version, int from, int to) {
  json config = {{"version", version},
                 {"routes", json::array()},
                 {"services", {{{"name", "s"}}}}};
  for (int i = from; i < to; ++i) {
    const std::string name = "r" + std::to_string(i);
    config["routes"].push_back({{"name", name},
                                {"host", "h"},
                                {"pathPrefix", "/" + name + "/"},
                                {"routeKind", "safe"},
                                {"service", "s"}});
  }
  return config;
}

}  // namespace

TEST_GROUP(ConfigJob){};

// Guards against daemons that hold another configuration than the one that
// reads the store: by single changes, a chain of them, and as a whole.
TEST(ConfigJob, OthersGetWhatTheReaderHas) {
  constexpr int kMany = 700;
  Holder reader;
  Holder follower;
  CHECK(reader.Read(10, Config(1, 0, 5)) == ConfigStage::kDone);
  CHECK(follower.Take(reader.Whole()) == ConfigStage::kDone);
  CHECK(reader.Read(11, Config(2, 0, kMany)) == ConfigStage::kDone);
  std::string chain = reader.encoded;
  CHECK(reader.Read(12, Config(3, 2, kMany)) == ConfigStage::kDone);
  const std::string small = reader.encoded;
  CHECK(follower.Take(chain) == ConfigStage::kDone);
  CHECK(follower.Has("/r0/1") && follower.Has("/r699/1"));
  // The part that is known already is passed over.
  CHECK(follower.Take(chain + small) == ConfigStage::kDone);
  CHECK_FALSE(follower.Has("/r0/1"));
  CHECK(follower.Has("/r2/1"));
  LONGS_EQUAL(3, follower.table.version);
  Holder late;
  CHECK(late.Take(reader.Whole()) == ConfigStage::kDone);
  for (const Holder* one : {&follower, &late}) {
    CHECK(one->document.digest == reader.document.digest);
    CHECK(one->document.place == reader.document.place);
    LONGS_EQUAL(reader.table.routes.size, one->table.routes.size);
  }
}

// Guards against a change of one route whose cost follows the table.
TEST(ConfigJob, StepsFollowTheChange) {
  int steps[2] = {0, 0};
  int row = 0;
  for (const int routes : {50, 5000}) {
    Holder reader;
    reader.Read(10, Config(1, 0, routes));
    Holder follower;
    follower.Take(reader.Whole());
    json next = Config(2, 0, routes);
    next["routes"][7]["timeoutMs"] = 77;
    reader.Read(11, next);
    CHECK(follower.Take(reader.encoded) == ConfigStage::kDone);
    CHECK(reader.encoded.size() < 1000);
    steps[row++] = follower.steps;
  }
  LONGS_EQUAL(steps[0], steps[1]);
}

// Guards against a damaged or misplaced change that replaces the configuration
// in force.
TEST(ConfigJob, WhatIsDamagedChangesNothing) {
  Holder reader;
  reader.Read(10, Config(1, 0, 300));
  const std::string whole = reader.Whole();
  reader.Read(11, Config(2, 0, 301));
  const std::string next = reader.encoded;
  reader.Read(12, Config(3, 0, 302));
  const std::string after_next = reader.encoded;
  std::string flipped = next;
  flipped[flipped.size() / 2] ^= 1;
  auto part = fleet::DecodeFrame(next);
  CHECK(part.has_value());
  part.value().items.pop_back();
  struct Row {
    const char* name;
    std::string frames;
  };
  const Row rows[] = {{"cut", next.substr(0, next.size() - 3)},
                      {"bit", flipped},
                      {"item lost", fleet::EncodeFrame(part.value())},
                      {"gap", after_next},
                      {"empty", ""},
                      {"older", whole},
                      {"half of the whole", whole.substr(0, whole.size() / 2)}};
  for (const Row& row : rows) {
    Holder follower;
    follower.Take(whole);
    const std::uint64_t digest = follower.document.digest;
    CHECK_TEXT(follower.Take(row.frames) == ConfigStage::kFailed, row.name);
    CHECK_TEXT(follower.document.digest == digest, row.name);
    CHECK_TEXT(follower.document.place == store::Place(10, 1), row.name);
    CHECK_TEXT(follower.Take(next) == ConfigStage::kDone, row.name);
    CHECK_TEXT(follower.Has("/r300/"), row.name);
  }
}

// Guards against a table that lacks what changed while the configuration could
// not be read.
TEST(ConfigJob, AnUnreadableConfigurationIsMadeUpForLater) {
  Holder holder;
  holder.Read(10, Config(0, 0, 3));
  CHECK_TEXT(holder.table_matches, "the first version may be 0");
  json unreadable = Config(2, 1, 6);
  unreadable["routes"][2]["routeKind"] = "other";
  CHECK(holder.Read(11, unreadable) == ConfigStage::kDone);
  CHECK_FALSE(holder.table_matches);
  CHECK(holder.Has("/r0/"));
  holder.Read(12, Config(3, 1, 6));
  CHECK(holder.table_matches);
  CHECK_FALSE(holder.Has("/r0/"));
  for (const char* const path : {"/r1/", "/r3/", "/r5/"})
    CHECK_TEXT(holder.Has(path), path);
}
