#include <signal.h>

#include <map>
#include <string>

#include "replica_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::Arrival;
using testing::CallResult;
using testing::ReceivedRequest;
using testing::ReplicaSite;
using StreamPtr = std::shared_ptr<net::TcpStream>;

namespace {

/// Lets the replicas take that long for each request.
void Delay(ReplicaSite* site, Milliseconds time) {
  for (const auto& replica : site->replicas) {
    replica->answer = [site, time, raw = replica.get()](
                          const ReceivedRequest& request,
                          const StreamPtr& stream) {
      auto timer = std::make_shared<boost::asio::steady_timer>(site->io);
      timer->expires_after(time);
      timer->async_wait(
          [timer, raw, request, stream](const boost::system::error_code& ec) {
            if (!ec)
              raw->Run(request, stream);
          });
    };
  }
}

/// Returns the number of requests that reached a replica and were not answered,
/// of those that callers sent later than `from`.
int CountCutOff(const ReplicaSite& site, TimePoint from) {
  std::map<std::string, bool> arrived;
  for (const auto& replica : site.replicas) {
    for (const Arrival& one : replica->arrivals)
      arrived[one.id] = true;
  }
  int cut_off = 0;
  for (const CallResult& result : site.results)
    cut_off +=
        result.sent > from && result.status == 0 && arrived.count(result.id) > 0
            ? 1
            : 0;
  return cut_off;
}

int CountStatus(const ReplicaSite& site, TimePoint from, int status) {
  int count = 0;
  for (const CallResult& result : site.results)
    count += result.sent > from && result.status == status ? 1 : 0;
  return count;
}

}  // namespace

TEST_GROUP(PlannedStops){};

/// Guards against requests that come late in a planned stop, are passed on and
/// then cut off without an answer when the time is over (LOST).
TEST(PlannedStops, LateRequestsAreAnsweredOrRefused) {
  struct Row {
    const char* path;
    int replica_ms;
  };
  const Row rows[] = {{"/unsafe/1", 2500}, {"/safe/1", 3300}};
  for (const Row& row : rows) {
    ReplicaSite site(2);
    CHECK(site.Start());
    Delay(&site, Milliseconds(row.replica_ms));
    site.StartCalls(row.path);
    site.RunFor(1000);
    const TimePoint stopped = Clock::now();
    site.daemon.process->Signal(SIGTERM);
    CHECK(
        site.RunUntil([&] { return !site.daemon.process->IsRunning(); }, 8000));
    site.StopCalls();
    site.RunFor(500);
    CHECK_EQUAL_TEXT(0, CountCutOff(site, stopped), row.path);
    // Those that come soon are served, and the later ones are told so.
    CHECK_TEXT(CountStatus(site, stopped, 200) > 50, row.path);
    CHECK_TEXT(CountStatus(site, stopped, 503) > 20, row.path);
  }
}

/// Guards against a stop that is planned by an old stop time, since the
/// settings file has changed without a signal just before SIGTERM or after it:
/// requests are passed on and then cut off by SIGKILL.
TEST(PlannedStops, FollowTheStopTimeOfTheSettingsFile) {
  struct Row {
    const char* name;
    int change_ms;  ///< From SIGTERM.
  };
  constexpr int kStopTimeS = 4;
  for (const Row& row : {Row{"just before SIGTERM", 0}, Row{"after it", 300}}) {
    ReplicaSite site(2);
    CHECK(site.Start());
    Delay(&site, Milliseconds(200));
    site.StartCalls("/unsafe/1");
    site.RunFor(1000);
    if (row.change_ms == 0)
      site.daemon.WriteSettings(kStopTimeS);
    const TimePoint stopped = Clock::now();
    site.daemon.process->Signal(SIGTERM);
    if (row.change_ms > 0) {
      site.RunFor(row.change_ms);
      site.daemon.WriteSettings(kStopTimeS);
    }
    const auto has_ended = [&] { return !site.daemon.process->IsRunning(); };
    const int left_ms = static_cast<int>(
        TimeLeft(stopped + Milliseconds(kStopTimeS * 1000), Clock::now())
            .count());
    CHECK_TEXT(site.RunUntil(has_ended, left_ms), row.name);
    site.StopCalls();
    site.RunFor(500);
    CHECK_EQUAL_TEXT(0, CountCutOff(site, stopped), row.name);
  }
}
