#include <map>
#include <string>
#include <vector>

#include "base/name_text.h"
#include "platform_site.h"
#include "replica_site.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)
using testing::CallResult;
using testing::PlatformSite;
using testing::ReceivedRequest;
using testing::ReplicaSite;
using testing::ReplicaStandin;
using StreamPtr = std::shared_ptr<net::TcpStream>;

namespace {

/// Names of entries that name no replica, whatever their descriptions are.
const char* const kOddNames[] = {"r1&x",       "r1+x",    "r1#x", "r1%x",
                                 "r1%41",      "r1 x",    "A r1", "r1\"x\\",
                                 "r1\xc3\xa9", "r1/../r2"};
/// From the ack of a replica's leaving.
constexpr int kDrainMs = 2000;

/// When the odd entries come.
struct Moment {
  const char* name;
  bool restarts;
};
constexpr Moment kMoments[] = {{"while running", false},
                               {"at the restart", true}};

std::string Describe(const Moment& moment, const char* name) {
  return std::string(moment.name) + ": " + Printable(name);
}

void Restart(testing::GatewayProcess* daemon) {
  daemon->process->Kill();
  daemon->Start();
  CHECK(daemon->AwaitReady());
}

int CountSkipped(const std::string& log, const char* name) {
  const std::string line =
      "endpoint-unreadable endpoint=" + Printable(name) + " reason=";
  int count = 0;
  for (std::size_t at = log.find(line); at != std::string::npos;
       at = log.find(line, at + 1))
    ++count;
  return count;
}

void CheckAllServed(const ReplicaSite& site, const Moment& moment) {
  CHECK_TEXT(site.results.size() > 50, moment.name);
  for (const CallResult& result : site.results)
    LONGS_EQUAL_TEXT(200, result.status, moment.name);
}

}  // namespace

TEST_GROUP(OddNames){};

// Guards against requests for a stranger whose entry is sound but for its name:
// such an entry names no replica. Each name ends a page of the list.
TEST(OddNames, StrangersGetNoRequests) {
  constexpr int kHeartbeatsMs = 1500;
  for (const Moment& moment : kMoments) {
    ReplicaSite site(2);
    site.store.page_size = 1;
    CHECK_TEXT(site.Start(), moment.name);
    std::vector<ReplicaStandin*> strangers;
    for (const char* const name : kOddNames)
      strangers.push_back(site.AddReplica(name));
    site.RunFor(kHeartbeatsMs);
    if (moment.restarts)
      Restart(&site.daemon);
    site.StartCalls("/safe/1");
    site.RunFor(2 * kHeartbeatsMs);
    site.StopCalls();
    site.RunFor(500);
    for (const ReplicaStandin* const stranger : strangers) {
      const std::string text = Describe(moment, stranger->id.c_str());
      LONGS_EQUAL_TEXT(0, stranger->arrivals.size(), text.c_str());
      // Each heartbeat of a stranger is a new version of its entry.
      LONGS_EQUAL_TEXT(1, CountSkipped(site.daemon.Log(), stranger->id.c_str()),
                       text.c_str());
    }
    CheckAllServed(site, moment);
    LONGS_EQUAL_TEXT(0, site.store.refused_targets, moment.name);
  }
}

// Guards against tries that are meant for an odd name at the address of a sound
// replica, and against requests that reach a replica by way of such a copy
// after its leaving was acknowledged.
TEST(OddNames, CopiesOfSoundEntriesAreNotUsed) {
  for (const Moment& moment : kMoments) {
    ReplicaSite site(2);
    site.store.page_size = 1;
    CHECK_TEXT(site.Start(), moment.name);
    std::map<std::string, int> tries;  // By the replica that is expected.
    for (const auto& replica : site.replicas) {
      replica->answer = [&tries, raw = replica.get()](
                            const ReceivedRequest& request,
                            const StreamPtr& stream) {
        const std::string expected(
            net::FieldValue(request.head.fields, "Expect-Instance"));
        ++tries[expected];
        if (expected != raw->id)
          testing::Reply(stream, 421, "", {{"Instance-Id", raw->id}});
        else
          raw->Run(request, stream);
      };
    }
    ReplicaStandin* const leaving = site.replicas[0].get();
    for (const char* const name : kOddNames)
      site.store.Put("servers", name, leaving->Entry());
    if (moment.restarts)
      Restart(&site.daemon);
    site.StartCalls("/safe/1");
    site.RunFor(1500);
    site.silent.insert(leaving->id);
    site.store.Put("servers", leaving->id, leaving->Entry("draining"));
    site.RunFor(kDrainMs);
    const TimePoint from = Clock::now();
    site.RunFor(1500);
    site.StopCalls();
    site.RunFor(500);
    for (const char* const name : kOddNames)
      LONGS_EQUAL_TEXT(0, tries[name], Describe(moment, name).c_str());
    LONGS_EQUAL_TEXT(0, leaving->CountArrivals(from, Clock::now()),
                     moment.name);
    CHECK_TEXT(tries["r1"] > 0 && tries["r2"] > 0, moment.name);
    CheckAllServed(site, moment);
  }
}

// Guards against requests, calls for reports and orders at a stranger that is
// described as an engine.
TEST(OddNames, StrangersAreNoEngines) {
  for (const Moment& moment : kMoments) {
    PlatformSite site;
    site.engine_models = {"m1"};
    int arrivals = 0;
    testing::LoopbackServer stranger(
        &site.io, site.host,
        [&arrivals](const ReceivedRequest& request, const StreamPtr& stream) {
          ++arrivals;
          testing::Reply(stream, 200, R"({"sequence":0,"models":[]})",
                         testing::AnswerFields(request));
        });
    site.PutConfig(1);
    site.Announce();
    site.daemon.Start();
    CHECK_TEXT(site.daemon.AwaitReady(), moment.name);
    for (const char* const name : kOddNames) {
      nlohmann::json entry = site.store.Get("servers", "engine-1");
      entry["address"] = stranger.AddressText();
      site.store.Put("servers", name, entry);
    }
    if (moment.restarts)
      Restart(&site.daemon);
    // The second model has to be loaded first.
    for (const char* const model : {"m1", "m2"}) {
      CHECK_TEXT(site.RunUntil(
                     [&site, model] {
                       const auto answer = site.Call(
                           "/chat/1",
                           {{"Model", model}, {"Token-Usage", "10,10"}});
                       return answer && answer.value().head.status == 200;
                     },
                     15'000),
                 moment.name);
    }
    LONGS_EQUAL_TEXT(0, arrivals, moment.name);
  }
}
