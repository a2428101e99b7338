#include "fleet/fleet.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

TEST_GROUP(Fleet){};

// Guards against report traffic that grows with the fleet, and against
// needlessly long report intervals in a small fleet.
TEST(Fleet, ReportTrafficIsBounded) {
  struct Row {
    const char* name;
    std::size_t members;
    double report_bytes;
  };
  const Row rows[] = {{"single daemon", 0, 200},
                      {"small site", 12, 200},
                      {"medium site", 92, 250},
                      {"large site, two years on", 319, 600}};
  // Permitted control traffic that a daemon receives.
  constexpr double kMaxBytesPerS = 24'000;
  constexpr double kHeaderBytes = 28;
  for (const Row& row : rows) {
    const std::chrono::duration<double> interval =
        fleet::ReportInterval(row.members, row.report_bytes);
    const double received = static_cast<double>(row.members) *
                            (row.report_bytes + kHeaderBytes) /
                            interval.count();
    CHECK_TEXT(received <= kMaxBytesPerS, row.name);
    CHECK_TEXT(interval == Milliseconds(250) || received > kMaxBytesPerS / 2,
               row.name);
  }
}
