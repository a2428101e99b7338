#include "intake/policy.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using intake::Admission;
using intake::Holder;
using intake::Need;
using intake::Progress;
using intake::Stage;

namespace {

constexpr std::size_t kKb = 1024;
constexpr std::size_t kMb = 1024 * kKb;

Holder MakeHolder(Stage stage,
                  std::size_t bytes,
                  int behind_ms,
                  bool has_been_served = false) {
  return {stage, bytes, Milliseconds(behind_ms), has_been_served};
}

TimePoint At(int ms) {
  return TimePoint() + Milliseconds(1000 + ms);
}

std::string ToText(const std::vector<std::size_t>& order) {
  std::string text;
  for (const std::size_t index : order)
    text += std::to_string(index);
  return text;
}

}  // namespace

TEST_GROUP(IntakePolicy){};

// Guards against a crowd that outlives ordinary callers: the one that holds the
// most for the longest without progress has to go first, and a request that is
// with an endpoint never, since it may have run.
TEST(IntakePolicy, TheLeastProgressForWhatIsHeldGoesFirst) {
  struct Row {
    const char* name;
    Need need;
    std::vector<Holder> holders;
    const char* order;
  };
  const Row rows[] = {
      {"bytes times delay",
       Need::kCommonBytes,
       {MakeHolder(Stage::kReceiving, 4 * kKb, 2000),
        MakeHolder(Stage::kReceiving, 60 * kKb, 500),
        MakeHolder(Stage::kReceiving, 4 * kKb, 9000)},
       "210"},
      {"late before waiting before fast",
       Need::kCommonBytes,
       {MakeHolder(Stage::kReceiving, 60 * kKb, -900),
        MakeHolder(Stage::kWaiting, 80 * kKb, 100),
        MakeHolder(Stage::kReceiving, 4 * kKb, 1)},
       "210"},
      {"the newest that waits",
       Need::kCommonBytes,
       {MakeHolder(Stage::kWaiting, 80 * kKb, 3000),
        MakeHolder(Stage::kWaiting, 80 * kKb, 10)},
       "10"},
      {"requests at endpoints stay, answers that are not taken go",
       Need::kCommonBytes,
       {MakeHolder(Stage::kServing, 300 * kKb, 60'000),
        MakeHolder(Stage::kTaking, 64 * kKb, 900),
        MakeHolder(Stage::kTaking, 64 * kKb, 1000),
        MakeHolder(Stage::kGranted, 4 * kMb, 60'000)},
       "2"},
      {"idle ones last",
       Need::kCommonBytes,
       {MakeHolder(Stage::kIdle, 4 * kKb, 9000),
        MakeHolder(Stage::kReceiving, 4 * kKb, -900)},
       "10"},
      {"room for own calls: late ones only",
       Need::kSpareBytes,
       {MakeHolder(Stage::kReceiving, 60 * kKb, -1),
        MakeHolder(Stage::kReceiving, 60 * kKb, 10),
        MakeHolder(Stage::kWaiting, 80 * kKb, 3000),
        MakeHolder(Stage::kIdle, 4 * kKb, 9000)},
       "1"},
      {"room for a large body: late large ones only",
       Need::kLargeBody,
       {MakeHolder(Stage::kGranted, 4 * kMb, -10),
        MakeHolder(Stage::kGranted, 100 * kKb, 3000),
        MakeHolder(Stage::kGranted, 4 * kMb, 200),
        MakeHolder(Stage::kServing, 4 * kMb, 60'000),
        MakeHolder(Stage::kWaiting, 80 * kKb, 4000)},
       "21"},
      {"descriptors",
       Need::kDescriptor,
       {MakeHolder(Stage::kTaking, 64 * kKb, 2000),
        MakeHolder(Stage::kReceiving, 4 * kKb, -500),
        MakeHolder(Stage::kWaiting, 80 * kKb, 100),
        MakeHolder(Stage::kIdle, 4 * kKb, -900),
        MakeHolder(Stage::kIdle, 4 * kKb, 14'000, true),
        MakeHolder(Stage::kReceiving, 4 * kKb, 1200),
        MakeHolder(Stage::kIdle, 4 * kKb, 10),
        MakeHolder(Stage::kServing, 4 * kKb, 9000)},
       "6543210"},
      {"the slowest of many heads",
       Need::kDescriptor,
       {MakeHolder(Stage::kReceiving, 4 * kKb, 100),
        MakeHolder(Stage::kReceiving, 4 * kKb, 700),
        MakeHolder(Stage::kReceiving, 4 * kKb, 300)},
       "120"},
      {"nobody may go",
       Need::kDescriptor,
       {MakeHolder(Stage::kServing, 4 * kKb, 9000)},
       ""},
  };
  for (const Row& row : rows) {
    STRCMP_EQUAL_TEXT(row.order,
                      ToText(intake::EndOrder(row.need, row.holders)).c_str(),
                      row.name);
  }
}

// Guards against bytes now and then that count as progress, and against proper
// callers that do: 4 MB over 10 Mbit/s, a head of 16 KB within 3 s.
TEST(IntakePolicy, SlowCallersFallBehind) {
  struct Row {
    const char* name;
    std::size_t bytes;  ///< At each step.
    int step_ms;
    int steps;
    int pause_ms;  ///< After the last.
    int behind_ms;
  };
  const Row rows[] = {
      {"nothing yet", 0, 100, 0, 900, -100},
      {"nothing at all", 0, 100, 0, 5000, 4000},
      {"one byte each 500 ms", 1, 500, 20, 0, 8999},
      {"10 Mbit/s, shared by 16", 80 * kKb, 1000, 50, 0, -1000},
      {"fast, then stalled", 64 * kKb, 10, 64, 3000, 2000},
  };
  for (const Row& row : rows) {
    Progress progress;
    intake::StartProgress(&progress, At(0));
    int now_ms = 0;
    for (int i = 0; i < row.steps; ++i) {
      now_ms += row.step_ms;
      intake::RecordBytes(&progress, row.bytes, At(now_ms));
    }
    const auto behind = intake::Behind(progress, At(now_ms + row.pause_ms));
    LONGS_EQUAL_TEXT(row.behind_ms, behind.count(), row.name);
  }
}

// Guards against grants beyond the memory, and against a VM that is so small
// that it refuses the largest legal body even in calm.
TEST(IntakePolicy, LargeBodiesAreGrantedWaitOrAreRefused) {
  struct Row {
    const char* name;
    double memory_mb;
    std::size_t granted;
    std::size_t waiting;
    std::size_t wanted;
    Admission admission;
  };
  const Row rows[] = {
      {"alone", 64, 0, 0, 4 * kMb, Admission::kGrant},
      {"three at once", 64, 8 * kMb, 0, 4 * kMb, Admission::kGrant},
      {"a fourth waits", 64, 12 * kMb, 0, 4 * kMb, Admission::kWait},
      {"a small one beside three", 64, 12 * kMb, 0, 100 * kKb,
       Admission::kGrant},
      {"too many wait", 64, 12 * kMb, 51, 4 * kMb, Admission::kRefuse},
      {"the smallest VMs", 112, 16 * kMb, 0, 4 * kMb, Admission::kGrant},
      {"alone in a tiny process", 16, 0, 0, 4 * kMb, Admission::kGrant},
      {"more granted than allowed", 16, 4 * kMb, 0, 100 * kKb,
       Admission::kWait},
  };
  for (const Row& row : rows) {
    const intake::Bounds bounds = intake::BoundsFor(row.memory_mb, 2670);
    const Admission admission =
        intake::AdmitLargeBody(bounds, row.granted, row.waiting, row.wanted);
    LONGS_EQUAL_TEXT(static_cast<int>(row.admission),
                     static_cast<int>(admission), row.name);
    CHECK_TEXT(bounds.common_bytes + bounds.large_bytes <
                   static_cast<std::size_t>(row.memory_mb / 2) * kMb,
               row.name);
  }
  LONGS_EQUAL(2003, intake::BoundsFor(112, 2670).caller_descriptors);
  LONGS_EQUAL(300, intake::BoundsFor(64, 400).caller_descriptors);
}
