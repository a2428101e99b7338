#include "fleet/holder_contact.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using fleet::HolderContact;

namespace {

constexpr std::uint32_t kOld = 11;
constexpr std::uint32_t kNew = 12;

/// Returns a table in which a live member has reported that it holds the lease.
fleet::MemberTable TableWithHolder(std::uint32_t address,
                                   std::int64_t epoch,
                                   TimePoint now) {
  fleet::MemberTable table;
  fleet::Member& member = table.members[address];
  member.report.lease_epoch = epoch;
  member.last_heard_at = now;
  member.live_until = now + Milliseconds(20'000);
  return table;
}

}  // namespace

TEST_GROUP(HolderContact){};

// Guards against requests for adapters that go to a daemon that has ended, and
// against a late takeover of its lease: in a fleet of hundreds, reports show
// for 20 s that a daemon holds the lease.
TEST(HolderContact, FollowsTheDatagramsOfHolders) {
  struct Row {
    const char* name;
    Milliseconds after;  ///< Since the last datagram of the holder.
    std::uint32_t reported;
    std::uint32_t expected;
    bool silent;
  };
  const Row rows[] = {
      {"live", Milliseconds(300), kOld, kOld, false},
      {"one datagram lost", Milliseconds(600), kOld, kOld, false},
      {"silent", Milliseconds(2000), kOld, 0, true},
      {"another one reports it", Milliseconds(2000), kNew, kNew, true}};
  for (const Row& row : rows) {
    const TimePoint heard{std::chrono::hours(1)};
    HolderContact contact;
    CHECK(fleet::RecordHolder(kOld, 5, heard, &contact));
    const TimePoint now = heard + row.after;
    const fleet::MemberTable table = TableWithHolder(row.reported, 5, heard);
    LONGS_EQUAL_TEXT(row.expected, fleet::FindLiveHolder(contact, table, now),
                     row.name);
    CHECK_EQUAL_TEXT(row.silent, fleet::IsSilent(contact, table, 5, now),
                     row.name);
  }
}

TEST(HolderContact, ALaterHolderReplacesAnEarlierOne) {
  const TimePoint now{std::chrono::hours(1)};
  HolderContact contact;
  CHECK(fleet::RecordHolder(kOld, 5, now, &contact));
  CHECK(fleet::RecordHolder(kNew, 6, now, &contact));
  CHECK_FALSE(fleet::RecordHolder(kOld, 5, now, &contact));
  LONGS_EQUAL(kNew, fleet::FindLiveHolder(contact, {}, now));
  CHECK_FALSE(fleet::IsSilent(contact, {}, 6, now));
}
