#include "distribution/version_keeper.h"

#include "base/digest.h"

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

struct VerdictRow {
  std::int64_t version;
  const char* digest;
  HeadVerdict verdict;
};

// With version 5, digest "d5", in force, and version 7, digest "d7", refused.
constexpr VerdictRow kVerdictRows[] = {
    {6, "d6", HeadVerdict::kNewer},
    {5, "d5", HeadVerdict::kInForce},
    {5, "other", HeadVerdict::kOtherDigest},
    {5, "", HeadVerdict::kOtherDigest},
    {4, "d4", HeadVerdict::kLower},
    {4, "d5", HeadVerdict::kLower},
    {0, "", HeadVerdict::kLower},
    {-1, "d5", HeadVerdict::kLower},
    {7, "d7", HeadVerdict::kRefused},
    {7, "other", HeadVerdict::kNewer},
    {8, "d7", HeadVerdict::kNewer},
};

ConfigurationHead HeadOf(const Bundle& bundle, std::int64_t version) {
  ConfigurationHead head;
  head.version = version;
  head.digest = bundle.digest;
  for (const BundlePart& part : bundle.parts)
    head.parts.push_back({part.name, part.digest});
  return head;
}

Bundle TwoParts() {
  return MakeBundle({{"a.yaml", "a: 1\n", DigestHex("a: 1\n")},
                     {"b.yaml", "b: 1\n", DigestHex("b: 1\n")}});
}

}  // namespace

TEST_GROUP(VersionKeeper){};

// Guards against a stale platform or peer that takes an accepted configuration
// back, and against two contents under one version.
TEST(VersionKeeper, JudgesHeads) {
  VersionKeeper keeper;
  ConfigurationHead head;
  head.version = 7;
  head.digest = "d7";
  RecordRefused(&keeper, head);
  head.version = 5;
  head.digest = "d5";
  RecordInForce(&keeper, head);
  for (const VerdictRow& row : kVerdictRows)
    CHECK(row.verdict == JudgeHead(keeper, row.version, row.digest));
}

// Guards against a start that waits for a version above the first one, or
// that takes an absent head for one.
TEST(VersionKeeper, FirstVersion) {
  const VersionKeeper keeper;
  CHECK(HeadVerdict::kNewer == JudgeHead(keeper, 1, "d1"));
  CHECK(HeadVerdict::kLower == JudgeHead(keeper, 0, ""));
}

// Guards against a configuration that comes into force with a part absent,
// changed, swapped or added.
TEST(VersionKeeper, AssemblesOnlyWholeBundles) {
  const Bundle bundle = TwoParts();
  const ConfigurationHead head = HeadOf(bundle, 1);
  const PartTexts texts = TextsOf(bundle);
  CHECK(AssembleBundle(head, texts).has_value());
  CHECK_EQUAL(0U, MissingParts(head, texts).size());

  PartTexts absent = texts;
  absent.erase(head.parts[1].digest);
  CHECK_EQUAL(1U, MissingParts(head, absent).size());
  CHECK_FALSE(AssembleBundle(head, absent).has_value());

  PartTexts changed = texts;
  changed[head.parts[1].digest] = "b: 2\n";
  CHECK_FALSE(AssembleBundle(head, changed).has_value());

  ConfigurationHead swapped = head;
  std::swap(swapped.parts[0].digest, swapped.parts[1].digest);
  CHECK_FALSE(AssembleBundle(swapped, texts).has_value());

  ConfigurationHead shorter = head;
  shorter.parts.pop_back();
  CHECK_FALSE(AssembleBundle(shorter, texts).has_value());

  ConfigurationHead doubled = head;
  doubled.parts.push_back(doubled.parts[0]);
  CHECK_FALSE(AssembleBundle(doubled, texts).has_value());
}

// Guards against texts of a peer that are found under a digest that the peer
// states but that is not theirs.
TEST(VersionKeeper, ComputesDigestsOfTexts) {
  Bundle bundle = TwoParts();
  const ConfigurationHead head = HeadOf(bundle, 1);
  bundle.parts[0].text = "a: 2\n";
  CHECK_FALSE(AssembleBundle(head, TextsOf(bundle)).has_value());
}

}  // namespace coltsfootvane
