#include "daemon/shutdown.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using daemon::BeginShutdown;
using daemon::IsComplete;
using daemon::Shutdown;

namespace {

const TimePoint kSignal{std::chrono::hours{1}};
constexpr Milliseconds kStopTimeout{8000};

}  // namespace

TEST_GROUP(DaemonShutdown){};

/// The process stays while callers may still come or are served, and ends
/// before it would be killed.
TEST(DaemonShutdown, EndsWhenTheLastCallerIsServed) {
  struct Row {
    const char* name;
    int busy_until_ms;
    int complete_from_ms;
  };
  const Row rows[] = {
      {"idle", 0, 3500},
      {"short requests", 1000, 3500},
      {"a request beyond the time to turn away", 5000, 5600},
      {"a request that does not end", 100000, 7400},
  };
  constexpr int kTickMs = 100;
  for (const Row& row : rows) {
    Shutdown shutdown = BeginShutdown(kStopTimeout, kSignal);
    int ms = 0;
    while (!IsComplete(&shutdown, ms <= row.busy_until_ms ? 1 : 0,
                       kSignal + Milliseconds(ms)))
      ms += kTickMs;
    LONGS_EQUAL_TEXT(row.complete_from_ms, ms, row.name);
  }
}

/// What is accepted can be completed: streams are turned away first.
TEST(DaemonShutdown, LateRequestsAreTurnedAway) {
  const Shutdown shutdown = BeginShutdown(kStopTimeout, kSignal);
  CHECK(shutdown.last_stream_at < shutdown.last_request_at);
  CHECK(shutdown.last_request_at < shutdown.ends);
  CHECK(shutdown.ends < kSignal + kStopTimeout);
}
