#include <algorithm>
#include <csignal>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "booking_calls.h"
#include "booking_run.h"
#include "http_calls.h"
#include "idempotency/record.h"
#include "site.h"

#include <CppUTest/TestHarness.h>

namespace {

using coltsfootvane::Clock;
using coltsfootvane::Milliseconds;
using coltsfootvane::RecordName;
using coltsfootvane::Result;
using coltsfootvane::TimePoint;
using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
namespace http = coltsfootvane::http;

/// Between two passes over all keys: a repeat is a write for the platform, and
/// it accepts 300 a second.
constexpr Milliseconds kPassPause{1000};

/// Reads the states of all records by name. Returns false if the platform does
/// not answer.
bool ReadStates(const Site& site, std::map<std::string, std::string>* states) {
  const Json list = GetJson(site.platform, "/apis/coltsfootvane/v1/records");
  if (!list.is_object())
    return false;
  states->clear();
  for (const Json& item : list["items"])
    (*states)[item["metadata"]["name"]] = item["spec"].value("state", "none");
  return true;
}

/// Returns the deletions of records in state `done` that the daemon counted.
long DeletedRecords(const DaemonProcess& daemon) {
  const Result<http::Response> metrics = Get(daemon.admin, "/metrics");
  if (!metrics)
    return 0;
  const std::string& text = metrics.assume_value().body;
  const std::string name =
      "coltsfootvane_record_expiries_total{result=\"deleted\",state=\"done\"} ";
  const std::size_t place = text.find(name);
  return place == std::string::npos
             ? 0
             : std::stol(text.substr(place + name.size()));
}

}  // namespace

TEST_GROUP(Records){};

// Guards against a key that is used up by a service that stated that it leaves
// and has not run the call, and against two effects of one that goes on to
// another replica.
TEST(Records, RefusalsOfLeavingServicesUseUpNoKey) {
  constexpr int kCalls = 40;
  const Json refusing = {{"leaving", true}, {"refuse_first", 1000000}};
  const Json working = {{"leaving", false}, {"refuse_first", 0}};
  Site site{BookingSite()};
  site.StartAll();
  for (const StandinProcess& service : site.services)
    SetFaults(service.direct, refusing);
  int recorded = 0;
  for (const Answer& answer : CallKeys(site, "all-", kCalls)) {
    STRCMP_EQUAL_TEXT("no", answer.run.c_str(), answer.body.c_str());
    CHECK_TEXT(answer.retry_after_ms > 0, answer.body.c_str());
  }
  for (int i = 0; i < kCalls; ++i)
    recorded +=
        RecordStateOf(site, "all-" + std::to_string(i)) == "not_run" ? 1 : 0;
  LONGS_EQUAL(0, site.ServiceEffects().size());
  for (const StandinProcess& service : site.services) {
    SetFaults(service.direct, working);
    // The list ends the note that a replica leaves once it has shown it so.
    ListVm(site.platform, service.id, "leaving");
    ListVm(site.platform, service.id, "live");
  }
  const bool settled = WaitUntil(In(9000), [&] {
    std::this_thread::sleep_for(kPassPause);
    const std::vector<Answer> answers = CallKeys(site, "all-", kCalls);
    return std::all_of(
        answers.begin(), answers.end(),
        [](const Answer& answer) { return answer.status == 200; });
  });
  CHECK(settled);
  SetFaults(site.services[0].direct, refusing);
  for (const Answer& answer : CallKeys(site, "one-", kCalls))
    LONGS_EQUAL_TEXT(200, answer.status, answer.body.c_str());
  const Json effects = site.ServiceEffects();
  std::printf("\nrecorded as not run=%d of %d, effects of %zu keys\n", recorded,
              kCalls, effects.size());
  CHECK(recorded > 0);
  LONGS_EQUAL(2 * kCalls, effects.size());
  for (const auto& [key, count] : effects.items())
    LONGS_EQUAL_TEXT(1, count.get<long>(), key.c_str());
}

// Guards against refusals that come late because the platform accepts
// connections but does not answer, and against a "not run" of a call that a
// late write lets run.
TEST(Records, SilentPlatformIsRefusedEarly) {
  constexpr int kFirst = 40;
  constexpr int kNext = 100;
  /// A quarter of the time of an interactive request of BookingSite().
  constexpr Milliseconds kShare{1000};
  /// For processes that wait for a core.
  constexpr Milliseconds kSlack{400};
  constexpr Milliseconds kAtOnce{100};
  Site site{BookingSite()};
  site.StartAll();
  site.platform_process->Signal(SIGSTOP);
  Milliseconds slowest_first{0};
  for (const Answer& answer : CallKeys(site, "first-", kFirst)) {
    STRCMP_EQUAL_TEXT("no", answer.run.c_str(), answer.body.c_str());
    slowest_first = std::max(slowest_first, answer.time);
  }
  Milliseconds slowest_next{0};
  int late = 0;
  for (int i = 0; i < kNext; ++i) {
    const std::string key = "next-" + std::to_string(i);
    const Answer answer =
        Ask(site.daemons[0].entry, BookingRequest(key, BodyOf(key)));
    STRCMP_EQUAL_TEXT("no", answer.run.c_str(), answer.body.c_str());
    CHECK_TEXT(answer.retry_after_ms > 0, answer.body.c_str());
    slowest_next = std::max(slowest_next, answer.time);
    late += answer.time > kAtOnce ? 1 : 0;
    std::this_thread::sleep_for(Milliseconds{20});
  }
  LONGS_EQUAL(0, site.ServiceEffects().size());
  site.platform_process->Signal(SIGCONT);
  const TimePoint start = Clock::now();
  const bool returned = WaitUntil(In(9000), [&] {
    return Ask(site.daemons[0].entry, BookingRequest("back", BodyOf("back")))
               .status == 200;
  });
  const auto back =
      std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
  CHECK(returned);
  const auto all_run = [&](const std::string& prefix, int count) {
    std::this_thread::sleep_for(kPassPause);
    const std::vector<Answer> answers = CallKeys(site, prefix, count);
    return std::all_of(
        answers.begin(), answers.end(),
        [](const Answer& answer) { return answer.status == 200; });
  };
  CHECK(WaitUntil(In(9000), [&] { return all_run("first-", kFirst); }));
  CHECK(WaitUntil(In(9000), [&] { return all_run("next-", kNext); }));
  const Json effects = site.ServiceEffects();
  std::printf(
      "\nslowest of the first %d=%ld ms, of the next %d=%ld ms, above %ld "
      "ms=%d, back after %ld ms\n",
      kFirst, static_cast<long>(slowest_first.count()), kNext,
      static_cast<long>(slowest_next.count()),
      static_cast<long>(kAtOnce.count()), late,
      static_cast<long>(back.count()));
  LONGS_EQUAL(kFirst + kNext + 1, effects.size());
  for (const auto& [key, count] : effects.items())
    LONGS_EQUAL_TEXT(1, count.get<long>(), key.c_str());
  CHECK(slowest_first <= kShare + kSlack);
  CHECK(slowest_next <= kShare + kSlack);
  CHECK(late <= kNext / 10);
}

// Guards against records that are kept for ever, and against the deletion of
// one that is younger than the kept time or whose call may have run.
TEST(Records, ExpiredRecordsAreDeleted) {
  constexpr int kCalls = 30;
  constexpr int kUnknown = 6;
  constexpr int kKeepSeconds = 3;
  constexpr int kWaitMs = 25000;
  SiteOptions options = BookingSite();
  options.records_keep_seconds = kKeepSeconds;
  Site site{options};
  site.StartAll();
  for (const StandinProcess& service : site.services)
    SetFaults(service.direct, {{"lose_response", 1000}});
  for (const Answer& answer : CallKeys(site, "unknown-", kUnknown))
    STRCMP_EQUAL_TEXT("unknown", answer.run.c_str(), answer.body.c_str());
  for (const StandinProcess& service : site.services)
    SetFaults(service.direct, {{"lose_response", 0}});
  std::map<std::string, TimePoint> written;  ///< By the record's name.
  for (int i = 0; i < kCalls; ++i) {
    const std::string key = "old-" + std::to_string(i);
    written[RecordName("counter", "/booking/bookings", key)] = Clock::now();
    const Answer answer =
        Ask(site.daemons[static_cast<std::size_t>(i) % 4].entry,
            BookingRequest(key, BodyOf(key)));
    LONGS_EQUAL_TEXT(200, answer.status, answer.body.c_str());
  }
  Milliseconds youngest{kWaitMs};
  Milliseconds oldest{0};
  std::map<std::string, std::string> stored;
  const auto all_deleted = [&] {
    if (!ReadStates(site, &stored))
      return false;
    for (auto it = written.begin(); it != written.end();) {
      if (stored.count(it->first) > 0) {
        ++it;
        continue;
      }
      const auto age =
          std::chrono::duration_cast<Milliseconds>(Clock::now() - it->second);
      youngest = std::min(youngest, age);
      oldest = std::max(oldest, age);
      it = written.erase(it);
    }
    return written.empty();
  };
  CHECK(WaitUntil(In(kWaitMs), all_deleted));
  const auto sending = std::count_if(
      stored.begin(), stored.end(),
      [](const auto& entry) { return entry.second == "sending"; });
  std::printf("\ndeleted=%d ages=%ld..%ld ms sending kept=%ld\n", kCalls,
              static_cast<long>(youngest.count()),
              static_cast<long>(oldest.count()), static_cast<long>(sending));
  long counted = 0;
  for (const DaemonProcess& daemon : site.daemons)
    counted += DeletedRecords(daemon);
  LONGS_EQUAL(kCalls, counted);
  CHECK(youngest >= std::chrono::seconds{kKeepSeconds});
  LONGS_EQUAL(kUnknown, sending);
}
