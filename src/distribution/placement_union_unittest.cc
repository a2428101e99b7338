#include "distribution/placement_union.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

objectapi::Object MakeRegion(const char* name, const char* spec) {
  return {objectapi::kPlacementKind, name, 1, spec};
}

constexpr char kFirst[] =
    R"({"endpoints":[{"id":"e1","leaving":false,"ready":["m1"]}]})";
constexpr char kSecond[] =
    R"({"endpoints":[{"id":"e1","leaving":true,"ready":["m0","m1"]},)"
    R"({"id":"e2","leaving":false,"ready":[]}]})";

}  // namespace

TEST_GROUP(PlacementUnion){};

// Guards against a region that hides the endpoints of another, and against new
// work for an endpoint that one of two regions shows as leaving.
TEST(PlacementUnion, UnitesRegions) {
  RegionPlacements regions;
  Findings findings;
  objectapi::ObjectList list;
  list.items = {MakeRegion("r1", kFirst), MakeRegion("r2", kSecond)};
  ReplacePlacements(&regions, list, &findings);
  STRCMP_EQUAL(kSecond, FormatPlacement(UnitePlacements(regions)).c_str());
  CHECK(findings.empty());
}

// Guards against a malformed object that empties a region, and against regions
// that stay after they were deleted or are no longer listed.
TEST(PlacementUnion, KeepsTheLastGoodPlacement) {
  RegionPlacements regions;
  Findings findings;
  objectapi::ObjectList list;
  list.items = {MakeRegion("r1", kFirst)};
  ReplacePlacements(&regions, list, &findings);
  list.items = {MakeRegion("r1", "{}")};
  ReplacePlacements(&regions, list, &findings);
  objectapi::ChangeBatch batch;
  batch.changes = {{objectapi::ChangeType::kModified, MakeRegion("r1", "[]")}};
  ChangePlacements(&regions, batch, &findings);
  CHECK_EQUAL(2U, findings.size());
  STRCMP_EQUAL(kFirst, FormatPlacement(UnitePlacements(regions)).c_str());
  batch.changes = {{objectapi::ChangeType::kDeleted, MakeRegion("r1", kFirst)}};
  ChangePlacements(&regions, batch, &findings);
  CHECK_EQUAL(0U, regions.size());
}

}  // namespace coltsfootvane
