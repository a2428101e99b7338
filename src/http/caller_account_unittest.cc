#include "http/caller_account.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using http::CallerAccount;

namespace {

constexpr std::size_t kLarge = 1024UL * 1024;
const TimePoint kStart{std::chrono::hours(1)};

intake::Bounds TwoLargeBodies() {
  intake::Bounds bounds;
  bounds.common_bytes = 100UL * 1024;
  bounds.large_bytes = 2 * kLarge;
  return bounds;
}

}  // namespace

TEST_GROUP(CallerAccount) {
  std::vector<std::uint64_t> ended;
  CallerAccount account{TwoLargeBodies(), [this](int, std::uint64_t cookie) {
                          ended.push_back(cookie);
                          return true;
                        }};
};

// Guards against large bodies beyond the memory of the VM, against rejected
// ones that still count, and against ended ones that count until the library
// has closed them.
TEST(CallerAccount, LargeBodiesStayWithinTheirShare) {
  struct Row {
    const char* name;
    int wait_ms;           ///< After the first two bodies, without a byte.
    std::size_t progress;  ///< Bytes of both after that.
    bool is_served;        ///< The first one is with its handler.
    bool is_admitted;
    std::size_t ended;
  };
  const Row rows[] = {
      {"no room", 0, 0, false, false, 0},
      {"both stopped, one goes", 3000, 0, false, true, 1},
      {"both go on", 3000, kLarge / 2, false, false, 0},
      {"the other one goes", 3000, 0, true, true, 1},
  };
  for (const Row& row : rows) {
    this->ended.clear();
    CallerAccount own{TwoLargeBodies(), [this](int, std::uint64_t cookie) {
                        this->ended.push_back(cookie);
                        return true;
                      }};
    CHECK_TEXT(own.Admit(1, 1, kLarge, kStart), row.name);
    CHECK_TEXT(own.Admit(2, 2, kLarge, kStart), row.name);
    const TimePoint now = kStart + Milliseconds(row.wait_ms);
    own.RecordBytes(1, row.progress, now);
    own.RecordBytes(2, row.progress, now);
    if (row.is_served)
      own.BeginServing(1, 1, now);
    CHECK_EQUAL_TEXT(row.is_admitted, own.Admit(3, 3, kLarge, now), row.name);
    LONGS_EQUAL_TEXT(row.ended, this->ended.size(), row.name);
    // A body whose last byte arrives after its end does not run.
    for (const std::uint64_t cookie : this->ended)
      CHECK_TEXT(!own.BeginServing(1, cookie, now), row.name);
    CHECK_TEXT(!row.is_served || this->ended.front() == 2, row.name);
    for (std::uint64_t cookie = 1; cookie <= 3; ++cookie)
      own.Release(cookie, now);
    CHECK_TEXT(own.Admit(4, 4, kLarge, now), row.name);
  }
}

// Guards against a bound that refuses the largest legal body in calm.
TEST(CallerAccount, OneBodyAboveTheShareIsAdmittedAlone) {
  CHECK(this->account.Admit(1, 1, 8 * kLarge, kStart));
  CHECK(!this->account.Admit(2, 2, kLarge, kStart));
}

// Guards against headers and connections that take what small bodies need.
TEST(CallerAccount, UnfinishedHeadersEndForSmallBodies) {
  this->account.RecordHeader(1, 1, 60UL * 1024, kStart);
  this->account.RecordHeader(2, 2, 30UL * 1024, kStart);
  const TimePoint later = kStart + Milliseconds(3000);
  CHECK(this->account.Admit(3, 3, 30UL * 1024, later));
  LONGS_EQUAL(1, this->ended.size());
  LONGS_EQUAL(1, this->ended.front());
}

// Guards against more ends than descriptors are needed, since what was reset is
// closed later.
TEST(CallerAccount, DescriptorsAreFreedOnce) {
  for (std::uint64_t cookie = 1; cookie <= 5; ++cookie)
    this->account.RecordHeader(static_cast<int>(cookie), cookie, 0, kStart);
  this->account.BeginServing(1, 1, kStart);
  const TimePoint later = kStart + Milliseconds(3000);
  LONGS_EQUAL(2, this->account.Enforce(2, later));
  LONGS_EQUAL(0, this->account.Enforce(2, later));
  this->account.Forget(this->ended[0]);
  LONGS_EQUAL(0, this->account.Enforce(1, later));
  // All but the request that is served.
  LONGS_EQUAL(2, this->account.Enforce(9, later));
}
