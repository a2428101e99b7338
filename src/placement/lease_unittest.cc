#include "placement/lease.h"

#include <string>

#include <CppUTest/TestHarness.h>

namespace coltsfootvane {
namespace {

TimePoint At(int milliseconds) {
  return TimePoint() + Milliseconds{1000000 + milliseconds};
}

Lease MakeLease(const char* self) {
  Lease lease;
  lease.self = self;
  return lease;
}

}  // namespace

TEST_GROUP(Lease){};

// Guards against two simultaneous holders because of a late observation or a
// takeover before the expiry.
TEST(Lease, ObserverTakesOverAfterTheExpiryOnly) {
  struct Row {
    const char* holder;
    std::int64_t version;
    int read_again_ms;
    std::int64_t version_again;
    int now_ms;
    LeaseStep step;
  };
  const Row rows[] = {
      {"other", 5, 2000, 5, 2000, LeaseStep::kNone},
      {"other", 5, 2000, 5, 4000, LeaseStep::kRead},
      {"other", 5, 7999, 5, 9999, LeaseStep::kTakeOver},
      {"other", 5, 7999, 6, 9999, LeaseStep::kNone},
      {"other", 5, 7999, 6, 11999, LeaseStep::kRead},
      {"other", 5, 7999, 6, 15999, LeaseStep::kTakeOver},
      {"", 5, 100, 5, 100, LeaseStep::kTakeOver},
      {"", 0, 100, 0, 100, LeaseStep::kCreate},
  };
  for (const Row& row : rows) {
    Lease lease = MakeLease("self");
    CHECK(NextLeaseStep(lease, At(0)) == LeaseStep::kRead);
    OnLeaseRead(&lease, {row.holder, 7, 1}, row.version, At(0));
    OnLeaseRead(&lease, {row.holder, 7, 1}, row.version_again,
                At(row.read_again_ms));
    CHECK(NextLeaseStep(lease, At(row.now_ms)) == row.step);
    CHECK(!MaySendCommands(lease, At(row.now_ms)));
    LONGS_EQUAL(8, NextLeaseSpec(lease, LeaseStep::kTakeOver).epoch);
  }
}

// Guards against an epoch that was in use before the store came back from an
// older copy, and against orders by a lease of the past.
TEST(Lease, ANewEraNeedsANewEpoch) {
  struct Row {
    const char* name;
    const char* holder;  ///< In the copy.
    std::int64_t epoch;
    std::int64_t version;
    LeaseStep step;
  };
  const Row rows[] = {
      {"own", "self", 2'000'007, 250, LeaseStep::kTakeOver},
      {"own, earlier", "self", 2'000'004, 200, LeaseStep::kTakeOver},
      {"released", "", 2'000'005, 200, LeaseStep::kTakeOver},
      {"another's", "other", 2'000'006, 200, LeaseStep::kNone},
      {"none", "", 0, 0, LeaseStep::kCreate}};
  for (const Row& row : rows) {
    Lease lease = MakeLease("self");
    lease.era = 2;
    OnLeaseRead(&lease, {"", 2'000'006, 0}, 270, At(0));
    OnLeaseWritten(&lease, NextLeaseSpec(lease, LeaseStep::kTakeOver), 280,
                   At(0));
    LONGS_EQUAL_TEXT(2'000'007, lease.last_spec.epoch, row.name);
    CHECK_TEXT(MaySendCommands(lease, At(100)), row.name);
    OnNewEra(&lease, At(100));
    CHECK_TEXT(!MaySendCommands(lease, At(100)), row.name);
    CHECK_TEXT(NextLeaseStep(lease, At(100)) == LeaseStep::kRead, row.name);
    lease.era = 3;
    OnLeaseRead(&lease, {row.holder, row.epoch, 1}, row.version, At(110));
    CHECK_TEXT(!MaySendCommands(lease, At(110)), row.name);
    CHECK_TEXT(NextLeaseStep(lease, At(110)) == row.step, row.name);
    const LeaseSpec next = NextLeaseSpec(lease, LeaseStep::kTakeOver);
    LONGS_EQUAL_TEXT(3'000'001, next.epoch, row.name);
    OnLeaseWritten(&lease, next, 290, At(120));
    CHECK_TEXT(MaySendCommands(lease, At(130)), row.name);
  }
}

// Guards against an epoch of another holder that this daemon has only heard of.
TEST(Lease, AnEpochIsAboveAllThatWereHeard) {
  Lease lease = MakeLease("self");
  OnLeaseRead(&lease, {"other", 7, 1}, 250, At(0));
  lease.highest_epoch = 9;
  LONGS_EQUAL(10, NextLeaseSpec(lease, LeaseStep::kTakeOver).epoch);
}

// Guards against waiting for the full expiry after a holder was killed or
// hangs, and against taking over from a holder that still renews the lease.
TEST(Lease, SilentHoldersAreReplacedEarlier) {
  struct Row {
    const char* name;
    bool silent;
    std::int64_t version_again;
    int now_ms;
    LeaseStep step;
  };
  const Row rows[] = {
      {"silent", true, 5, 3000, LeaseStep::kTakeOver},
      {"silent, before its expiry", true, 5, 2999, LeaseStep::kNone},
      {"heard", false, 5, 3000, LeaseStep::kNone},
      {"silent here, but renewed", true, 6, 3000, LeaseStep::kNone},
  };
  for (const Row& row : rows) {
    Lease lease = MakeLease("self");
    lease.times.silent_expiry = Milliseconds(3000);
    OnLeaseRead(&lease, {"other", 7, 1}, 5, At(0));
    OnLeaseRead(&lease, {"other", 7, 1}, row.version_again, At(2000));
    lease.holder_silent = row.silent;
    CHECK_TEXT(NextLeaseStep(lease, At(row.now_ms)) == row.step, row.name);
  }
}

// Guards against sending commands after a renewal that is not known to have
// succeeded, and against measuring the send period from the end of a slow
// renewal.
TEST(Lease, HolderSendsUntilFiveSecondsAfterTheStartOfARenewal) {
  Lease lease = MakeLease("self");
  OnLeaseRead(&lease, {"", 7, 1}, 5, At(0));
  OnLeaseWritten(&lease, NextLeaseSpec(lease, LeaseStep::kTakeOver), 6,
                 At(100));
  CHECK(MaySendCommands(lease, At(5099)));
  CHECK(!MaySendCommands(lease, At(5100)));
  CHECK(NextLeaseStep(lease, At(2000)) == LeaseStep::kNone);
  CHECK(NextLeaseStep(lease, At(2100)) == LeaseStep::kRenew);
  OnLeaseWriteFailed(&lease, At(2200));
  CHECK(NextLeaseStep(lease, At(2200)) == LeaseStep::kRead);
  CHECK(MaySendCommands(lease, At(2300)));
  OnLeaseRead(&lease, {"self", 8, 1}, 7, At(2300));
  CHECK(!MaySendCommands(lease, At(5100)));
  CHECK(NextLeaseStep(lease, At(2300)) == LeaseStep::kRenew);
  LONGS_EQUAL(2, NextLeaseSpec(lease, LeaseStep::kRenew).renewals);
  OnLeaseRead(&lease, {"other", 9, 0}, 8, At(3000));
  CHECK(!MaySendCommands(lease, At(3000)));
}

// Guards against writing a lease that the next holder cannot parse.
TEST(Lease, FormatsAndParses) {
  const std::string text = FormatLease({"d1/x", 3, 4});
  const Result<LeaseSpec> spec = ParseLease(text);
  CHECK(spec.has_value());
  STRCMP_EQUAL(text.c_str(), FormatLease(spec.assume_value()).c_str());
  CHECK(!ParseLease("{}").has_value());
}

// Guards against a lease of another writer whose epoch has no next one: orders
// would carry a negative token, which engines refuse for good.
TEST(Lease, OddLeasesCountAsReleased) {
  const char* const texts[] = {
      "null",
      "[]",
      "7",
      R"("x")",
      R"({"x":1})",
      R"({"holder":7,"epoch":1,"renewals":1})",
      R"({"holder":"x","epoch":"1","renewals":1})",
      R"({"holder":"x","epoch":1})",
      R"({"holder":"x","epoch":-1,"renewals":1})",
      R"({"holder":"x","epoch":1.5,"renewals":1})",
      R"({"holder":"x","epoch":1e300,"renewals":1})",
      R"({"holder":"x","epoch":9223372036854775807,"renewals":1})",
      R"({"holder":"x","epoch":18446744073709551615,"renewals":1})",
      R"({"holder":"x","epoch":1,"renewals":9223372036854775807})"};
  for (const char* const text : texts)
    CHECK_TEXT(!ParseLease(text), text);
  for (const std::int64_t number : {std::int64_t{0}, kMaxLeaseNumber}) {
    Lease lease;
    lease.self = "vm/1";
    const LeaseSpec held{"other", number, number};
    const Result<LeaseSpec> read = ParseLease(FormatLease(held));
    CHECK(read.has_value());
    OnLeaseRead(&lease, read.value(), 5, At(0));
    const LeaseSpec next = NextLeaseSpec(lease, LeaseStep::kTakeOver);
    CHECK(next.epoch == number + 1);
  }
}

// Guards against a restarted process waiting for its own lease to expire, and
// against taking over the lease of a VM whose name or address starts with that
// of this VM.
TEST(Lease, OnlyAPredecessorOnTheSameVmIsReplacedAtOnce) {
  struct Row {
    const char* own_vm;
    const char* holder;
    LeaseStep step;
  };
  const Row rows[] = {
      {"vm-1@10.0.0.1/", "vm-1@10.0.0.1/abc", LeaseStep::kTakeOver},
      {"vm-1@10.0.0.1/", "vm-1@10.0.0.17/abc", LeaseStep::kNone},
      {"vm-1@10.0.0.1/", "vm-11@10.0.0.1/abc", LeaseStep::kNone},
      {"", "vm-1@10.0.0.1/abc", LeaseStep::kNone},
  };
  for (const Row& row : rows) {
    Lease lease = MakeLease("vm-1@10.0.0.1/def");
    lease.own_vm_prefix = row.own_vm;
    OnLeaseRead(&lease, {row.holder, 7, 1}, 5, At(0));
    CHECK(NextLeaseStep(lease, At(1)) == row.step);
  }
}

}  // namespace coltsfootvane
