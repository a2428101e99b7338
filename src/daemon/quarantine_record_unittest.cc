#include "daemon/quarantine_record.h"

#include <string>
#include <vector>

#include "support/gateway_scene.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using daemon::FormatEvidence;
using daemon::QuarantineRecord;
using daemon::ReadEvidence;
using nlohmann::json;
using quarantine::PartId;
using testing::GatewayScene;

namespace {

constexpr PartId kPart = 0xab;
constexpr std::int64_t kUnixMs = 1'770'000'000'000;

/// A store with one object, which fails calls as long as it is told to.
struct FakeStore {
  FakeStore() {
    this->access.read = [this](const std::string&, const std::string&,
                               store::Freshness,
                               const store::Handler<store::Object>& done) {
      if (this->fails)
        done(Error{ErrorCode::kUnknown, "no answer"});
      else if (!this->object.place.IsKnown())
        done(Error{ErrorCode::kNotFound, "no object"});
      else
        done(this->object);
    };
    const auto write = [this](const std::string&, const store::Object& given,
                              const store::Handler<store::Object>& done) {
      ++this->writes;
      if (this->fails || given.place != this->object.place) {
        done(Error{this->fails ? ErrorCode::kUnknown : ErrorCode::kConflict,
                   "not written"});
        return;
      }
      this->object = given;
      this->object.place = store::Place(given.place.revision + 1);
      done(this->object);
    };
    this->access.create = write;
    this->access.replace = write;
  }

  store::ObjectStore access;
  store::Object object;
  bool fails = false;
  int writes = 0;
};

void SeeCrashes(GatewayScene* scene, int count) {
  scene->gateway.quarantine.self = 1;
  for (int crash = 1; crash <= count; ++crash) {
    quarantine::Involvement seen;
    seen.crash = static_cast<quarantine::CrashKey>(crash);
    seen.at = BootNow() - std::chrono::seconds(crash);
    seen.answering = true;
    seen.observers = {1};
    RecordCrash(&scene->gateway, std::vector<PartId>{kPart}, seen);
  }
}

}  // namespace

TEST_GROUP(QuarantineRecord){};

/// Guards against a new series of crashes after all daemons have ended at once.
TEST(QuarantineRecord, QuarantinesOutlastAllDaemons) {
  FakeStore store;
  GatewayScene before;
  SeeCrashes(&before, 3);
  QuarantineRecord writer(&before.io, &store.access, &before.gateway);
  writer.Start();
  writer.Tick(false, BootNow());
  LONGS_EQUAL(0, store.writes);
  writer.Tick(true, BootNow());
  writer.Tick(true, BootNow() + std::chrono::seconds(5));
  LONGS_EQUAL(1, store.writes);

  GatewayScene after;
  after.gateway.quarantine.self = 1;
  QuarantineRecord reader(&after.io, &store.access, &after.gateway);
  reader.Start();
  LONGS_EQUAL(1, after.gateway.quarantine.quarantines.size());
  reader.Tick(true, BootNow());
  LONGS_EQUAL(1, store.writes);
  RecordAnsweredParts(&after.gateway, std::vector<PartId>{kPart});
  reader.Tick(true, BootNow());
  LONGS_EQUAL(2, store.writes);
  CHECK(store.object.spec["parts"].empty());
}

/// A write that fails, conflicts or whose answer is lost is made again after
/// the object was read.
TEST(QuarantineRecord, FailedWritesAreMadeAgain) {
  FakeStore store;
  GatewayScene scene;
  QuarantineRecord record(&scene.io, &store.access, &scene.gateway);
  record.Start();
  SeeCrashes(&scene, 3);
  store.object.place =
      store::Place(7);  // Another daemon has written meanwhile.
  store.object.spec = json::object();
  record.Tick(true, BootNow());
  LONGS_EQUAL(1, store.writes);
  record.Tick(true, BootNow() + std::chrono::seconds(2));
  LONGS_EQUAL(2, store.writes);
  LONGS_EQUAL(8, store.object.place.revision);
  LONGS_EQUAL(1, store.object.spec["parts"].size());
}

TEST(QuarantineRecord, OddEvidenceIsLeftOut) {
  const TimePoint now = BootNow();
  const char* const old_one =
      R"({"parts":[{"part":"ab","involvements":[{"crash":1,"at":0,)"
      R"("answering":true,"observers":[1]}]}]})";
  const char* const specs[] = {
      "null",
      "[]",
      R"({"parts":7})",
      R"({"parts":[7,{"part":7},{"part":"zz","involvements":[]}]})",
      R"({"parts":[{"part":"ab","involvements":[7,{"crash":-1}]}]})",
      old_one,
  };
  for (const char* const id : {"", " ab", "ab ", "ab&x", "ab+x", "ab#x",
                               "ab%20", "-1", "0xab", "1ffffffffffffffff"}) {
    json spec = json::parse(
        R"({"parts":[{"part":"","involvements":[{"crash":1,)"
        R"("at":1770000000000,"answering":true,"observers":[1]}]}]})");
    spec["parts"][0]["part"] = id;
    CHECK_TEXT(ReadEvidence(spec, now, kUnixMs).empty(), id);
  }
  for (const char* const spec : specs) {
    for (const auto& [part, suspect] :
         ReadEvidence(json::parse(spec), now, kUnixMs))
      CHECK_TEXT(suspect.involvements.empty(), spec);
  }
  // The time of day may jump: what seems to come later is taken as new.
  const json later = json::parse(
      R"({"parts":[{"part":"ab","involvements":[{"crash":1,)"
      R"("at":1770000009000,"answering":true,"observers":[1,"x",2]}]}]})");
  const auto read = ReadEvidence(later, now, kUnixMs);
  LONGS_EQUAL(1, read.at(kPart).involvements.size());
  CHECK(read.at(kPart).involvements[0].at == now);
  LONGS_EQUAL(2, read.at(kPart).involvements[0].observers.size());
}
