#include <algorithm>
#include <cstdio>
#include <set>
#include <string>
#include <vector>

#include "replica_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallResult;
using testing::ReceivedRequest;
using testing::ReplicaSite;
using testing::ReplicaStandin;
using StreamPtr = std::shared_ptr<net::TcpStream>;

namespace {

/// Within this time after its sign a leaving replica still takes requests.
constexpr Milliseconds kDrainTime{2000};
/// Requests that were on their way when a replica asked for a pause arrive
/// within this time.
constexpr Milliseconds kPauseSlack{500};
/// A request that crossed the refusal on the wire may still arrive.
constexpr int kMaxLateArrivals = 2;
/// What cannot be served is refused within this time.
constexpr Milliseconds kRefusalTime{100};

std::string SecondsText(TimePoint from, TimePoint to) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f",
                std::chrono::duration<double>(to - from).count());
  return text;
}

/// Lets a replica refuse all requests until a time after its first refusal, and
/// say so in `Retry-After`.
class Pause {
 public:
  Pause(ReplicaStandin* replica, Milliseconds length) {
    replica->answer = [this, replica, length](const ReceivedRequest& request,
                                              const StreamPtr& stream) {
      const TimePoint now = Clock::now();
      if (this->began == TimePoint()) {
        this->began = now;
        this->ends = now + length;
      }
      if (now < this->ends)
        ReplicaStandin::Refuse(request, stream,
                               {{"Retry-After", SecondsText(now, this->ends)}});
      else
        replica->Run(request, stream);
    };
  }

  TimePoint began;
  TimePoint ends;
};

/// Returns the most times of `times` within any span of that length.
int MostWithin(std::vector<TimePoint> times, Milliseconds span) {
  std::sort(times.begin(), times.end());
  std::ptrdiff_t most = 0;
  for (auto first = times.begin(); first != times.end(); ++first) {
    const auto last = std::lower_bound(first, times.end(), *first + span);
    most = std::max(most, last - first);
  }
  return static_cast<int>(most);
}

}  // namespace

TEST_GROUP(Replicas){};

// Guards against an entry without a field that identifies a start of the
// replica: without `born` it counted as another start, and the statement of the
// replica that it leaves was forgotten.
TEST(Replicas, IncompleteEntriesChangeNothing) {
  for (const char* const field : {"born", "zone", "version", "sequence"}) {
    ReplicaSite site(2);
    const bool started = site.Start();
    CHECK_TEXT(started, site.daemon.process->DescribeEnd().c_str());
    ReplicaStandin* const leaving = site.replicas[0].get();
    ReplicaStandin* const ready = site.replicas[1].get();
    TimePoint signed_at;
    leaving->answer = [&](const ReceivedRequest& request,
                          const StreamPtr& stream) {
      signed_at = Clock::now();
      leaving->Run(request, stream, {{"Server-Leaving", "1"}});
    };
    site.StartCalls("/safe/1");
    CHECK(site.RunUntil([&] { return signed_at != TimePoint(); }, 2000));
    site.RunFor(500);
    const TimePoint from = Clock::now();
    leaving->lost_field = field;
    ready->lost_field = field;
    site.store.Put("servers", leaving->id, leaving->Entry("ready"));
    site.store.Put("servers", ready->id, ready->Entry("ready"));
    site.RunFor(1500);
    LONGS_EQUAL_TEXT(0, leaving->CountArrivals(from, Clock::now()), field);
    CHECK_TEXT(ready->CountArrivals(from, Clock::now()) > 0, field);
  }
}

// Guards against requests for a replica whose answers say that it leaves while
// its entry in the store still says `ready`, or says so again.
TEST(Replicas, LeavingOnesGetNoMoreRequests) {
  struct Row {
    const char* name;
    int status;  ///< Of all answers that bear the sign.
  };
  const Row rows[] = {{"answers", 200}, {"refusals", 503}, {"failures", 500}};
  for (const Row& row : rows) {
    ReplicaSite site(2);
    const bool started = site.Start();
    CHECK_TEXT(started, site.daemon.process->DescribeEnd().c_str());
    ReplicaStandin* const leaving = site.replicas[0].get();
    TimePoint signed_at;
    leaving->answer = [&](const ReceivedRequest& request,
                          const StreamPtr& stream) {
      if (signed_at == TimePoint())
        signed_at = Clock::now();
      const net::Fields sign = {{"Server-Leaving", "1"}};
      if (row.status == 200) {
        leaving->Run(request, stream, sign);
      } else if (row.status == 503) {
        ReplicaStandin::Refuse(request, stream, sign);
      } else {
        net::Fields fields = testing::AnswerFields(request);
        fields.push_back(sign[0]);
        testing::Reply(stream, row.status, "failed", fields);
      }
    };
    site.StartCalls("/safe/1");
    CHECK(site.RunUntil([&] { return signed_at != TimePoint(); }, 2000));
    // The entry lapses and returns, as after an outage of the store.
    site.silent.insert(leaving->id);
    site.store.Remove("servers", leaving->id);
    site.RunFor(1200);
    site.silent.clear();
    site.RunUntil([&] { return Clock::now() > signed_at + kDrainTime; }, 5000);
    const TimePoint from = Clock::now();
    site.RunFor(1500);
    LONGS_EQUAL_TEXT(0, leaving->CountArrivals(from, Clock::now()), row.name);
    const TimePoint restarted = Clock::now();
    leaving->answer = [leaving](const ReceivedRequest& request,
                                const StreamPtr& stream) {
      leaving->Run(request, stream);
    };
    leaving->Restart();
    CHECK_TEXT(
        site.RunUntil(
            [&] { return leaving->CountArrivals(restarted, Clock::now()) > 0; },
            3000),
        row.name);
  }
}

// Guards against requests for a replica that has refused one and stated for how
// long it wants none, while another replica has room.
TEST(Replicas, PausedOnesGetNoRequests) {
  ReplicaSite site(2);
  const bool started = site.Start();
  CHECK_TEXT(started, site.daemon.process->DescribeEnd().c_str());
  ReplicaStandin* const paused = site.replicas[0].get();
  const Pause pause(paused, Milliseconds(4000));
  site.StartCalls("/unsafe/1");
  CHECK(site.RunUntil([&] { return pause.began != TimePoint(); }, 2000));
  site.RunUntil([&] { return Clock::now() >= pause.ends; }, 6000);
  const int late = paused->CountArrivals(pause.began + kPauseSlack, pause.ends);
  CHECK_TEXT(late <= kMaxLateArrivals, std::to_string(late).c_str());
  for (const CallResult& result : site.results)
    LONGS_EQUAL_TEXT(200, result.status, result.id.c_str());
  CHECK_TEXT(
      site.RunUntil(
          [&] { return paused->CountArrivals(pause.ends, Clock::now()) > 0; },
          3000),
      "the pause is over");
}

// Guards against callers that wait, or come back too early or all at once, when
// every replica of a service wants no requests for a while.
TEST(Replicas, PauseOfAllRefusesCallersAtOnce) {
  ReplicaSite site(2);
  const bool started = site.Start();
  CHECK_TEXT(started, site.daemon.process->DescribeEnd().c_str());
  const Milliseconds length(3000);
  const Pause first(site.replicas[0].get(), length);
  const Pause second(site.replicas[1].get(), length);
  site.StartCalls("/unsafe/1");
  CHECK(site.RunUntil(
      [&] { return first.began != TimePoint() && second.began != TimePoint(); },
      2000));
  const TimePoint from = std::max(first.began, second.began) + kPauseSlack;
  const TimePoint to = std::min(first.ends, second.ends);
  site.RunUntil([&] { return Clock::now() >= to; }, 6000);
  site.StopCalls();
  for (const auto& replica : site.replicas) {
    const int late = replica->CountArrivals(from, to);
    CHECK_TEXT(late <= kMaxLateArrivals, std::to_string(late).c_str());
  }
  std::vector<TimePoint> returns;
  for (const CallResult& result : site.results) {
    if (result.sent < from || result.sent + kRefusalTime >= to)
      continue;
    LONGS_EQUAL_TEXT(503, result.status, result.id.c_str());
    CHECK_TEXT(result.Length() < kRefusalTime, result.id.c_str());
    const auto wait = Milliseconds(
        static_cast<std::int64_t>(result.retry_after_s * 1000) + 1);
    returns.push_back(result.ended + wait);
    CHECK_TEXT(returns.back() >= to, "told to come back during the pause");
  }
  CHECK(returns.size() > 50);
  // Callers that came evenly over two seconds and more do not return within a
  // tenth of one.
  const int most = MostWithin(returns, Milliseconds(100));
  CHECK_TEXT(
      most <= static_cast<int>(returns.size()) / 5,
      (std::to_string(most) + " of " + std::to_string(returns.size())).c_str());
}

// Guards against a daemon that does not hear of changes for as long as a watch
// may last, since the answer to its watch was lost.
TEST(Replicas, LostAnswersToWatchesAreNoticed) {
  constexpr int kContactMs = 3000;  // From the end of a disturbance.
  ReplicaSite site(2);
  const bool started = site.Start();
  CHECK_TEXT(started, site.daemon.process->DescribeEnd().c_str());
  site.StartCalls("/safe/1");
  site.RunFor(1000);
  site.store.faults.loses_watches = true;
  site.PutConfig(2);
  site.RunFor(500);
  site.store.faults.loses_watches = false;
  site.RunFor(kContactMs);
  ReplicaStandin* const draining = site.replicas[0].get();
  site.silent.insert(draining->id);
  site.store.Put("servers", draining->id, draining->Entry("draining"));
  site.PutConfig(3);
  // A configuration has to be in force within the same time.
  site.RunFor(static_cast<int>(kDrainTime.count()));
  const TimePoint from = Clock::now();
  CHECK_TEXT(site.Call("/version3/1").status == 200,
             "the configuration is in force");
  site.RunFor(1000);
  LONGS_EQUAL(0, draining->CountArrivals(from, Clock::now()));
}

namespace {

std::string Repeat(const char* text, int times) {
  std::string repeated;
  for (int i = 0; i < times; ++i)
    repeated += text;
  return repeated;
}

/// Checks that an entry that names no replica costs neither those that are
/// known nor one that registers later, also after a restart.
void CheckOddEntry(const char* name, const std::string& spec) {
  ReplicaSite site(1);
  const bool started = site.Start();
  CHECK_TEXT(started, site.daemon.process->DescribeEnd().c_str());
  site.store.PutText("servers", "odd", spec);
  const ReplicaStandin* const later = site.AddReplica();
  const auto reaches_later = [&site, later] {
    const std::size_t before = later->arrivals.size();
    return site.RunUntil(
        [&] {
          site.Call("/safe/1");
          return later->arrivals.size() > before;
        },
        5000);
  };
  CHECK_TEXT(reaches_later(), name);
  CHECK_TEXT(site.daemon.process->IsRunning(),
             site.daemon.process->DescribeEnd().c_str());
  site.daemon.process->Kill();
  site.daemon.Start();
  CHECK_TEXT(site.daemon.AwaitReady(), name);
  CHECK_TEXT(reaches_later(), name);
  CHECK_TEXT(
      site.daemon.Log().find("endpoint-unreadable endpoint=odd reason=") !=
          std::string::npos,
      name);
}

std::string OddSpec(const std::string& member) {
  return R"({"service":"books","address":"127.0.0.1:80","zone":"dc",)"
         R"("slots":8,"state":"ready","born":17,"sequence":1,)" +
         member + "}";
}

}  // namespace

// Guards against an entry of another writer that hides all other replicas.
TEST(Replicas, OddEntriesHideNoOthers) {
  struct Row {
    const char* name;
    std::string spec;
  };
  const Row rows[] = {
      {"number too large", OddSpec(R"("coldRemainingMs":1e999)")},
      {"not a number", OddSpec(R"("coldRemainingMs":nan)")},
      {"bytes that are no text", OddSpec("\"version\":\"\xff\xfe\"")},
      {"port out of range", R"({"service":"books","address":"127.0.0.1:65616",)"
                            R"("slots":8,"state":"ready","born":17})"},
  };
  for (const Row& row : rows)
    CheckOddEntry(row.name, row.spec);
}

// Guards against the end of the process when it copies an entry that is nested
// as deeply as the store allows.
TEST(Replicas, NestedEntriesDoNotEndTheProcess) {
  constexpr int kDepth = 450'000;
  CheckOddEntry("lists", OddSpec("\"models\":" + Repeat("[", kDepth) +
                                 Repeat("]", kDepth)));
}

// Guards against a refusal of an earlier request, written once more without its
// id, that is taken for the answer to the next one on a kept connection.
TEST(Replicas, RefusalsWithoutAnIdAreNotBelieved) {
  ReplicaSite site(2);
  const bool started = site.Start();
  CHECK_TEXT(started, site.daemon.process->DescribeEnd().c_str());
  int requests_on_kept = 0;
  int strays = 0;
  std::set<StreamPtr> kept;  ///< Connections that have carried a request.
  for (const auto& replica : site.replicas) {
    replica->answer = [&, raw = replica.get()](const ReceivedRequest& request,
                                               const StreamPtr& stream) {
      constexpr int kStrayEvery = 7;
      const bool is_kept = !kept.insert(stream).second;
      const bool is_stray = is_kept && ++requests_on_kept % kStrayEvery == 0;
      strays += is_stray ? 1 : 0;
      if (is_stray)
        stream->Write(
            "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n");
      raw->Run(request, stream);
    };
  }
  site.StartCalls("/unsafe/1");
  site.RunFor(4000);
  site.StopCalls();
  site.RunFor(500);
  std::map<std::string, int> runs;
  for (const auto& replica : site.replicas) {
    for (const auto& [id, count] : replica->runs)
      runs[id] += count;
  }
  CHECK(runs.size() > 50);
  CHECK(strays > 5);
  int twice = 0;
  for (const auto& [id, count] : runs)
    twice += count > 1 ? 1 : 0;
  LONGS_EQUAL(0, twice);
  int told_not_run = 0;
  for (const CallResult& result : site.results)
    told_not_run += result.status == 503 && runs.count(result.id) > 0 ? 1 : 0;
  LONGS_EQUAL(0, told_not_run);
}
