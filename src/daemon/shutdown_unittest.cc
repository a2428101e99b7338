#include "daemon/shutdown.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using daemon::BeginShutdown;
using daemon::IsComplete;
using daemon::Pending;
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
    int unsent_until_ms;
    int receiving_until_ms;
    int complete_from_ms;
  };
  const Row rows[] = {
      {"idle", 0, 0, 0, 3500},
      {"short requests", 1000, 0, 0, 3500},
      {"a request beyond the time to turn away", 5000, 0, 0, 5600},
      {"a request that does not end", 100000, 0, 0, 7600},
      {"an answer that is read slowly", 1000, 5000, 0, 5600},
      {"an answer that is not read", 1000, 100000, 0, 7600},
      {"a request that arrives slowly", 1000, 0, 5000, 5600},
      {"a request that never arrives", 1000, 0, 100000, 7600},
  };
  constexpr int kTickMs = 100;
  for (const Row& row : rows) {
    Shutdown shutdown = BeginShutdown(kStopTimeout, kSignal);
    int ms = 0;
    const auto pending_at = [&row](int at) {
      return Pending{at <= row.busy_until_ms ? 1 : 0,
                     at <= row.unsent_until_ms ? 1U : 0U,
                     at <= row.receiving_until_ms ? 1U : 0U};
    };
    while (!IsComplete(&shutdown, pending_at(ms), kSignal + Milliseconds(ms)))
      ms += kTickMs;
    LONGS_EQUAL_TEXT(row.complete_from_ms, ms, row.name);
  }
}

/// What is accepted can be completed, and what is not has its final answer
/// before the process ends.
TEST(DaemonShutdown, LateRequestsAreTurnedAway) {
  for (const int seconds : {3, 5, 8, 30}) {
    const Milliseconds stop_timeout = std::chrono::seconds(seconds);
    const Shutdown shutdown = BeginShutdown(stop_timeout, kSignal);
    CHECK(shutdown.last_request_at <= kSignal + Milliseconds(3000));
    CHECK(shutdown.last_answer_at - shutdown.last_request_at >=
          Milliseconds(2000));
    CHECK(shutdown.last_answer_at < shutdown.ends);
    CHECK(shutdown.ends < kSignal + stop_timeout);
  }
}

/// Guards against final answers that come too late because nothing looks.
TEST(DaemonShutdown, IsExaminedWhenItsTimesCome) {
  const Shutdown shutdown = BeginShutdown(kStopTimeout, kSignal);
  constexpr Milliseconds kInterval{250};
  TimePoint now = kSignal;
  int found = 0;
  while (now < shutdown.ends) {
    now = NextCheck(shutdown, now, kInterval);
    found += now == shutdown.last_answer_at || now == shutdown.ends ? 1 : 0;
  }
  LONGS_EQUAL(2, found);
}
